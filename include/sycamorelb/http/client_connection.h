/** @file client_connection.h Client side of one HTTP/1.1 connection. */
#pragma once

#include "sycamorelb/event/stream.h"
#include "sycamorelb/http/message_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace sycamorelb::http {

/** Why an exchange got no whole response. */
struct exchange_failure {
  bool Connected = false; ///< The connection was established.
  bool Answering = false; ///< Bytes of a response had arrived.
  std::string Reason;     ///< Cause, for people.
};

using exchange_result = std::variant<response, exchange_failure>;

/** What a client expects of the server. */
struct client_options {
  millis ConnectTimeout{1000};  ///< For a new connection.
  std::size_t MaxBodyBytes = 0; ///< Longer bodies are a failure.
  bool SameHost = false;        ///< The server is on this host.
};

/**
 * One request at a time on one connection. A response that ends early, breaks
 * the syntax or is too long is a failure. Bytes that belong to no request
 * close the connection.
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

  /** Sets how a response to the request in progress is told from one that an
   * earlier request left behind, which is skipped. Empty: all belong. */
  void setBelongs(std::function<bool(const proxy::header_list &)> Belongs);
  /** Sends a request; Handle is called once, never from within. */
  void exchange(const request &Request, result_handler Handle);
  /** @return whether another request can be sent. */
  auto isReusable() const -> bool;
  /** @return when the last response was complete. */
  auto idleSince() const -> steady_time;
  /** @return the idle timeout that the server announced, if any. */
  auto announcedIdleTimeout() const -> std::optional<millis>;
  /** Closes the connection; the handler of a request is not called. */
  void close();

private:
  struct implementation;
  explicit client_connection(std::unique_ptr<implementation> Impl);
  void readResponse();
  void finish(exchange_result Result, bool Reusable);
  void handleClosed(event::close_reason Reason);
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::http
