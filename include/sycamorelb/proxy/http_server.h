/** @file http_server.h HTTP/1.1 server whose idle connections occupy no thread.
 */
#pragma once

#include "sycamorelb/core/result_type.h"
#include "sycamorelb/core/unit_type.h"
#include "sycamorelb/proxy/call_type.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sycamorelb::proxy {

/** Limits and deadlines of a server. */
struct server_options {
  std::string Host = "127.0.0.1"; ///< Address to listen on.
  std::uint16_t Port = 0;         ///< Port to listen on; 0 for any free port.
  std::uint32_t Workers = 64;     ///< Threads; limit on calls in progress.
  std::uint32_t MaxConnections = 8192; ///< Further ones are closed on accept.
  millis QueueTimeout{50}; ///< Once all workers have been busy for this long,
                           ///< new requests are refused as not run.
  std::uint32_t MaxHeadBytes = 16 * 1024;  ///< Request line and headers.
  std::uint32_t MaxHeaders = 100;          ///< Header fields per request.
  std::uint64_t MaxBodyBytes = 1ULL << 30; ///< Body of a forwarded request.
  millis HeadTimeout{5000};  ///< Time from first byte to end of head.
  millis BodyTimeout{10000}; ///< Maximum pause between bytes of a body.
  millis IdleTimeout{75000}; ///< Maximum idle time of a keep-alive connection.
};

/** Request to a local endpoint, such as one on the ops port. */
struct local_request {
  std::string Method;  ///< Method in upper case.
  std::string Path;    ///< Path without the query.
  header_list Headers; ///< Header fields.
  std::string Body;    ///< Whole body, at most 1 MiB.
};

/** Response of a local endpoint. */
struct local_response {
  int Status = 200;                       ///< HTTP status.
  std::string ContentType = "text/plain"; ///< Content-Type of the body.
  std::string Body;                       ///< Whole body.
  header_list Headers;                    ///< Additional header fields.
};

using local_handler = std::function<local_response(const local_request &)>;

class exchange; // One request and its response; see src/proxy/exchange.h.
/** Forwards a request; created by proxy_handler. */
using call_handler = std::function<void(exchange &)>;

/** Counters of a server since its start. */
struct server_stats {
  std::uint64_t Accepted = 0;    ///< Connections accepted.
  std::uint64_t Requests = 0;    ///< Requests dispatched.
  std::uint64_t BadRequests = 0; ///< Requests whose head was refused.
  std::uint64_t Overloaded = 0;  ///< Requests refused: all workers busy.
  std::uint32_t Connections = 0; ///< Connections open now.
  std::uint32_t Busy = 0;        ///< Requests in progress now.
};

/**
 * HTTP server on top of cpp-httplib's listener. Worker threads share one epoll
 * instance and parse a request only when its head is complete, so that neither
 * idle nor slow connections occupy a thread.
 */
class http_server {
public:
  explicit http_server(server_options Options);
  ~http_server();
  http_server(const http_server &) = delete;
  auto operator=(const http_server &) -> http_server & = delete;

  /** Serves Method and the exact Path locally; call before start. */
  void handle(const std::string &Method, const std::string &Path,
              local_handler Handler);

  /** Passes all requests that match no local endpoint to Handler; call before
   * start. Without a handler they get 404. */
  void handleCalls(call_handler Handler);

  /**
   * Binds the port, listens and starts the threads.
   * @return the port, or Unreachable if the address cannot be bound.
   */
  auto start() -> result<std::uint16_t>;

  /** Refuses new calls as not run and closes each connection after its current
   * request; local endpoints are still served. */
  void beginDrain();

  /** @return whether all requests finished within Timeout. */
  auto waitIdle(millis Timeout) -> bool;

  /** Closes all connections, which cancels the requests in progress, and joins
   * the threads. */
  void stop();

  /** @return the counters. */
  auto stats() const -> server_stats;

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::proxy
