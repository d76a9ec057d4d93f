/** @file start_schedule.h Prediction of the starts that rate limits allow.
 *
 * Limits are figures of operators and targets and may be of any size, so a wait
 * is computed when it is asked for, at a cost that doesn't depend on them.
 */
#pragma once

#include "sycamorelb/dispatch/cold_rate.h"
#include "sycamorelb/dispatch/start_limit.h"

#include <cstddef>

namespace sycamorelb::dispatch {

/** Rate limits that hold now. Refers to their state, so it is for immediate use
 * only. */
struct start_schedule {
  const call_rate_window *Cold = nullptr; ///< Of a cold target, or null.
  double ColdCallsPerSecond = 0;          ///< Limit while it is cold.
  const start_limit *Named = nullptr;     ///< Named by the target, or null.
  steady_time Now{};                      ///< Current time.
};

/** @return the wait of a call that has Ahead calls before it; 0 without a
 * limit.
 */
auto startWait(const start_schedule &Schedule, std::size_t Ahead) -> micros;

/** @return the mean time between starts; 0 without a limit. */
auto meanStartGap(const start_schedule &Schedule) -> micros;

} // namespace sycamorelb::dispatch
