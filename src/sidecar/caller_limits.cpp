/** @file caller_limits.cpp Keeps the connections of callers within the memory
 * and the descriptors of the process. */
#include "platform/call_header.h"
#include "sidecar/entry_state.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace sycamorelb::sidecar {

/** Interval of the checks for connections that exceed their timeouts, and thus
 * the most by which a connection can exceed them. */
static constexpr auto ConnectionCheckInterval = micros(2'000'000);

/** Interval of the decisions while memory is under pressure: well below the
 * times after which a connection gives way. */
static constexpr auto ReliefInterval = micros(100'000);

/** The same while nearly all memory is used: answers that are under way fill
 * the rest within some of these intervals. */
static constexpr auto FullReliefInterval = micros(20'000);

using connection_list = std::vector<std::shared_ptr<http::server_connection>>;

/** @return the state of one connection. */
static auto viewCaller(const http::server_connection &Connection,
                       steady_time Now) -> caller_view {
  auto Progress = Connection.progress();
  auto View = caller_view();
  if (Progress.ReadingBody) {
    View.Stage = caller_stage::ReadingBody;
  } else if (Connection.hasUnsentOutput()) {
    View.Stage = caller_stage::Writing;
  } else if (Connection.isBusy()) {
    View.Stage = caller_stage::Running;
  } else if (Connection.isReading()) {
    View.Stage = caller_stage::ReadingHead;
  }
  View.HeldBytes = Progress.HeldBytes;
  View.RemainingBytes = Progress.RemainingBytes;
  View.BodyBytes = Progress.BodyBytes;
  View.StageAge = Now - Connection.stateChangedAt();
  View.Silence = Now - Progress.LastActivityAt;
  View.HasServed = Progress.Requests > 0;
  View.ReadsPaused = Progress.PausedSince.has_value();
  View.PausedFor = Now - Progress.PausedSince.value_or(Now);
  return View;
}

template <class Connections>
static auto listCallers(const Connections &From, steady_time Now)
    -> std::pair<connection_list, std::vector<caller_view>> {
  auto Callers = connection_list();
  auto Views = std::vector<caller_view>();
  for (const auto &[Connection, Serials] : From) {
    Callers.push_back(Connection);
    Views.push_back(viewCaller(*Connection, Now));
  }
  return {std::move(Callers), std::move(Views)};
}

void entry::implementation::applyRelief(
    const connection_list &Callers,
    const std::vector<relief_decision> &Decisions) {
  auto Causes = std::map<std::string, std::int64_t>();
  for (const auto &Decision : Decisions) {
    const auto &Connection = Callers[Decision.Index];
    switch (Decision.Action) {
    case relief_action::Keep:
      continue;
    case relief_action::Resume:
      Connection->resumeReading(Decision.GrantedBytes);
      continue;
    case relief_action::Refuse:
      Connection->refuseUnfinished([&](const http::request &Request) {
        return platform::encodeLocalReply(
            503, platform::decodeCallHeader(Request).Id, DefaultRetryDelay,
            Decision.Cause);
      });
      break;
    case relief_action::Close:
      Connection->close();
      handleConnectionClosed(Connection);
      break;
    }
    ++Causes[Decision.Cause];
  }
  const auto &Memory = *State.Loop.memory();
  for (const auto &[Cause, Count] : Causes) {
    State.Counters.CallersClosed[Cause] += static_cast<std::uint64_t>(Count);
    State.Log.write(
        log_class::State, "callers.closed",
        {{"cause", Cause},
         {"count", Count},
         {"open", static_cast<std::int64_t>(Connections.size())},
         {"buffer_bytes", static_cast<std::int64_t>(Memory.UsedBytes)},
         {"buffer_limit", static_cast<std::int64_t>(Memory.LimitBytes)}});
  }
}

void entry::implementation::closeExpiredConnections() {
  auto Limits =
      State.Routes ? State.Routes->config().Limits : mesh::caller_limits();
  auto Now = State.Loop.now();
  chargeUnread();
  auto [Callers, Views] = listCallers(Connections, Now);
  applyRelief(Callers,
              findExpired(Views, {Limits.HeadTimeout, Limits.IdleTimeout}));
  State.Loop.addTimer(Now + ConnectionCheckInterval,
                      [this] { closeExpiredConnections(); });
}

void entry::implementation::watchMemory() {
  if (State.Settings.MemoryMb == 0) {
    return;
  }
  State.Loop.memory()->OnPressure = [this] {
    State.Loop.addTimer(State.Loop.now() + ReliefInterval,
                        [this] { relieveCallers(); });
  };
}

void entry::implementation::chargeUnread() {
  for (const auto &[Connection, Serials] : Connections) {
    Connection->chargeUnread();
  }
}

void entry::implementation::relieveOnce() {
  chargeUnread();
  auto [Callers, Views] = listCallers(Connections, State.Loop.now());
  applyRelief(Callers, relieveMemory(Views, *State.Loop.memory()));
}

void entry::implementation::relieveIfFull() {
  // On a busy host the timer is late, and many answers arrive meanwhile.
  if (IsReliefDeferred ||
      event::pressureOn(*State.Loop.memory()) != event::memory_pressure::Full) {
    return;
  }
  IsReliefDeferred = true;
  State.Loop.defer([this] {
    IsReliefDeferred = false;
    relieveOnce();
  });
}

void entry::implementation::relieveCallers() {
  auto &Memory = *State.Loop.memory();
  relieveOnce();
  auto [Callers, Views] = listCallers(Connections, State.Loop.now());
  auto IsPaused = std::any_of(Views.begin(), Views.end(), [](const auto &View) {
    return View.ReadsPaused;
  });
  if (event::pressureOn(Memory) == event::memory_pressure::None && !IsPaused) {
    Memory.Watched = false;
    return;
  }
  auto IsFull = event::pressureOn(Memory) == event::memory_pressure::Full;
  State.Loop.addTimer(State.Loop.now() +
                          (IsFull ? FullReliefInterval : ReliefInterval),
                      [this] { relieveCallers(); });
}

auto entry::implementation::makeRoomForCaller() -> bool {
  auto Max = maxCallerConnections(State.Settings.FileDescriptors);
  if (Connections.size() < Max) {
    return true;
  }
  auto [Callers, Views] = listCallers(Connections, State.Loop.now());
  auto Chosen = chooseForNewCaller(Views);
  if (Chosen == Callers.size()) {
    ++State.Counters.CallersClosed["no descriptor for new"];
    return false;
  }
  applyRelief(Callers, {{Chosen, relief_action::Close, "no descriptor"}});
  return true;
}

} // namespace sycamorelb::sidecar
