/** @file state_view.h Dump of a node's state. */
#pragma once

#include "sidecar/node_state.h"
#include "sycamorelb/dispatch/pick.h"

#include <string>

namespace sycamorelb::sidecar {

/** What a dump shows. */
struct state_view {
  const node_state &State;    ///< Shared state.
  dispatch::load_report Load; ///< Load of the target.
  std::size_t OpenCalls = 0;  ///< Calls of own callers.
};

/** @return the state as JSON. */
auto renderState(const state_view &View) -> std::string;

/** @return the gauges of the metrics. */
auto gaugesOf(const state_view &View) -> node_gauges;

} // namespace sycamorelb::sidecar
