/** @file observed_outcome.h Outcomes of attempts as observing functions know
 * them. */
#pragma once

#include "sycamorelb/limits/outcome_type.h"
#include "sycamorelb/proxy/call_type.h"

namespace sycamorelb::node {

/** @return the outcome for limits and statistics. An attempt that reached no
 * peer says nothing about it, unless the connection was refused. */
auto observedOutcome(const proxy::call_outcome &Outcome)
    -> limits::call_outcome;

/** @return the name of an outcome as used in metrics. */
auto outcomeName(proxy::outcome_kind Kind) -> const char *;

} // namespace sycamorelb::node
