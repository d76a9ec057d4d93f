/** @file concurrency.cpp Gradient limit: compares the median latency of a
 * window with a baseline. */
#include "sycamorelb/limits/concurrency_func.h"

#include <algorithm>
#include <cmath>

namespace sycamorelb::limits {

namespace {

/// EWMA weight of a window median in the baseline.
constexpr double BaselineGain = 0.1;
/// In a window with contention only a median below this fraction of the
/// baseline updates it. If every lower median did, noise would make the
/// baseline and with it the limit fall.
constexpr double BaselineDropRatio = 0.5;
/// EWMA weight of a window median in the typical latency.
constexpr double TypicalGain = 0.3;
/// Bound of the growth of the typical latency per window, so that a sudden jump
/// stays visible until cold detection has seen enough calls.
constexpr double MaxTypicalGrowth = 1.1;

auto interpolate(micros From, micros To, double Fraction) -> micros {
  auto Step = toDouble((To - From)) * Fraction;
  return micros(From.count() + std::llround(Step));
}

auto isBusy(const concurrency_state &State, std::uint32_t InFlight) -> bool {
  return InFlight * 2.0 >= State.Limit;
}

/** Updates baseline and typical latency; contention does not raise the
 * baseline. */
void updateBaseline(concurrency_state &State, micros Median) {
  if (State.Baseline == micros{0}) {
    State.Baseline = Median;
    State.TypicalLatency = Median;
    return;
  }
  // A limit of at most 2 counts as uncontended. Without this case a lasting
  // change of the workload would keep the limit at 1.
  auto Uncontended =
      !isBusy(State, State.Window.PeakInFlight) || State.Limit <= 2;
  if (Uncontended ||
      toDouble(Median) < BaselineDropRatio * toDouble(State.Baseline))
    State.Baseline = interpolate(State.Baseline, Median, BaselineGain);
  auto Ceiling = micros(
      std::llround(toDouble(State.TypicalLatency) * MaxTypicalGrowth) + 1);
  State.TypicalLatency =
      interpolate(State.TypicalLatency, std::min(Median, Ceiling), TypicalGain);
}

/** Adjusts the limit and starts a new window. */
void closeWindow(concurrency_state &State, const concurrency_config &Config,
                 const capacity_bounds &Bounds) {
  auto Median = std::max(medianLatency(State.Window), micros{1});
  updateBaseline(State, Median);
  auto Busy = isBusy(State, State.Window.PeakInFlight);
  auto Gradient =
      Config.Tolerance * toDouble(State.Baseline) / toDouble(Median);
  if (Busy && Gradient < 1)
    State.Limit *= 0.5 + 0.5 * std::max(Gradient, 0.5);
  else if (Busy && !State.Window.HadRefusal)
    State.Limit += 1;
  State.Limit =
      std::clamp(State.Limit, 1.0, static_cast<double>(hardLimit(Bounds)));
  State.Window = latency_window{};
}

} // namespace

void addSample(latency_window &Window, micros Latency, steady_time Now) {
  if (Window.Count == 0)
    Window.StartedAt = Now;
  auto Bounded = std::clamp<std::int64_t>(Latency.count(), 0, UINT32_MAX);
  Window.Samples[Window.Count % latency_window::Capacity] =
      static_cast<std::uint32_t>(Bounded);
  ++Window.Count;
}

auto medianLatency(const latency_window &Window) -> micros {
  auto Kept = std::min<std::size_t>(Window.Count, latency_window::Capacity);
  if (Kept == 0)
    return micros{0};
  auto Sorted = Window.Samples;
  auto Middle = Sorted.begin() + static_cast<std::ptrdiff_t>(Kept / 2);
  std::nth_element(Sorted.begin(), Middle,
                   Sorted.begin() + static_cast<std::ptrdiff_t>(Kept));
  return micros{*Middle};
}

auto hardLimit(const capacity_bounds &Bounds) -> std::uint32_t {
  return std::max(1U, std::min(Bounds.Slots, Bounds.Connections));
}

auto makeConcurrency(const capacity_bounds &Bounds) -> concurrency_state {
  auto State = concurrency_state{};
  State.Limit = hardLimit(Bounds);
  return State;
}

void observeCall(concurrency_state &State, const concurrency_config &Config,
                 const capacity_bounds &Bounds, call_outcome Outcome,
                 micros Latency, std::uint32_t InFlight, steady_time Now) {
  State.Window.PeakInFlight = std::max(State.Window.PeakInFlight, InFlight);
  State.Limit = std::min(State.Limit, static_cast<double>(hardLimit(Bounds)));
  if (Outcome == call_outcome::Refused) {
    // A refusal far below the limit says nothing about the limit.
    if (!State.Window.HadRefusal && isBusy(State, InFlight))
      State.Limit = std::max(1.0, State.Limit * Config.RefusalBackoff);
    State.Window.HadRefusal = true;
    return;
  }
  if (Outcome != call_outcome::Success)
    return;
  addSample(State.Window, Latency, Now);
  if (State.Window.Count >= Config.MinSamples &&
      Now - State.Window.StartedAt >= Config.MinWindow)
    closeWindow(State, Config, Bounds);
}

} // namespace sycamorelb::limits
