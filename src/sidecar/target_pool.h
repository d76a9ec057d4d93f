/** @file target_pool.h Connections to the target beside a node. */
#pragma once

#include "sidecar/node_state.h"
#include "sycamorelb/http/client_connection.h"

#include <memory>
#include <vector>

namespace sycamorelb::sidecar {

/** Idle connections to the target. */
class target_pool {
public:
  explicit target_pool(node_state &State) : State(State) {}

  /** @return a connection for a call.
   * @param Fresh only one that was used a moment ago, or a new one: an older
   * idle connection may be closed by the target at any time, and then nobody
   * knows whether the call ran. */
  auto take(bool Fresh) -> std::shared_ptr<http::client_connection>;
  /** Keeps a connection after a call, if it can be used again. */
  void put(std::shared_ptr<http::client_connection> Connection);
  /** Closes all idle connections. */
  void clear();
  /** @return the number of idle connections. */
  auto size() const -> std::size_t { return Idle.size(); }

private:
  void removeUnusable();
  node_state &State;
  std::vector<std::shared_ptr<http::client_connection>> Idle;
};

} // namespace sycamorelb::sidecar
