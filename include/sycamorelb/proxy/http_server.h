/** @file http_server.h HTTP/1.1 server whose idle connections hold no thread.
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
  std::uint16_t Port = 0;         ///< Port to listen on; 0 for any free one.
  std::uint32_t Workers = 64;     ///< Threads, hence calls in progress at once.
  std::uint32_t MaxConnections = 8192; ///< More are closed when accepted.
  millis QueueTimeout{50}; ///< While all workers are busy for longer, new
                           ///< requests are refused as not run.
  std::uint32_t MaxHeadBytes = 16 * 1024;  ///< Request line and headers.
  std::uint32_t MaxHeaders = 100;          ///< Header fields of one request.
  std::uint64_t MaxBodyBytes = 1ULL << 30; ///< Body of a forwarded request.
  millis HeadTimeout{5000};  ///< From the first byte to the end of the head.
  millis BodyTimeout{10000}; ///< Longest pause within a body.
  millis IdleTimeout{75000}; ///< Idle time of a kept connection.
};

/** Request to a local endpoint, such as the ops port. */
struct local_request {
  std::string Method;  ///< Method, upper case.
  std::string Path;    ///< Path without the query.
  header_list Headers; ///< Header fields.
  std::string Body;    ///< Whole body, at most 1 MiB.
};

/** Answer of a local endpoint. */
struct local_response {
  int Status = 200;                       ///< HTTP status.
  std::string ContentType = "text/plain"; ///< Type of the body.
  std::string Body;                       ///< Whole body.
  header_list Headers;                    ///< Further header fields.
};

using local_handler = std::function<local_response(const local_request &)>;

class exchange; // One request and its answer; see src/proxy/exchange.h.
/** Handles a request that is forwarded; made by proxy_handler. */
using call_handler = std::function<void(exchange &)>;

/** Counts of a server since its start. */
struct server_stats {
  std::uint64_t Accepted = 0;    ///< Connections accepted.
  std::uint64_t Requests = 0;    ///< Requests dispatched.
  std::uint64_t BadRequests = 0; ///< Requests refused for their framing.
  std::uint64_t Overloaded = 0;  ///< Requests refused for lack of workers.
  std::uint32_t Connections = 0; ///< Connections open now.
  std::uint32_t Busy = 0;        ///< Requests in progress now.
};

/**
 * Server over cpp-httplib's listener. Heads of requests are collected by one
 * epoll thread and only complete ones are given to a worker, so that neither
 * idle nor slow connections hold a thread.
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

  /** Passes all requests without a local endpoint to Handler; call before
   * start. Without it they are answered with 404. */
  void handleCalls(call_handler Handler);

  /**
   * Binds, listens and starts the threads.
   * @return the port, or Unreachable when the address cannot be bound.
   */
  auto start() -> result<std::uint16_t>;

  /** Refuses new calls as not run and closes each connection after its current
   * request; local endpoints still answer. */
  void beginDrain();

  /** @return whether no request was in progress before Timeout passed. */
  auto waitIdle(millis Timeout) -> bool;

  /** Closes all connections and joins the threads; requests in progress are
   * cancelled. */
  void stop();

  /** @return the counts. */
  auto stats() const -> server_stats;

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::proxy
