/** @file shutdown.cpp Graceful shutdown of a node. */
#include "sidecar/sidecar_state.h"

#include <utility>

namespace sycamorelb::sidecar {

/** Time after a stop signal before which the process doesn't end: readiness is
 * probed once a second, and a node counts as not ready after two failed probes.
 * Calls are accepted as long as they end before the process does; those that
 * the target makes for calls in progress come late. */
static constexpr auto MinStopTime = micros(3'000'000);

/** Time after a stop signal during which other nodes may still forward calls
 * here: their own targets may lack capacity, and most calls finish in the time
 * that remains. */
static constexpr auto PeerAcceptPeriod = micros(2'200'000);

/** Time after a stop signal from which idle connections are closed. */
static constexpr auto IdleCloseDelay = micros(2'500'000);

/** Safety margin before the end of the grace period. */
static constexpr auto StopMargin = micros(300'000);

/** Interval of the checks during shutdown. */
static constexpr auto StopCheckInterval = micros(100'000);

void sidecar::implementation::beginStop(std::function<void()> Finish) {
  if (State.Stopping) {
    return;
  }
  OnStopped = std::move(Finish);
  State.Stopping = true;
  StopRequestedAt = Loop.now();
  State.StopEndsAt =
      StopRequestedAt + micros(State.Settings.Bounds.StopGrace) - StopMargin;
  State.Log.write(
      log_class::State, "process.stopping",
      {{"open_calls", static_cast<std::int64_t>(Entry.openCalls())},
       {"busy", static_cast<std::int64_t>(Admission.pendingCalls())}});
  checkStop();
}

void sidecar::implementation::checkStop() {
  auto Elapsed = Loop.now() - StopRequestedAt;
  if (Elapsed >= PeerAcceptPeriod && !State.Own.Leaving) {
    State.Own.Leaving = true;
    publishOwnRecord(State);
    Gossip.broadcastState();
  }
  if (Elapsed >= IdleCloseDelay) {
    Entry.closeIdleConnections();
  }
  auto AllCallsEnded = Entry.openCalls() == 0 &&
                       Admission.pendingCalls() == 0 &&
                       !Entry.hasUnsentOutput() && Loop.lingeringStreams() == 0;
  auto IsOver = Loop.now() >= State.StopEndsAt;
  if ((Elapsed >= MinStopTime && AllCallsEnded) || IsOver) {
    State.Log.write(
        log_class::State, "process.stopped",
        {{"after_us", Elapsed.count()},
         {"open_calls", static_cast<std::int64_t>(Entry.openCalls())}});
    // These began before the stop; their callers get an answer all the same.
    Entry.endCalls();
    State.Log.flush();
    return OnStopped();
  }
  Loop.addTimer(Loop.now() + StopCheckInterval, [this] { checkStop(); });
}

void sidecar::stop(std::function<void()> OnStopped) {
  Impl->beginStop(std::move(OnStopped));
}

} // namespace sycamorelb::sidecar
