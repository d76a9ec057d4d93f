/** @file local_endpoint.h Serves local endpoints through cpp-httplib. */
#pragma once

#include "proxy/exchange.h"

#include "sycamorelb/proxy/http_server.h"

#include <functional>
#include <httplib.h>
#include <map>
#include <string>
#include <utility>

namespace sycamorelb::proxy {

/**
 * The library's server: it listens and accepts, and serves local endpoints.
 * Accepted sockets are passed on at once; its thread pool is not used, because
 * a connection would hold a thread of it even while it is idle.
 */
class library_server : public httplib::Server {
public:
  /** @param Adopt receives each accepted socket and owns it. */
  explicit library_server(std::function<void(int)> Adopt);

  /** Binds and listens. @return the port, or 0. */
  auto bind(const std::string &Host, std::uint16_t Port) -> std::uint16_t;

  /** Stops accepting; may be repeated. */
  void requestStop();

  /** Registers a local endpoint. */
  void add(const std::string &Method, const std::string &Path,
           local_handler Handler);
  /** @return whether the request has a local endpoint. */
  auto hasLocal(const request_head &Head) const -> bool;
  /** Reads the body, runs the endpoint and writes its answer. */
  void serveLocal(exchange &Exchange);

private:
  auto process_and_close_socket(socket_t Socket) // NOLINT: library's name.
      -> bool override;

  std::function<void(int)> Adopt;
  std::map<std::pair<std::string, std::string>, bool> Locals;
};

} // namespace sycamorelb::proxy
