/** @file concurrency_limit.cpp Adaptation of the concurrency limit. */
#include "sycamorelb/dispatch/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace sycamorelb::dispatch {

/** Share of the slots below which the limit never falls, and its minimum in
 * calls: false figures cost at most two thirds of the capacity. */
static constexpr auto MinSlotShare = 1.0 / 3;
static constexpr auto MinCalls = 2U;
/** Bounds of the relative run time of one sample, against odd answers. */
static constexpr auto MinRelativeRunTime = 0.25;
static constexpr auto MaxRelativeRunTime = 4.0;
/** Weight that a sample keeps with each new one: about 40 samples count, a
 * second of a busy target. */
static constexpr auto SampleRetention = 0.975;
/** Samples and time between two adaptations. */
static constexpr auto SamplesPerStep = 8U;
static constexpr auto MinStepTime = micros(100'000);
/** Weight of samples from which the fit counts. */
static constexpr auto MinWeight = 20.0;
/** Variance of the concurrency below which a slope can't be told. */
static constexpr auto MinVariance = 0.3;
/** Standard errors by which the slope must exceed 0 to lower the limit. */
static constexpr auto SlopeErrors = 1.5;
/** Assumed standard deviation of a relative run time, for the standard error:
 * work times vary by about half of their mean. */
static constexpr auto RunTimeDeviation = 0.5;
/** Increase of the limit in calls, and largest decrease as a factor, with each
 * step. */
static constexpr auto Increase = 1.0;
static constexpr auto Decrease = 0.85;

static void addSample(run_time_fit &Fit, const run_sample &Sample) {
  auto RunTime = std::clamp(Sample.RelativeRunTime, MinRelativeRunTime,
                            MaxRelativeRunTime);
  auto Add = [](double &Sum, double Value) {
    Sum = Sum * SampleRetention + Value;
  };
  Add(Fit.Weight, 1);
  Add(Fit.Concurrency, Sample.Concurrency);
  Add(Fit.RunTime, RunTime);
  Add(Fit.ConcurrencySquare, Sample.Concurrency * Sample.Concurrency);
  Add(Fit.Product, Sample.Concurrency * RunTime);
}

/** @return the concurrency at which throughput divided by run time is largest;
 * for run times A + B * C this is A / B, where a call takes twice as long as
 * alone. Slots if the samples don't show that run time rises. */
static auto bestConcurrency(const run_time_fit &Fit, double Slots) -> double {
  auto MeanConcurrency = Fit.Concurrency / Fit.Weight;
  auto MeanRunTime = Fit.RunTime / Fit.Weight;
  auto Variance =
      Fit.ConcurrencySquare / Fit.Weight - MeanConcurrency * MeanConcurrency;
  if (Fit.Weight < MinWeight || Variance < MinVariance) {
    return Slots;
  }
  auto Slope =
      (Fit.Product / Fit.Weight - MeanConcurrency * MeanRunTime) / Variance;
  auto Error = RunTimeDeviation / std::sqrt(Variance * Fit.Weight);
  auto Intercept = MeanRunTime - Slope * MeanConcurrency;
  if (Slope <= SlopeErrors * Error) {
    return Slots;
  }
  return std::min(Slots, Intercept / Slope);
}

auto minConcurrency(std::uint32_t Slots) -> std::uint32_t {
  auto Share = static_cast<std::uint32_t>(std::ceil(Slots * MinSlotShare));
  return std::min(std::max(1U, Slots), std::max(MinCalls, Share));
}

void observeRun(concurrency_limit &Limit, const run_sample &Sample,
                std::uint32_t Slots, steady_time Now) {
  auto Max = static_cast<double>(std::max(1U, Slots));
  if (Limit.Limit <= 0) {
    Limit.Limit = Max;
    Limit.AdaptedAt = Now;
  }
  addSample(Limit.Fit, Sample);
  if (++Limit.Samples < SamplesPerStep || Now - Limit.AdaptedAt < MinStepTime) {
    return;
  }
  Limit.Samples = 0;
  Limit.AdaptedAt = Now;
  auto Best = bestConcurrency(Limit.Fit, Max);
  auto Next = Best < Limit.Limit ? std::max(Best, Limit.Limit * Decrease)
                                 : std::min(Best, Limit.Limit + Increase);
  Limit.Limit =
      std::clamp(Next, static_cast<double>(minConcurrency(Slots)), Max);
}

auto allowedConcurrency(const concurrency_limit &Limit, std::uint32_t Slots)
    -> std::uint32_t {
  auto Max = std::max(1U, Slots);
  return Limit.Limit <= 0
             ? Max
             : std::clamp(static_cast<std::uint32_t>(std::lround(Limit.Limit)),
                          minConcurrency(Slots), Max);
}

} // namespace sycamorelb::dispatch
