/** @file cold_start.cpp Raises the cold limit with evidence and detects with a
 * CUSUM that an upstream became cold. */
#include "sycamorelb/limits/cold_start_func.h"

#include <algorithm>
#include <cmath>

namespace sycamorelb::limits {

namespace {

/// Ratio of slow calls assumed of a cold upstream.
constexpr double ColdSlowRatio = 0.7;
/// Bounds of the learned ratio of slow calls. The upper one bounds the number
/// of calls until detection, see MaxCallsToDetectCold.
constexpr double MinSlowRatio = 0.02;
constexpr double MaxSlowRatio = 0.25;
/// Weight of one call in the learned ratio.
constexpr double SlowRatioGain = 0.01;
/// Parts of the threshold that one refusal or stall adds.
constexpr double RefusalParts = 4;
/// A window median below this part of the recent ones still falls.
constexpr double StillFalling = 0.75;
/// Weight of a window in the EWMA of the medians.
constexpr double RecentGain = 0.5;

enum class signal : std::uint8_t { None, AsUsual, Slow, Refused };

auto classify(const cold_start_config &Config, call_outcome Outcome,
              micros Latency, micros Reference) -> signal {
  auto Slow = Reference > micros{0} &&
              toDouble(Latency) > Config.SlowFactor * toDouble(Reference);
  switch (Outcome) {
  case call_outcome::Success:
    return Slow ? signal::Slow : signal::AsUsual;
  case call_outcome::Timeout:
  case call_outcome::Cancelled:
    // The time until a caller gave up is only a lower bound of the latency.
    return Slow ? signal::Slow : signal::None;
  case call_outcome::Refused:
    return signal::Refused;
  case call_outcome::Failure:
  case call_outcome::Unreachable:
  case call_outcome::NotStarted:
    return signal::None;
  }
  return signal::None;
}

/** Adds the evidence of one call to the alarm; a warm upstream also learns how
 * many of its calls are slow. */
void accumulate(cold_state &State, const cold_start_config &Config,
                signal Signal) {
  auto Usual = std::clamp(State.SlowRatio, MinSlowRatio, MaxSlowRatio);
  if (Signal == signal::Refused)
    State.Alarm += Config.AlarmThreshold / RefusalParts;
  if (Signal == signal::Slow)
    State.Alarm += std::log(ColdSlowRatio / Usual);
  if (Signal == signal::AsUsual)
    State.Alarm += std::log((1 - ColdSlowRatio) / (1 - Usual));
  State.Alarm = std::max(State.Alarm, 0.0);
  if (!State.Cold && (Signal == signal::Slow || Signal == signal::AsUsual))
    State.SlowRatio +=
        SlowRatioGain * ((Signal == signal::Slow ? 1 : 0) - State.SlowRatio);
}

/** @return whether the closed window is evidence for a raise. */
auto isEvidence(const cold_state &State, const cold_start_config &Config,
                micros Median, micros Typical) -> bool {
  auto Latency = toDouble(Median);
  if (Typical > micros{0})
    return Latency <= Config.NearFactor * toDouble(Typical);
  // Without a known warm latency the upstream counts as warming up as long as
  // its latency falls. The comparison is with recent windows, not with the
  // lowest: the lowest median of a few noisy samples is hardly met again.
  return State.Recent > micros{0} &&
         Latency >= StillFalling * toDouble(State.Recent) &&
         Latency <= Config.NearFactor * toDouble(State.Recent);
}

auto closeWindow(cold_state &State, const cold_start_config &Config,
                 micros Typical, std::uint32_t WarmLimit) -> cold_event {
  auto Median = std::max(medianLatency(State.Window), micros{1});
  State.Window = latency_window{};
  auto Evidence = isEvidence(State, Config, Median, Typical);
  State.Recent =
      State.Recent == micros{0}
          ? Median
          : micros(std::llround(toDouble(State.Recent) * (1 - RecentGain) +
                                toDouble(Median) * RecentGain));
  if (!Evidence)
    return cold_event::Held;
  State.Limit = std::min(State.Limit * 2, WarmLimit);
  if (State.Limit < WarmLimit)
    return cold_event::Raised;
  State.Cold = false;
  State.Alarm = 0;
  return cold_event::Warm;
}

} // namespace

auto makeColdStart(const cold_start_config &Config) -> cold_state {
  auto State = cold_state{};
  State.Limit = std::max(1U, Config.ColdLimit);
  return State;
}

void turnCold(cold_state &State, const cold_start_config &Config) {
  State.Cold = true;
  State.Limit = std::max(1U, Config.ColdLimit);
  State.Alarm = 0;
  State.Recent = micros{0};
  State.Window = latency_window{};
}

auto observeCall(cold_state &State, const cold_start_config &Config,
                 call_outcome Outcome, micros Latency, micros Typical,
                 std::uint32_t WarmLimit, steady_time Now) -> cold_event {
  auto Reference = Typical > micros{0} ? Typical : State.Recent;
  auto Signal = classify(Config, Outcome, Latency, Reference);
  accumulate(State, Config, Signal);
  auto AtColdLimit = State.Cold && State.Limit <= Config.ColdLimit;
  if (State.Alarm >= Config.AlarmThreshold) {
    State.Alarm = 0;
    if (AtColdLimit)
      return cold_event::None;
    turnCold(State, Config);
    ++State.TimesCold;
    return cold_event::TurnedCold;
  }
  if (!State.Cold)
    return cold_event::None;
  if (Signal == signal::Refused) {
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
  return closeWindow(State, Config, Typical, WarmLimit);
}

} // namespace sycamorelb::limits
