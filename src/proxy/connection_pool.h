/** @file connection_pool.h Pool of idle connections to peers. */
#pragma once

#include "proxy/connection.h"

#include "sycamorelb/core/mutex.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sycamorelb::proxy {

/** Connection acquired from the pool, or a new one. */
struct pooled_connection {
  std::unique_ptr<connection> Connection; ///< Null if the pool had none.
  bool Reused = false;          ///< The connection came from the pool.
  std::uint64_t Generation = 0; ///< Of the address, when acquired.
};

/** Keeps idle connections by address; each is used by one call at a time. */
class connection_pool {
public:
  /** @param MaxIdlePerPeer maximum idle connections per address.
   * @param IdleTimeout maximum idle time of a connection. */
  connection_pool(std::uint32_t MaxIdlePerPeer, millis IdleTimeout)
      : MaxIdlePerPeer(MaxIdlePerPeer), IdleTimeout(IdleTimeout) {}

  /** Takes an idle connection that is open and has no unread input.
   * @return a null connection if there is none; Generation is always set.
   */
  auto acquire(const std::string &Address) -> pooled_connection;

  /** Returns a connection to the pool, or closes it if the address was dropped
   * since it was acquired or has enough idle connections. */
  void release(const std::string &Address, pooled_connection Connection);

  /** Closes the idle connections to Address; those in use are closed when they
   * are released. */
  void drop(const std::string &Address);

  /** @return the number of connections that drop or acquire closed. */
  auto dropped() const -> std::uint64_t { return Dropped.load(); }

private:
  struct idle_connection {
    std::unique_ptr<connection> Connection;
    steady_time IdleSince; // Time at which it was released.
  };
  struct peer {
    std::vector<idle_connection> Idle; // The most recently used is last.
    std::uint64_t Generation = 0;      // Number of drop calls so far.
  };

  void removeExpired(steady_time Now, std::vector<idle_connection> &Expired);

  std::uint32_t MaxIdlePerPeer;
  millis IdleTimeout;
  ranked_mutex<lock_rank::ConnectionPools> Mutex;
  std::map<std::string, peer> Peers;
  steady_time NextSweep{}; // Time of the next check for expired connections.
  std::atomic<std::uint64_t> Dropped{0};
};

} // namespace sycamorelb::proxy
