/** @file limiter_func.h Limiter of one upstream: concurrency limit, cold start
 * and admission queue. */
#pragma once

#include "sycamorelb/limits/admission_func.h"
#include "sycamorelb/limits/cold_start_func.h"
#include "sycamorelb/limits/concurrency_func.h"

namespace sycamorelb::limits {

/** Parameters of an upstream_limiter. */
struct limiter_config {
  concurrency_config Concurrency; ///< Adaptive limit.
  cold_start_config ColdStart;    ///< Cold-start limit.
  /// Calls count as stalled when none has ended for this multiple of the
  /// typical latency.
  double StallFactor = 8;
  micros MinStall{500'000}; ///< Minimum time until calls count as stalled.
};

/** Limiter of one upstream, held by its admission node. */
struct upstream_limiter {
  limiter_config Config;         ///< Parameters.
  capacity_bounds Bounds;        ///< As announced.
  concurrency_state Concurrency; ///< Adaptive limit.
  cold_state Cold;               ///< Cold-start limit.
  admission_queue Queue;         ///< In-flight count and queue.
  std::uint32_t Started = 0;  ///< Calls sent to the upstream and not ended yet.
  steady_time LastProgress{}; ///< Last end of a call, or start of the first.
};

/** @return the limiter of a newly announced upstream. */
auto makeLimiter(const capacity_bounds &Bounds,
                 const limiter_config &Config = {}) -> upstream_limiter;

/** Applies a changed announcement. */
void onAnnounce(upstream_limiter &Limiter, const capacity_bounds &Bounds);

/** Records that the upstream was restarted.
 * @param SameVersion whether it runs the same version, so that the known warm
 * latency still holds. */
void onRestart(upstream_limiter &Limiter, bool SameVersion);

/** Admits, queues or refuses new work. */
auto onAdmit(upstream_limiter &Limiter, const work_offer &Work, steady_time Now)
    -> offer_result;

/** Records that admitted work was sent to the upstream. */
void onStart(upstream_limiter &Limiter, steady_time Now);

/**
 * Records the outcome of admitted work and frees its slot. Work that was
 * admitted but not started has the outcome NotStarted.
 * @param Latency time since onStart; 0 for NotStarted.
 * @return queued work to start or to refuse.
 */
auto onFinish(upstream_limiter &Limiter, call_outcome Outcome, micros Latency,
              steady_time Now) -> queue_step;

/** Refuses late queued work and starts work if the limit has risen. */
auto onTick(upstream_limiter &Limiter, steady_time Now) -> queue_step;

/** @return the current concurrency limit. */
auto currentLimit(const upstream_limiter &Limiter, steady_time Now)
    -> std::uint32_t;

/** @return whether the cold-start limit applies. */
auto isCold(const upstream_limiter &Limiter) -> bool;

/** @return whether calls are in flight and none has ended for too long. */
auto isStalled(const upstream_limiter &Limiter, steady_time Now) -> bool;

/** @return the expected duration of a call; 0 if unknown. */
auto expectedServiceTime(const upstream_limiter &Limiter) -> micros;

} // namespace sycamorelb::limits
