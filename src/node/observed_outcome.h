/** @file observed_outcome.h Outcomes of attempts as limits and statistics
 * count them. */
#pragma once

#include "sycamorelb/limits/outcome_type.h"
#include "sycamorelb/proxy/call_type.h"

namespace sycamorelb::node {

/** @return the outcome for limits and statistics. An attempt that did not reach
 * the peer counts as NotStarted, unless its connection failed. */
auto observedOutcome(const proxy::call_outcome &Outcome)
    -> limits::call_outcome;

/** @return the name of the outcome in metrics. */
auto outcomeName(proxy::outcome_kind Kind) -> const char *;

} // namespace sycamorelb::node
