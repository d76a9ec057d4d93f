/** @file admin_server.h Server of the admin RPC. */
#pragma once

#include "sycamorelb/admin/admin_type.h"
#include "sycamorelb/inner/auth_func.h"
#include "sycamorelb/inner/rpc_loop.h"

#include <functional>

namespace sycamorelb::admin {

/** Operations that a node offers to operators. Those that return an outcome run
 * on worker threads and may block for seconds. */
struct admin_handlers {
  std::function<outcome(const request_id &, const std::string &Text,
                        const std::string &File)>
      Apply; ///< Publishes a declaration.
  std::function<outcome(const request_id &, const move_request &)>
      StartMove; ///< Starts a move whose id is the request id.
  std::function<outcome(const request_id &, const zone_id &, bool InService)>
      SetZone; ///< Takes a zone out of service, or back in.
  std::function<outcome(const request_id &, const service_id &)>
      TakeBackMove; ///< Rolls back the running move of a service.
  std::function<outcome(const request_id &)> Outcome; ///< Outcome of a request.
  std::function<status()> Status; ///< Mesh as this node knows it.
  std::function<declaration_text()> Declaration; ///< Declaration in force.
  std::function<std::string()> Dump;             ///< State of the node as JSON.
  std::function<void()> Drain;                   ///< Stops the node gracefully.
};

/**
 * Serves the admin RPC on Loop until Loop is destroyed.
 * @return the bound port, or Unreachable if the address cannot be bound.
 */
auto serveOperators(inner::rpc_loop &Loop, const std::string &Address,
                    const inner::auth_keys &Keys,
                    const admin_handlers &Handlers) -> result<std::uint16_t>;

} // namespace sycamorelb::admin
