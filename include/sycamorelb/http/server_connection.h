/** @file server_connection.h Server side of one HTTP/1.1 connection. */
#pragma once

#include "sycamorelb/event/stream.h"
#include "sycamorelb/http/message_type.h"

#include <functional>
#include <memory>

namespace sycamorelb::http {

/** Bounds on what a client may send. */
struct server_limits {
  std::size_t MaxHeadBytes = std::size_t{16} * 1024;        ///< Request head.
  std::size_t MaxBodyBytes = std::size_t{64} * 1024 * 1024; ///< Body.
};

/**
 * Reads whole requests and writes whole responses, one at a time. A malformed
 * request is answered and the connection closed; the handler never sees it.
 */
class server_connection
    : public std::enable_shared_from_this<server_connection> {
public:
  using request_handler =
      std::function<void(const std::shared_ptr<server_connection> &, request)>;

  static auto create(std::shared_ptr<event::stream> Stream,
                     server_limits Limits, request_handler Handle)
      -> std::shared_ptr<server_connection>;
  ~server_connection();
  server_connection(const server_connection &) = delete;
  auto operator=(const server_connection &) -> server_connection & = delete;

  /** Called when the client goes away while its request is in progress, and
   * when the connection ends otherwise. */
  std::function<void()> OnGone;

  /** Answers the request in progress. Does nothing if the client has left.
   * @param Close closes the connection after the response. */
  void respond(const response &Response, bool Close);
  /** @return whether a request is in progress. */
  auto isBusy() const -> bool;
  /** @return whether bytes of a request arrived that is not complete yet. */
  auto isReading() const -> bool;
  /** @return the time of the last change between idle, reading and busy. */
  auto changedAt() const -> steady_time;
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
