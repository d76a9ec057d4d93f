/** @file state_dump.h State of the whole node as JSON. */
#pragma once

#include "node/admission_control.h"
#include "node/call_policy.h"
#include "node/move_loop.h"

#include <nlohmann/json_fwd.hpp>

namespace sycamorelb::node {

/** Parts of the node that the dump reads. */
struct dump_sources {
  node_context &Context;                  ///< Shared state.
  const config_loop &Config;              ///< Distribution.
  const admission_control &Admission;     ///< Local upstreams.
  const call_policy &Policy;              ///< Observations.
  const move_loop &Moves;                 ///< Traffic moves.
  const proxy::proxy_handler &Proxy;      ///< Connections.
  const proxy::http_server &CallerServer; ///< Calls of callers.
  const proxy::http_server &PeerServer;   ///< Calls of nodes.
};

/** @return the state of the node. */
auto dumpState(const dump_sources &Sources) -> nlohmann::json;

/** Brings the gauges and totals that are kept elsewhere up to date. */
void updateMetrics(const dump_sources &Sources);

} // namespace sycamorelb::node
