/** @file target_pool.cpp Pool of connections to the local target. */
#include "sidecar/target_pool.h"

#include "platform/call_header.h"

#include <algorithm>

namespace sycamorelb::sidecar {

/** Timeout for connecting to the target on the same host; an idle target takes
 * about 1 ms. */
static constexpr auto ConnectTimeout = millis(1000);
/** Maximum idle time of a connection, also if the target announces no timeout;
 * shorter than the shortest idle timeout known of a target. */
static constexpr auto MaxIdle = micros(4'000'000);
/** Maximum idle time of a connection for a call that must not be retried. */
static constexpr auto MaxFreshIdle = micros(400'000);
/** Share of an announced idle timeout for which a connection is used. */
static constexpr auto AnnouncedIdleShare = 0.6;
/** Maximum size of a response body, in bytes. */
static constexpr auto MaxResponseBytes = std::size_t{32} * 1024 * 1024;

/** Maximum size of all response bodies while they are received, in bytes: a
 * target that writes without end on all its connections must not exhaust the
 * memory of the host. */
static constexpr auto MaxReceivedBytes = std::size_t{48} * 1024 * 1024;

/** Share of the memory budget that they may take, if that is less. */
static constexpr auto ReceivedShare = std::size_t{3};

/** @return the maximum size of all response bodies while they are received;
 * one of the maximum size always fits. */
static auto maxReceivedBytes(std::size_t Budget) -> std::size_t {
  return Budget == 0
             ? MaxReceivedBytes
             : std::min(MaxReceivedBytes,
                        std::max(MaxResponseBytes + 1, Budget / ReceivedShare));
}

target_pool::target_pool(node_state &State)
    : State(State),
      Budget(std::make_shared<http::body_budget>(http::body_budget{
          maxReceivedBytes(State.Loop.memory()->LimitBytes), 0})) {}

/** @return the idle time up to which a connection is used. */
static auto maxIdleTime(const http::client_connection &Connection) -> micros {
  auto Announced = Connection.announcedIdleTimeout();
  if (!Announced) {
    return MaxIdle;
  }
  auto Usable =
      static_cast<double>(micros(*Announced).count()) * AnnouncedIdleShare;
  return std::min(MaxIdle, micros(static_cast<std::int64_t>(Usable)));
}

void target_pool::removeUnusable() {
  auto Now = State.Loop.now();
  std::erase_if(Idle, [Now](const auto &Connection) {
    return !Connection->isReusable() ||
           Now - Connection->idleSince() > maxIdleTime(*Connection);
  });
}

auto target_pool::take(bool RequireFresh)
    -> std::shared_ptr<http::client_connection> {
  removeUnusable();
  auto MayUse = !Idle.empty() &&
                (!RequireFresh ||
                 State.Loop.now() - Idle.back()->idleSince() <= MaxFreshIdle);
  if (MayUse) {
    auto Connection = std::move(Idle.back());
    Idle.pop_back();
    return Connection;
  }
  ++State.Counters.TargetConnections;
  auto Options = http::client_options();
  Options.ConnectTimeout = ConnectTimeout;
  Options.MaxBodyBytes = MaxResponseBytes;
  Options.SameHost = true;
  Options.Budget = Budget;
  return http::client_connection::open(State.Loop, State.Settings.TargetAddress,
                                       Options);
}

void target_pool::put(std::shared_ptr<http::client_connection> Connection) {
  if (Connection->isReusable()) {
    // Reuses the last used connection first, so that surplus ones expire.
    Idle.push_back(std::move(Connection));
  }
}

void target_pool::clear() { Idle.clear(); }

} // namespace sycamorelb::sidecar
