/** @file rpc_server.h Server for the RPC between nodes. */
#pragma once

#include "sycamorelb/inner/auth_func.h"
#include "sycamorelb/inner/peer_type.h"
#include "sycamorelb/inner/rpc_loop.h"

namespace sycamorelb::inner {

/** Settings of the server. */
struct rpc_server_options {
  std::string Address;             ///< Inner address to listen on.
  node_id Self;                    ///< This node.
  auth_keys Keys;                  ///< Active keys.
  std::size_t MaxStatesServed = 4; ///< Concurrent state transfers at most.
};

/**
 * Serves requests with Handlers on Loop until it is stopped or destroyed.
 * @return the bound port; InvalidArgument for an invalid key list, Unreachable
 * when the address cannot be bound.
 */
auto servePeers(rpc_loop &Loop, const rpc_server_options &Options,
                const peer_handlers &Handlers) -> result<std::uint16_t>;

} // namespace sycamorelb::inner
