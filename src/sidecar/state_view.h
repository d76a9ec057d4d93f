/** @file state_view.h State dump and metrics gauges of a node. */
#pragma once

#include "sidecar/node_state.h"
#include "sycamorelb/dispatch/pick.h"
#include "sycamorelb/http/pipeline_type.h"
#include "sycamorelb/usage/holder.h"

#include <string>

namespace sycamorelb::sidecar {

/** Input of the state dump and the gauges. */
struct state_view {
  const node_state &State;          ///< Shared state.
  dispatch::load_report Load;       ///< Load of the target.
  std::size_t OpenCalls = 0;        ///< Open calls from callers on this host.
  http::pipeline_budget Pipelining; ///< Their pipelined requests.
  usage::holder_state Usage;        ///< Usage reports.
  std::size_t Callers = 0;          ///< Their connections.
};

/** @return the state as JSON. */
auto renderState(const state_view &View) -> std::string;

/** @return the current values of the metrics gauges. */
auto collectGauges(const state_view &View) -> node_gauges;

} // namespace sycamorelb::sidecar
