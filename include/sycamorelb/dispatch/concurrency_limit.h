/** @file concurrency_limit.h Learned limit on the concurrent calls of a target.
 *
 * Some targets slow down long before all their slots are in use: more calls at
 * once then lengthen every call without more throughput.
 */
#pragma once

#include "sycamorelb/core/unit_type.h"

#include <cstdint>

namespace sycamorelb::dispatch {

/** A call that the target answered successfully. */
struct run_sample {
  /** Run time at usual work, relative to the mean of its route here. */
  double RelativeRunTime = 1;
  double Concurrency = 1; ///< Mean number of calls that ran at the same time.
};

/** Linear fit of run time against concurrency over recent samples; older ones
 * lose weight with each new one. */
struct run_time_fit {
  double Weight = 0;      ///< Sum of weights.
  double Concurrency = 0; ///< Weighted sums of the samples' values and of
  double RunTime = 0;     ///< their products.
  double ConcurrencySquare = 0;
  double Product = 0;
};

/** Learned limit of one target. */
struct concurrency_limit {
  double Limit = 0;          ///< Current limit; 0 before the first sample.
  run_time_fit Fit;          ///< Recent samples.
  std::uint32_t Samples = 0; ///< Samples since the last adaptation.
  steady_time AdaptedAt{};   ///< When the limit was last adapted.
};

/** @return the lowest limit of a target with this number of slots. */
auto minConcurrency(std::uint32_t Slots) -> std::uint32_t;

/** Adapts the limit to an answered call. */
void observeRun(concurrency_limit &Limit, const run_sample &Sample,
                std::uint32_t Slots, steady_time Now);

/** @return the calls to run at once; Slots before the first sample. */
auto allowedConcurrency(const concurrency_limit &Limit, std::uint32_t Slots)
    -> std::uint32_t;

} // namespace sycamorelb::dispatch
