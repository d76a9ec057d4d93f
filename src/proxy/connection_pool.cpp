/** @file connection_pool.cpp Pool of idle connections to peers. */
#include "proxy/connection_pool.h"

#include "sycamorelb/core/clock_func.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sycamorelb::proxy {

auto connection_pool::acquire(const std::string &Address) -> pooled_connection {
  for (;;) {
    auto Acquired = pooled_connection();
    {
      auto Lock = std::lock_guard(Mutex);
      auto &Peer = Peers[Address];
      Acquired.Generation = Peer.Generation;
      if (Peer.Idle.empty()) {
        return Acquired;
      }
      auto MostRecent = std::move(Peer.Idle.back());
      Peer.Idle.pop_back();
      if (steadyNow() - MostRecent.IdleSince < IdleTimeout) {
        Acquired.Connection = std::move(MostRecent.Connection);
      }
    }
    if (Acquired.Connection != nullptr && Acquired.Connection->isReusable()) {
      Acquired.Reused = true;
      return Acquired;
    }
    ++Dropped;
  }
}

void connection_pool::release(const std::string &Address,
                              pooled_connection Connection) {
  auto Expired = std::vector<idle_connection>();
  auto Now = steadyNow();
  Connection.Connection->releaseBuffer();
  auto Lock = std::lock_guard(Mutex);
  auto &Peer = Peers[Address];
  if (Peer.Generation == Connection.Generation &&
      Peer.Idle.size() < MaxIdlePerPeer) {
    Peer.Idle.push_back({std::move(Connection.Connection), Now});
  }
  if (Now >= NextSweep) {
    removeExpired(Now, Expired);
    NextSweep = Now + IdleTimeout / 4;
  }
}

void connection_pool::removeExpired(steady_time Now,
                                    std::vector<idle_connection> &Expired) {
  for (auto &[Address, Peer] : Peers) {
    auto FirstUnexpired = std::find_if(
        Peer.Idle.begin(), Peer.Idle.end(), [&](const auto &Candidate) {
          return Now - Candidate.IdleSince < IdleTimeout;
        });
    std::move(Peer.Idle.begin(), FirstUnexpired, std::back_inserter(Expired));
    Peer.Idle.erase(Peer.Idle.begin(), FirstUnexpired);
  }
}

void connection_pool::drop(const std::string &Address) {
  auto Closed = std::vector<idle_connection>();
  auto Lock = std::lock_guard(Mutex);
  auto &Peer = Peers[Address];
  ++Peer.Generation;
  Dropped += Peer.Idle.size();
  Closed.swap(Peer.Idle);
}

} // namespace sycamorelb::proxy
