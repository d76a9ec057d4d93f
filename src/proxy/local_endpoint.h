/** @file local_endpoint.h Listener and local endpoints based on cpp-httplib. */
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
 * cpp-httplib server that accepts connections and serves local endpoints.
 * Accepted sockets are handed over immediately; the library's thread pool is
 * not used, because there each connection occupies a thread even while it is
 * idle.
 */
class local_endpoint_server : public httplib::Server {
public:
  /** @param OnAccepted takes ownership of each accepted socket. */
  explicit local_endpoint_server(std::function<void(int)> OnAccepted);

  /** Binds and listens. @return the port, or 0 on failure. */
  auto bind(const std::string &Host, std::uint16_t Port) -> std::uint16_t;

  /** Stops accepting; may be called repeatedly. */
  void requestStop();

  /** Registers a local endpoint; GET also registers HEAD. */
  void addEndpoint(const std::string &Method, const std::string &Path,
                   local_handler Handler);
  /** @return whether a local endpoint matches the request. */
  auto hasEndpoint(const request_head &Head) const -> bool;
  /** Reads the body, runs the handler of the endpoint and writes its response.
   */
  void serveEndpoint(exchange &Exchange);

private:
  auto process_and_close_socket(socket_t Socket) // NOLINT: library's name.
      -> bool override;

  std::function<void(int)> OnAccepted;
  std::map<std::pair<std::string, std::string>, bool> Endpoints;
};

} // namespace sycamorelb::proxy
