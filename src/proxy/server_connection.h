/** @file server_connection.h Connections of callers and their registry. */
#pragma once

#include "proxy/connection.h"

#include "sycamorelb/core/mutex.h"

#include <atomic>
#include <memory>
#include <unordered_map>

namespace sycamorelb::proxy {

/** Event that a connection waits for. */
enum class connection_phase : std::uint8_t {
  Idle,   ///< First byte of a request.
  Head,   ///< Rest of a request head.
  Busy,   ///< End of the request in progress.
  Linger, ///< Close by the caller, after the response was written.
};

/** Connection of a caller. Only the thread that received its epoll event may
 * use it, except for the atomic members. */
struct server_connection {
  server_connection(int Fd, steady_time FirstDeadline)
      : Socket(Fd), Deadline(FirstDeadline.time_since_epoch().count()) {}

  connection Socket; ///< Socket and input buffer.
  std::atomic<connection_phase> Phase{connection_phase::Idle}; ///< Its phase.
  std::atomic<std::int64_t> Deadline; ///< End of the wait, in steady clock µs.
};

/** All connections of a server. */
class connection_registry {
public:
  /** Adds a connection that may wait for its first request until FirstDeadline.
   * @return null if Limit connections are open; Fd is then closed. */
  auto add(int Fd, std::uint32_t Limit, steady_time FirstDeadline)
      -> server_connection *;
  /** Closes a connection; call only on the thread that uses it. */
  void remove(server_connection &Connection);
  /** Shuts down the connections whose deadline has passed, except busy ones;
   * the resulting events make a worker remove them. */
  void shutdownExpired(steady_time Now);
  /** Shuts down all connections. */
  void shutdownAll();
  /** @return the number of open connections. */
  auto size() -> std::uint32_t;

private:
  ranked_mutex<lock_rank::ConnectionPools> Mutex;
  std::unordered_map<server_connection *, std::unique_ptr<server_connection>>
      Connections;
};

} // namespace sycamorelb::proxy
