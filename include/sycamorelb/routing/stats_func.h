/** @file stats_func.h Updates the statistics of an upstream. */
#pragma once

#include "sycamorelb/routing/pick_type.h"

namespace sycamorelb::routing {

/** Records that an attempt was sent. */
void onStart(upstream_stats &Stats);

/**
 * Records the end of an attempt.
 * @param Slots slots announced by the upstream; caps the earned limit.
 */
void onFinish(upstream_stats &Stats, limits::call_outcome Outcome,
              micros Latency, std::uint32_t Slots, steady_time Now);

/** Records a load report. */
void onReport(upstream_stats &Stats, const load_report &Report,
              steady_time Now);

} // namespace sycamorelb::routing
