/** @file cutting_server.h HTTP server that can close a connection instead of
 * answering. */
#pragma once

#include <atomic>
#include <cstdint>
#include <httplib.h>

namespace sycamorelb::standin {

/** Makes the current request's connection close without an answer; called from
 * a handler. */
void cutAnswer();

/** Server for stand-ins: larger accept backlog, quick stop, cut answers. */
class cutting_server : public httplib::Server {
public:
  cutting_server();

  /** Binds to loopback.
   * @param Port 0 for a free one.
   * @return the port, or 0 on failure. */
  auto bindLoopback(std::uint16_t Port) -> std::uint16_t;

  /** Ends idle connections within 50 ms and closes the listening socket. */
  void stopSoon();

  /** @return whether stopSoon was called. */
  auto stopping() const -> bool { return Stopping; }

private:
  auto process_and_close_socket(socket_t Socket) -> bool override; // NOLINT

  std::atomic<bool> Stopping{false};
  std::atomic<int> Listening{-1};
};

} // namespace sycamorelb::standin
