/** @file limiter_func.h All admission state that a node holds for one
 * upstream. */
#pragma once

#include "sycamorelb/limits/admission_func.h"
#include "sycamorelb/limits/cold_start_func.h"
#include "sycamorelb/limits/concurrency_func.h"

namespace sycamorelb::limits {

/** Tuning of an upstream_limiter. */
struct limiter_config {
  concurrency_config Concurrency; ///< Adaptive limit.
  cold_start_config ColdStart;    ///< Cold-start limit.
  /// Calls are stalled when none ended for this multiple of the typical
  /// latency.
  double StallFactor = 8;
  micros MinStall{500'000}; ///< Shortest time that counts as stalled.
};

/** Limit, cold state and queue of one upstream at its admission node. */
struct upstream_limiter {
  limiter_config Config;         ///< Tuning.
  capacity_bounds Bounds;        ///< As announced.
  concurrency_state Concurrency; ///< Adaptive limit.
  cold_state Cold;               ///< Cold-start limit.
  admission_queue Queue;         ///< In-flight count and queue.
  std::uint32_t Started = 0;     ///< Calls sent to the upstream and not ended.
  steady_time LastProgress{};    ///< Last end of a call, or start of the first.
};

/** @return the limiter of an upstream that has just been announced. */
auto makeLimiter(const capacity_bounds &Bounds,
                 const limiter_config &Config = {}) -> upstream_limiter;

/** Takes over a changed announcement. */
void onAnnounce(upstream_limiter &Limiter, const capacity_bounds &Bounds);

/** Records that the upstream was restarted.
 * @param SameVersion keeps the known latency of warm operation. */
void onRestart(upstream_limiter &Limiter, bool SameVersion);

/** Decides about offered work. */
auto onAdmit(upstream_limiter &Limiter, const work_offer &Work, steady_time Now)
    -> offer_result;

/** Records that admitted work is sent to the upstream. */
void onStart(upstream_limiter &Limiter, steady_time Now);

/**
 * Records the end of admitted work and returns its slot. Work that was admitted
 * but not started ends with call_outcome::NotStarted.
 * @param Latency time since onStart; 0 for NotStarted.
 * @return queued work to start or to refuse.
 */
auto onFinish(upstream_limiter &Limiter, call_outcome Outcome, micros Latency,
              steady_time Now) -> queue_step;

/** Refuses late work and starts work after a raise of the limit. */
auto onTick(upstream_limiter &Limiter, steady_time Now) -> queue_step;

/** @return the number of calls that may be in flight now. */
auto currentLimit(const upstream_limiter &Limiter, steady_time Now)
    -> std::uint32_t;

/** @return whether the cold-start limit applies. */
auto isCold(const upstream_limiter &Limiter) -> bool;

/** @return whether started calls make no progress. */
auto isStalled(const upstream_limiter &Limiter, steady_time Now) -> bool;

/** @return the expected time of one call; 0 if unknown. */
auto expectedServiceTime(const upstream_limiter &Limiter) -> micros;

} // namespace sycamorelb::limits
