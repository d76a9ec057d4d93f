/** @file target_pool.cpp Connections to the target beside a node. */
#include "sidecar/target_pool.h"

#include "platform/call_header.h"

#include <algorithm>

namespace sycamorelb::sidecar {

/** Time to establish a connection on the same host; the target takes about
 * 1 ms when it is not busy. */
static constexpr auto ConnectTimeout = millis(1000);
/** Idle time after which a connection is closed where the target announced no
 * timeout; below the shortest that targets are known to have. */
static constexpr auto DefaultIdle = micros(4'000'000);
/** Idle time up to which a connection may carry a call that must not repeat. */
static constexpr auto FreshIdle = micros(400'000);
/** Part of an announced idle timeout that is used. */
static constexpr auto IdleShare = 0.6;
/** Longest answer of a target, in bytes. */
static constexpr auto MaxAnswerBytes = std::size_t{32} * 1024 * 1024;

/** @return how long a connection may have been idle. */
static auto usableIdle(const http::client_connection &Connection) -> micros {
  auto Announced = Connection.announcedIdleTimeout();
  if (!Announced) {
    return DefaultIdle;
  }
  auto Usable = static_cast<double>(micros(*Announced).count()) * IdleShare;
  return std::min(DefaultIdle, micros(static_cast<std::int64_t>(Usable)));
}

void target_pool::removeUnusable() {
  auto Now = State.Loop.now();
  std::erase_if(Idle, [Now](const auto &Connection) {
    return !Connection->isReusable() ||
           Now - Connection->idleSince() > usableIdle(*Connection);
  });
}

auto target_pool::take(bool Fresh) -> std::shared_ptr<http::client_connection> {
  removeUnusable();
  auto MayUse =
      !Idle.empty() &&
      (!Fresh || State.Loop.now() - Idle.back()->idleSince() <= FreshIdle);
  if (MayUse) {
    auto Connection = std::move(Idle.back());
    Idle.pop_back();
    return Connection;
  }
  ++State.Counters.TargetConnections;
  auto Options = http::client_options();
  Options.ConnectTimeout = ConnectTimeout;
  Options.MaxBodyBytes = MaxAnswerBytes;
  Options.SameHost = true;
  return http::client_connection::open(State.Loop, State.Settings.Target,
                                       Options);
}

void target_pool::put(std::shared_ptr<http::client_connection> Connection) {
  if (Connection->isReusable()) {
    // The connection used last is taken first, so that the others age out.
    Idle.push_back(std::move(Connection));
  }
}

void target_pool::clear() { Idle.clear(); }

} // namespace sycamorelb::sidecar
