/** @file http_endpoint.h Minimal HTTP server for the interfaces of a node. */
#pragma once

#include "sidecar/node_state.h"
#include "sycamorelb/http/message_type.h"

#include <functional>
#include <memory>

namespace sycamorelb::sidecar {

/** HTTP server whose handler responds to each request synchronously. */
class http_endpoint {
public:
  using handler = std::function<http::response(const http::request &)>;

  /** @return the listening server, or Unreachable if the address can't be
   * bound. */
  static auto open(node_state &State, const event::endpoint &Address,
                   handler Handle) -> result<std::unique_ptr<http_endpoint>>;
  ~http_endpoint();
  http_endpoint(const http_endpoint &) = delete;
  auto operator=(const http_endpoint &) -> http_endpoint & = delete;

private:
  struct implementation;
  explicit http_endpoint(std::unique_ptr<implementation> Impl);
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::sidecar
