/** @file rpc_server.h Serves other nodes by RPC. */
#pragma once

#include "sycamorelb/inner/auth_func.h"
#include "sycamorelb/inner/peer_type.h"
#include "sycamorelb/inner/rpc_loop.h"

namespace sycamorelb::inner {

/** Settings of the server for other nodes. */
struct rpc_server_options {
  std::string Address;             ///< Inner address to listen on.
  node_id Self;                    ///< This node.
  auth_keys Keys;                  ///< Keys in force.
  std::size_t MaxStatesServed = 4; ///< States sent at the same time at most.
};

/**
 * Starts to serve Handlers on Loop, until Loop is destroyed.
 * @return the bound port; InvalidArgument for a bad key list, Unreachable when
 * the address cannot be bound.
 */
auto servePeers(rpc_loop &Loop, const rpc_server_options &Options,
                const peer_handlers &Handlers) -> result<std::uint16_t>;

} // namespace sycamorelb::inner
