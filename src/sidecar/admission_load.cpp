/** @file admission_load.cpp Capacity and load of the local target. */
#include "sidecar/admission_state.h"
#include "sycamorelb/core/number_func.h"

#include <algorithm>
#include <utility>

namespace sycamorelb::sidecar {

using namespace inner;

/** Calls per second to a cold target whose limit isn't known. */
static constexpr auto UnknownColdRate = 1.0;

/** Time over which the calls to a cold target are counted for one log line. */
static constexpr auto ColdCallLogInterval = micros(1'000'000);

/** Work figure of a machine at its full speed. */
static constexpr auto FullSpeedPercent = 100.0;

auto admission::implementation::coldRate() const -> double {
  const auto *Rule =
      State.Routes ? State.Routes->findService(Target.Service) : nullptr;
  const auto &Bounds = State.Settings.Bounds;
  auto Configured = Rule == nullptr ? ToldColdCallsPerSecond
                                    : std::optional(Rule->ColdCallsPerSecond);
  return Configured ? dispatch::coldRateLimit(
                          *Configured, Bounds.ColdRateFactor, Bounds.ColdSlack)
                    : UnknownColdRate;
}

auto admission::implementation::coldRateSource() const -> const char * {
  if (State.Routes && State.Routes->findService(Target.Service) != nullptr) {
    return "configuration";
  }
  return ToldColdCallsPerSecond ? "told" : "unknown";
}

void admission::implementation::countColdCall() {
  if (ColdCalls.Calls++ == 0) {
    State.Loop.addTimer(State.Loop.now() + ColdCallLogInterval,
                        [this] { logColdCalls(); });
  }
  auto Delay = State.Loop.clockTime() - State.Loop.now();
  ColdCalls.LoopDelay = std::max(ColdCalls.LoopDelay, Delay);
}

void admission::implementation::logColdCalls() {
  State.Log.write(log_class::State, "target.cold_calls",
                  {{"target", Target.Id.Value},
                   {"calls", ColdCalls.Calls},
                   {"limit_per_ks", static_cast<std::int64_t>(
                                        std::min(coldRate() * 1e3, 1e15))},
                   {"limit_from", coldRateSource()},
                   {"loop_delay_us", ColdCalls.LoopDelay.count()},
                   {"write_delay_us", ColdCalls.WriteDelay.count()},
                   {"cold", std::int64_t{isCold() ? 1 : 0}}});
  ColdCalls = cold_call_count();
}

void admission::implementation::adoptColdRate(const forward_message &Forward) {
  auto &Known = ToldColdCallsPerSecond;
  auto Told = Forward.ColdCallsPerSecond;
  if (!Told || Forward.Service != State.Settings.Service) {
    return;
  }
  // Nodes may have different configurations; the strictest limit counts.
  auto IsStricter = Known && *Told > 0 && (*Known <= 0 || *Told < *Known);
  if (!Known || IsStricter) {
    Known = Told;
    State.Log.write(log_class::State, "target.cold_limit_told",
                    {{"calls_per_ks",
                      static_cast<std::int64_t>(std::min(*Told * 1e3, 1e15))},
                     {"configured", std::int64_t{State.Routes ? 1 : 0}}});
  }
}

auto admission::implementation::allowedCalls() const -> std::uint32_t {
  return dispatch::isKnown(Speed)
             ? dispatch::allowedConcurrency(Limit, Target.Slots)
             : Target.Slots;
}

auto admission::implementation::occupiedSlots() -> std::uint32_t {
  while (!AbandonedUntil.empty() &&
         AbandonedUntil.front() <= State.Loop.now()) {
    AbandonedUntil.pop_front();
  }
  // The targets queue more calls than they have slots.
  auto Abandoned = static_cast<std::uint32_t>(AbandonedUntil.size());
  return Running + (Abandoned > Target.Slots ? Abandoned - Target.Slots : 0);
}

void admission::implementation::recordAbandoned() {
  if (dispatch::isKnown(Speed)) {
    AbandonedUntil.push_back(State.Loop.now() + currentMeanRun());
  }
}

auto admission::implementation::usualRun(micros RunAtFullSpeed) const
    -> micros {
  return dispatch::isKnown(Speed)
             ? dispatch::scaled(RunAtFullSpeed, Speed.Usual / FullSpeedPercent)
             : RunAtFullSpeed;
}

auto admission::implementation::speedFactor() const -> double {
  return dispatch::workFactor(
      dispatch::relativeWorkPercent(Speed, State.Loop.now()), micros(0));
}

auto admission::implementation::currentMeanRun() const -> micros {
  return dispatch::scaled(usualRun(MeanRun), speedFactor());
}

auto admission::implementation::isTooSlowNow(
    const forward_message &Forward, dispatch::queued_call &Waiting) const
    -> bool {
  auto Known = Routes.find(Forward.Route);
  if (Known == Routes.end()) {
    return false;
  }
  auto Forecast = dispatch::forecastStart(
      usualRun(Known->second.Mean), speedFactor(), Forward.TimeToStartOnTime);
  Waiting.LatestOnTimeStart -= Forecast.Delay;
  // A call that can't be on time anywhere only needs to meet its deadline.
  if (Forward.TimeToLatestStart !=
      std::max(Forward.TimeToStartOnTime, dispatch::MinTimeToStart)) {
    return false;
  }
  Waiting.LatestStart -= Forecast.Delay;
  return Forecast.Late;
}

auto admission::implementation::capacity() const -> dispatch::target_capacity {
  auto Capacity = dispatch::target_capacity();
  Capacity.Slots = allowedCalls();
  Capacity.Running = Running;
  Capacity.MeanRun = currentMeanRun();
  Capacity.Starts.Now = State.Loop.now();
  Capacity.Starts.ColdCallsPerSecond = isCold() ? coldRate() : 0;
  if (Capacity.Starts.ColdCallsPerSecond > 0) {
    Capacity.Starts.Cold = &Rate;
  }
  if (StartLimit.CallsPerSecond) {
    Capacity.Starts.Named = &StartLimit;
  }
  return Capacity;
}

auto admission::implementation::nextCallTime() const -> steady_time {
  auto Now = State.Loop.now();
  auto Next = dispatch::nextStartTime(StartLimit, Now);
  auto ColdRate = isCold() ? coldRate() : 0;
  return ColdRate > 0
             ? std::max(Next, dispatch::nextColdCallTime(Rate, ColdRate, Now))
             : Next;
}

auto admission::implementation::load() const -> dispatch::load_report {
  auto Load = dispatch::load_report();
  Load.Running = Running;
  Load.Queued = static_cast<std::uint32_t>(Queue.size());
  Load.Slots = Target.Slots;
  Load.MeanRun = usualRun(MeanRun);
  if (dispatch::isKnown(Speed)) {
    Load.Concurrency = allowedCalls();
    Load.WorkPercent = dispatch::relativeWorkPercent(Speed, State.Loop.now());
  }
  Load.FailurePpm = static_cast<std::uint32_t>(FailureShare * 1e6);
  Load.Cold = isCold();
  auto Capacity = capacity();
  Load.Wait = dispatch::expectedWait(Capacity, Queue.size());
  Load.StartGap = dispatch::meanStartGap(Capacity.Starts);
  Load.LinkKbps = saturatedCast<std::uint32_t>(State.Settings.LinkMbps * 1e3);
  Load.LinkBusyPpm = static_cast<std::uint32_t>(State.LinkUtilization * 1e6);
  Load.BulkPpm = static_cast<std::uint32_t>(State.BulkShare * 1e6);
  return Load;
}

} // namespace sycamorelb::sidecar
