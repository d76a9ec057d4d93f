/** @file target_pool.h Pool of connections to the local target. */
#pragma once

#include "sidecar/node_state.h"
#include "sycamorelb/http/client_connection.h"

#include <memory>
#include <vector>

namespace sycamorelb::sidecar {

/** Pool of idle connections to the local target. */
class target_pool {
public:
  explicit target_pool(node_state &State);

  /** @return a connection for a call.
   * @param RequireFresh whether the connection must be new or recently used.
   * The target may close one that has been idle for longer at any time, which
   * would leave unknown whether the call ran. */
  auto take(bool RequireFresh) -> std::shared_ptr<http::client_connection>;
  /** Returns a connection to the pool after a call, if it is reusable. */
  void put(std::shared_ptr<http::client_connection> Connection);
  /** Closes all idle connections. */
  void clear();
  /** @return the number of idle connections. */
  auto size() const -> std::size_t { return Idle.size(); }

private:
  void removeUnusable();
  node_state &State;
  std::shared_ptr<http::body_budget> Budget; // Of all connections.
  std::vector<std::shared_ptr<http::client_connection>> Idle;
};

} // namespace sycamorelb::sidecar
