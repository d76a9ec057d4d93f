/** @file server_connection.h Server side of one HTTP/1.1 connection. */
#pragma once

#include "sycamorelb/event/stream.h"
#include "sycamorelb/http/message_type.h"
#include "sycamorelb/http/pipeline_type.h"

#include <functional>
#include <memory>
#include <optional>

namespace sycamorelb::http {

/** Limits on the size of a request. */
struct server_limits {
  std::size_t MaxHeadBytes = std::size_t{16} * 1024;        ///< Request head.
  std::size_t MaxBodyBytes = std::size_t{64} * 1024 * 1024; ///< Body.
};

/** What a connection holds, and how its current request goes on. */
struct connection_progress {
  bool ReadingBody = false;       ///< A body has arrived in part.
  std::size_t HeldBytes = 0;      ///< Memory of buffers and of that body.
  std::uint64_t Requests = 0;     ///< Whole requests so far.
  std::size_t BodyBytes = 0;      ///< Size of that body so far.
  std::size_t RemainingBytes = 0; ///< What follows of that body; a first
                                  ///< part if its length is unknown.
  steady_time LastActivityAt{};   ///< When a byte was received or sent.
  std::optional<steady_time> PausedSince; ///< Waits for memory since.
};

/** Options of a connection. */
struct server_options {
  server_limits Limits;     ///< Limits on each request.
  pipeline_limits Pipeline; ///< Limits on requests in progress.
  /** Shared by the connections of a process; null for one of its own. */
  std::shared_ptr<pipeline_budget> Budget;
  /** Tells whether a request may run beside others of its connection; without
   * it, all requests run one at a time. */
  std::function<bool(const request &)> MayRunBeside;
  /** Decides from the head whether a request with a body that has not arrived
   * yet is refused: returns the response, or nothing. Such a body is not
   * buffered: a small one is skipped, after any other the connection closes. */
  std::function<std::optional<response>(const request &)> CheckHead;
  /** The memory budget; null for one without limit. Reading stops under
   * pressure until resumeReading(). */
  std::shared_ptr<event::memory_budget> Memory;
};

/**
 * Reads complete requests and writes complete responses. Pipelined requests run
 * side by side if the options allow it; the responses are sent in the order of
 * the requests. A malformed request gets an error response after the responses
 * to those before it, then the connection closes; the handler is not called for
 * it.
 */
class server_connection
    : public std::enable_shared_from_this<server_connection> {
public:
  using request_handler = std::function<void(
      const std::shared_ptr<server_connection> &, exchange_number, request)>;

  static auto create(std::shared_ptr<event::stream> Stream,
                     server_options Options, request_handler Handler)
      -> std::shared_ptr<server_connection>;
  ~server_connection();
  server_connection(const server_connection &) = delete;
  auto operator=(const server_connection &) -> server_connection & = delete;

  /** Called at most once, when the connection ends: closed by the client, also
   * while its requests are in progress, or after a last response. Not called
   * after close(). */
  std::function<void()> OnClosed;

  /** Sends the response to a request in progress, after those to the requests
   * before it. Does nothing if it was answered before.
   * @param Close whether to begin no further request, and to close the
   * connection after the responses to those in progress. */
  void respond(exchange_number Number, response Response, bool Close);
  /** @return whether a request is in progress. */
  auto isBusy() const -> bool;
  /** @return whether a part of a response waits to be written. */
  auto hasUnsentOutput() const -> bool;
  /** @return whether a request has been received in part. */
  auto isReading() const -> bool;
  /** @return the time of the last change between reading a request, busy and
   * idle. */
  auto stateChangedAt() const -> steady_time;
  /** @return what the connection holds. */
  auto progress() const -> connection_progress;
  /** Updates the charge of bytes that wait in the kernel. */
  void chargeUnread();
  /** Reads on after a stop for memory: Bytes may arrive despite pressure. */
  void resumeReading(std::size_t Bytes);
  /** Answers the request that has arrived in part, which is not passed to the
   * handler, after those before it; then closes. */
  void refuseUnfinished(const std::function<response(const request &)> &Make);
  /** Closes the connection at once. */
  void close();

private:
  struct implementation;
  explicit server_connection(std::unique_ptr<implementation> Impl);
  void readRequests();
  void sendReady();
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::http
