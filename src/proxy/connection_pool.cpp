/** @file connection_pool.cpp Kept connections to peers. */
#include "proxy/connection_pool.h"

#include "sycamorelb/core/clock_func.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sycamorelb::proxy {

auto connection_pool::take(const std::string &Address) -> pooled_connection {
  for (;;) {
    auto Taken = pooled_connection();
    {
      auto Lock = std::lock_guard(Mutex);
      auto &Peer = Peers[Address];
      Taken.Generation = Peer.Generation;
      if (Peer.Idle.empty()) {
        return Taken;
      }
      auto Last = std::move(Peer.Idle.back());
      Peer.Idle.pop_back();
      if (steadyNow() - Last.Since < IdleTimeout) {
        Taken.Connection = std::move(Last.Connection);
      }
    }
    if (Taken.Connection != nullptr && Taken.Connection->isQuiet()) {
      Taken.Reused = true;
      return Taken;
    }
    ++Dropped;
  }
}

void connection_pool::give(const std::string &Address,
                           pooled_connection Connection) {
  auto Expired = std::vector<idle_connection>();
  auto Now = steadyNow();
  Connection.Connection->releaseBuffer();
  auto Lock = std::lock_guard(Mutex);
  auto &Peer = Peers[Address];
  if (Peer.Generation == Connection.Generation &&
      Peer.Idle.size() < IdlePerPeer) {
    Peer.Idle.push_back({std::move(Connection.Connection), Now});
  }
  if (Now >= NextSweep) {
    closeExpired(Now, Expired);
    NextSweep = Now + IdleTimeout / 4;
  }
}

void connection_pool::closeExpired(steady_time Now,
                                   std::vector<idle_connection> &Expired) {
  for (auto &[Address, Peer] : Peers) {
    auto FirstFresh = std::find_if(Peer.Idle.begin(), Peer.Idle.end(),
                                   [&](const auto &Candidate) {
                                     return Now - Candidate.Since < IdleTimeout;
                                   });
    std::move(Peer.Idle.begin(), FirstFresh, std::back_inserter(Expired));
    Peer.Idle.erase(Peer.Idle.begin(), FirstFresh);
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
