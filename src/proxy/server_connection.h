/** @file server_connection.h A caller's connection and the registry of them. */
#pragma once

#include "proxy/connection.h"

#include "sycamorelb/core/mutex.h"

#include <atomic>
#include <memory>
#include <unordered_map>

namespace sycamorelb::proxy {

/** What a connection waits for. */
enum class connection_phase : std::uint8_t {
  Idle,   ///< The first byte of a request.
  Head,   ///< The rest of a request head.
  Busy,   ///< The end of its request.
  Linger, ///< The caller's close, after the answer was written.
};

/** A caller's connection. Only the thread that received its event uses it,
 * except for the atomic members. */
struct server_connection {
  server_connection(int Fd, steady_time Until)
      : Socket(Fd), Deadline(Until.time_since_epoch().count()) {}

  connection Socket;                                           ///< The socket.
  std::atomic<connection_phase> Phase{connection_phase::Idle}; ///< Its wait.
  std::atomic<std::int64_t> Deadline; ///< End of the wait, steady µs.
};

/** All connections of a server. */
class connection_registry {
public:
  /** Adds a connection that waits for its first request until Until.
   * @return null when Limit connections are open. */
  auto add(int Fd, std::uint32_t Limit, steady_time Until)
      -> server_connection *;
  /** Closes a connection; only by the thread that uses it. */
  void remove(server_connection &Connection);
  /** Shuts down the connections whose wait has ended, except busy ones; their
   * events then lead to remove. */
  void shutExpired(steady_time Now);
  /** Shuts down all connections. */
  void shutAll();
  /** @return the number of connections. */
  auto size() -> std::uint32_t;

private:
  ranked_mutex<lock_rank::ConnectionPools> Mutex;
  std::unordered_map<server_connection *, std::unique_ptr<server_connection>>
      Connections;
};

} // namespace sycamorelb::proxy
