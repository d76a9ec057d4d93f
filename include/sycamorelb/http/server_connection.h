/** @file server_connection.h Server side of one HTTP/1.1 connection. */
#pragma once

#include "sycamorelb/event/stream.h"
#include "sycamorelb/http/message_type.h"

#include <functional>
#include <memory>

namespace sycamorelb::http {

/** Limits on the size of a request. */
struct server_limits {
  std::size_t MaxHeadBytes = std::size_t{16} * 1024;        ///< Request head.
  std::size_t MaxBodyBytes = std::size_t{64} * 1024 * 1024; ///< Body.
};

/**
 * Reads complete requests and writes complete responses, one at a time. A
 * malformed request gets an error response and closes the connection; the
 * handler is not called for it.
 */
class server_connection
    : public std::enable_shared_from_this<server_connection> {
public:
  using request_handler =
      std::function<void(const std::shared_ptr<server_connection> &, request)>;

  static auto create(std::shared_ptr<event::stream> Stream,
                     server_limits Limits, request_handler Handler)
      -> std::shared_ptr<server_connection>;
  ~server_connection();
  server_connection(const server_connection &) = delete;
  auto operator=(const server_connection &) -> server_connection & = delete;

  /** Called at most once, when the connection ends: closed by the client, also
   * while its request is in progress, or after a last response. Not called
   * after close(). */
  std::function<void()> OnClosed;

  /** Sends the response to the request in progress. Does nothing if there is
   * none.
   * @param Close whether to close the connection after the response. */
  void respond(const response &Response, bool Close);
  /** @return whether a request is in progress. */
  auto isBusy() const -> bool;
  /** @return whether a request has been received in part. */
  auto isReading() const -> bool;
  /** @return the time of the last change to reading a body, busy or idle. */
  auto stateChangedAt() const -> steady_time;
  /** Closes the connection at once. */
  void close();

private:
  struct implementation;
  explicit server_connection(std::unique_ptr<implementation> Impl);
  void readRequests();
  void reject(int Status, const std::string &Reason);
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::http
