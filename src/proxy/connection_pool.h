/** @file connection_pool.h Kept connections to peers. */
#pragma once

#include "proxy/connection.h"

#include "sycamorelb/core/mutex.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sycamorelb::proxy {

/** A connection taken from the pool, or a new one. */
struct pooled_connection {
  std::unique_ptr<connection> Connection; ///< Null when none could be opened.
  bool Reused = false;                    ///< It carried another call before.
  std::uint64_t Generation = 0;           ///< Of the address, for give.
};

/** Keeps idle connections by address; each is used by one call at a time. */
class connection_pool {
public:
  /** @param IdlePerPeer kept connections per address.
   * @param IdleTimeout connections idle for longer are closed. */
  connection_pool(std::uint32_t IdlePerPeer, millis IdleTimeout)
      : IdlePerPeer(IdlePerPeer), IdleTimeout(IdleTimeout) {}

  /** Takes a kept connection that is open and has no unread input.
   * @return a null connection if there is none; Generation is set in any case.
   */
  auto take(const std::string &Address) -> pooled_connection;

  /** Keeps the connection, unless the address was dropped since take. */
  void give(const std::string &Address, pooled_connection Connection);

  /** Closes the kept connections to Address; those in use are not kept
   * afterwards. */
  void drop(const std::string &Address);

  /** @return the number of connections that drop or take closed. */
  auto dropped() const -> std::uint64_t { return Dropped.load(); }

private:
  struct idle_connection {
    std::unique_ptr<connection> Connection;
    steady_time Since; // Time at which it was given back.
  };
  struct peer {
    std::vector<idle_connection> Idle; // The most recently used comes last.
    std::uint64_t Generation = 0;      // Counts the calls of drop.
  };

  void closeExpired(steady_time Now, std::vector<idle_connection> &Expired);

  std::uint32_t IdlePerPeer;
  millis IdleTimeout;
  ranked_mutex<lock_rank::ConnectionPools> Mutex;
  std::map<std::string, peer> Peers;
  steady_time NextSweep{}; // Next search for expired connections.
  std::atomic<std::uint64_t> Dropped{0};
};

} // namespace sycamorelb::proxy
