/** @file cold_start.cpp Raises the limit of a cold upstream and detects with a
 * CUSUM test that an upstream has become cold. */
#include "sycamorelb/limits/cold_start_func.h"

#include <algorithm>
#include <cmath>

namespace sycamorelb::limits {

namespace {

/// Assumed ratio of slow calls of a cold upstream.
constexpr double ColdSlowRatio = 0.7;
/// Bounds of the learned ratio of slow calls. The upper one bounds the number
/// of calls until detection, see MaxCallsToDetectCold.
constexpr double MinSlowRatio = 0.02;
constexpr double MaxSlowRatio = 0.25;
/// EWMA weight of a call in the learned ratio.
constexpr double SlowRatioGain = 0.01;
/// Number of refusals that reach the threshold.
constexpr double RefusalsToThreshold = 4;
/// The latency is falling if a window median is below this fraction of the
/// recent medians.
constexpr double FallingMedianRatio = 0.75;
/// EWMA weight of a window median.
constexpr double RecentMedianGain = 0.5;

enum class call_evidence : std::uint8_t { None, Normal, Slow, Refused };

auto classifyCall(const cold_start_config &Config, call_outcome Outcome,
                  micros Latency, micros Reference) -> call_evidence {
  auto Slow = Reference > micros{0} &&
              toDouble(Latency) > Config.SlowCallFactor * toDouble(Reference);
  switch (Outcome) {
  case call_outcome::Success:
    return Slow ? call_evidence::Slow : call_evidence::Normal;
  case call_outcome::Timeout:
  case call_outcome::Cancelled:
    // The time until the call was given up is only a lower bound of its
    // latency.
    return Slow ? call_evidence::Slow : call_evidence::None;
  case call_outcome::Refused:
    return call_evidence::Refused;
  case call_outcome::Failure:
  case call_outcome::Unreachable:
  case call_outcome::NotStarted:
    return call_evidence::None;
  }
  return call_evidence::None;
}

/** Updates the CUSUM with one call and, while warm, the learned ratio of slow
 * calls. */
void updateCusum(cold_state &State, const cold_start_config &Config,
                 call_evidence Evidence) {
  auto NormalSlowRatio =
      std::clamp(State.SlowRatio, MinSlowRatio, MaxSlowRatio);
  if (Evidence == call_evidence::Refused)
    State.Cusum += Config.CusumThreshold / RefusalsToThreshold;
  if (Evidence == call_evidence::Slow)
    State.Cusum += std::log(ColdSlowRatio / NormalSlowRatio);
  if (Evidence == call_evidence::Normal)
    State.Cusum += std::log((1 - ColdSlowRatio) / (1 - NormalSlowRatio));
  State.Cusum = std::max(State.Cusum, 0.0);
  if (!State.Cold &&
      (Evidence == call_evidence::Slow || Evidence == call_evidence::Normal))
    State.SlowRatio +=
        SlowRatioGain *
        ((Evidence == call_evidence::Slow ? 1 : 0) - State.SlowRatio);
}

/** @return whether the closed window allows a raise of the limit. */
auto justifiesRaise(const cold_state &State, const cold_start_config &Config,
                    micros Median, micros TypicalLatency) -> bool {
  auto Latency = toDouble(Median);
  if (TypicalLatency > micros{0})
    return Latency <= Config.NearWarmFactor * toDouble(TypicalLatency);
  // Without a known warm latency the upstream counts as warming up while its
  // latency falls. The reference is the recent medians and not the lowest one:
  // the lowest median of a few noisy samples is rarely reached again.
  return State.RecentMedian > micros{0} &&
         Latency >= FallingMedianRatio * toDouble(State.RecentMedian) &&
         Latency <= Config.NearWarmFactor * toDouble(State.RecentMedian);
}

auto closeWindow(cold_state &State, const cold_start_config &Config,
                 micros TypicalLatency, std::uint32_t WarmLimit) -> cold_event {
  auto Median = std::max(medianLatency(State.Window), micros{1});
  State.Window = latency_window{};
  auto Raise = justifiesRaise(State, Config, Median, TypicalLatency);
  State.RecentMedian =
      State.RecentMedian == micros{0}
          ? Median
          : micros(std::llround(toDouble(State.RecentMedian) *
                                    (1 - RecentMedianGain) +
                                toDouble(Median) * RecentMedianGain));
  if (!Raise)
    return cold_event::Held;
  State.Limit = std::min(State.Limit * 2, WarmLimit);
  if (State.Limit < WarmLimit)
    return cold_event::Raised;
  State.Cold = false;
  State.Cusum = 0;
  return cold_event::Warm;
}

} // namespace

auto makeColdStart(const cold_start_config &Config) -> cold_state {
  auto State = cold_state{};
  State.Limit = std::max(1U, Config.ColdLimit);
  return State;
}

void resetToCold(cold_state &State, const cold_start_config &Config) {
  State.Cold = true;
  State.Limit = std::max(1U, Config.ColdLimit);
  State.Cusum = 0;
  State.RecentMedian = micros{0};
  State.Window = latency_window{};
}

auto observeCall(cold_state &State, const cold_start_config &Config,
                 call_outcome Outcome, micros Latency, micros TypicalLatency,
                 std::uint32_t WarmLimit, steady_time Now) -> cold_event {
  auto Reference =
      TypicalLatency > micros{0} ? TypicalLatency : State.RecentMedian;
  auto Evidence = classifyCall(Config, Outcome, Latency, Reference);
  updateCusum(State, Config, Evidence);
  auto AtColdLimit = State.Cold && State.Limit <= Config.ColdLimit;
  if (State.Cusum >= Config.CusumThreshold) {
    State.Cusum = 0;
    if (AtColdLimit)
      return cold_event::None;
    resetToCold(State, Config);
    ++State.TimesCold;
    return cold_event::BecameCold;
  }
  if (!State.Cold)
    return cold_event::None;
  if (Evidence == call_evidence::Refused) {
    State.Window = latency_window{};
    if (AtColdLimit)
      return cold_event::None;
    State.Limit = std::max(State.Limit / 2, std::max(1U, Config.ColdLimit));
    return cold_event::Lowered;
  }
  if (Outcome != call_outcome::Success)
    return cold_event::None;
  addSample(State.Window, Latency, Now);
  auto Needed = std::max(Config.MinSuccesses, 2 * State.Limit);
  if (State.Window.Count < Needed ||
      Now - State.Window.StartedAt < Config.MinWindow)
    return cold_event::None;
  return closeWindow(State, Config, TypicalLatency, WarmLimit);
}

} // namespace sycamorelb::limits
