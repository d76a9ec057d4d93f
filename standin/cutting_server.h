/** @file cutting_server.h HTTP server that can close a connection instead of
 * answering. */
#pragma once

#include <atomic>
#include <cstdint>
#include <httplib.h>

namespace sycamorelb::standin {

/** Closes the connection of the current request without sending the answer.
 * Call it from a handler. */
void closeWithoutAnswer();

/** HTTP server for stand-ins: has a larger listen backlog than the library's
 * server, stops promptly and can suppress answers. */
class cutting_server : public httplib::Server {
public:
  cutting_server();

  /** Binds to loopback.
   * @param Port port, or 0 for any free one.
   * @return the bound port, or 0 on failure. */
  auto bindLoopback(std::uint16_t Port) -> std::uint16_t;

  /** Ends idle connections within 50 ms and closes the listening socket. */
  void stopPromptly();

  /** @return whether the server is stopping. */
  auto isStopping() const -> bool { return Stopping; }

private:
  auto process_and_close_socket(socket_t Socket) -> bool override; // NOLINT

  std::atomic<bool> Stopping{false};
  std::atomic<int> ListenSocket{-1};
};

} // namespace sycamorelb::standin
