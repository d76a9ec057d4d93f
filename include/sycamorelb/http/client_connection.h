/** @file client_connection.h Client side of one HTTP/1.1 connection. */
#pragma once

#include "sycamorelb/event/stream.h"
#include "sycamorelb/http/message_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace sycamorelb::http {

/** Why an exchange got no complete response. */
struct exchange_failure {
  bool Connected = false;       ///< The connection was established.
  bool ResponseStarted = false; ///< Bytes of a response had arrived.
  std::string Reason;           ///< Cause, for logs and metrics.
};

using exchange_result = std::variant<response, exchange_failure>;

/** Limit on the bodies that several connections hold while they receive them.
 */
struct body_budget {
  std::size_t MaxBytes = 0;  ///< Limit on UsedBytes.
  std::size_t UsedBytes = 0; ///< Received bytes of incomplete responses.
};

/** Timeouts and limits of a client connection. */
struct client_options {
  millis ConnectTimeout{1000};  ///< Time to establish a connection.
  std::size_t MaxBodyBytes = 0; ///< Longer response bodies are a failure.
  bool SameHost = false;        ///< The server is on this host.
  /** Called once when the connection is established, if set. */
  std::function<void()> OnConnected = nullptr;
  /** Shared limit; null for none. A response that exceeds it is a failure. */
  std::shared_ptr<body_budget> Budget;
};

/**
 * Sends one request at a time on one connection. A truncated, malformed or too
 * long response is a failure, and so are too many bytes that are no answer to
 * the request. Bytes received while no request is in progress close the
 * connection.
 */
class client_connection
    : public std::enable_shared_from_this<client_connection> {
public:
  using result_handler = std::function<void(exchange_result)>;

  /** Begins to connect. */
  static auto open(event::loop &Loop, const event::endpoint &Server,
                   client_options Options)
      -> std::shared_ptr<client_connection>;
  ~client_connection();
  client_connection(const client_connection &) = delete;
  auto operator=(const client_connection &) -> client_connection & = delete;

  /** Sets the predicate that decides from the headers whether a response
   * belongs to the request in progress. Others are late responses to earlier
   * requests and are skipped. Without a predicate all responses match. */
  void setResponseMatcher(
      std::function<bool(const proxy::header_list &)> MatchesRequest);
  /** Sends a request. Handler is called once, never from within this method.
   * @param OnSent called once when the request has been written to the end,
   * also from within this method. */
  void exchange(request Request, result_handler Handler,
                std::function<void()> OnSent = nullptr);
  /** @return whether another request can be sent. */
  auto isReusable() const -> bool;
  /** @return when the last response was complete. */
  auto idleSince() const -> steady_time;
  /** @return the idle timeout from the Keep-Alive response header, if any. */
  auto announcedIdleTimeout() const -> std::optional<millis>;
  /** Closes the connection; the handler of a request in progress is not
   * called. */
  void close();

private:
  struct implementation;
  explicit client_connection(std::unique_ptr<implementation> Impl);
  void readResponse();
  void reportSent();
  void finish(exchange_result Result, bool Reusable);
  void handleClosed(event::close_reason Reason);
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::http
