/** @file state_dump.h State dump of the node and metrics kept elsewhere. */
#pragma once

#include "node/admission_control.h"
#include "node/call_policy.h"
#include "node/move_loop.h"

#include <nlohmann/json_fwd.hpp>

namespace sycamorelb::node {

/** Parts of the node that the state dump and the metrics read. */
struct dump_sources {
  node_context &Context;                  ///< Shared state.
  const config_loop &Config;              ///< Configuration.
  const admission_control &Admission;     ///< Local upstreams.
  const call_policy &Policy;              ///< Upstream statistics.
  const move_loop &Moves;                 ///< Traffic moves.
  const proxy::proxy_handler &Proxy;      ///< Outgoing connections.
  const proxy::http_server &CallerServer; ///< Calls of callers.
  const proxy::http_server &PeerServer;   ///< Calls of nodes.
};

/** @return the state of the node as JSON. */
auto dumpState(const dump_sources &Sources) -> nlohmann::json;

/** Updates the gauges and counters whose values are kept outside the
 * metrics. */
void updateMetrics(const dump_sources &Sources);

} // namespace sycamorelb::node
