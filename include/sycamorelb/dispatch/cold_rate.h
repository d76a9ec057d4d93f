/** @file cold_rate.h Rate limit of calls to a cold target.
 *
 * Protects targets that restart cold under full load: a cold target handles a
 * fixed number of calls per second and crashes well above it.
 */
#pragma once

#include "sycamorelb/core/unit_type.h"

#include <cstddef>
#include <deque>

namespace sycamorelb::dispatch {

/** Calls of the last second, recorded by the node beside the target: only this
 * node sends calls to it. */
struct call_rate_window {
  std::deque<steady_time> Sent; ///< Send times of the calls, oldest first.
  steady_time FullUntil{};      ///< No calls are allowed before.
};

/** @return the calls per second to send to a cold target with a configured
 * limit of CallsPerSecond, where the deployment allows Factor times that limit
 * plus Slack; 0 if the target has no limit. */
auto coldRateLimit(double CallsPerSecond, double Factor, double Slack)
    -> double;

/** Records a call to the target, whether it is cold or not. */
void recordSentCall(call_rate_window &Window, steady_time Now);

/** Fills the window with calls at the given time, whatever the limit, because a
 * node doesn't know what was sent until then. */
void fillWindow(call_rate_window &Window, steady_time At);

/** @return the time from which a target that reported to stay cold for ColdFor
 * counts as warm. A margin covers its rounding and the difference between its
 * clock and the node's. */
auto coldEndTime(steady_time Now, micros ColdFor) -> steady_time;

/** @return the earliest time of the next call to a cold target; not later than
 * Now if a call may be sent at once. Under a limit that allows no whole call,
 * the time at which to ask again. */
auto nextColdCallTime(const call_rate_window &Window, double CallsPerSecond,
                      steady_time Now) -> steady_time;

/** @return the wait of a call to a cold target that has Ahead calls before it.
 */
auto coldCallWait(const call_rate_window &Window, double CallsPerSecond,
                  steady_time Now, std::size_t Ahead) -> micros;

/** @return the mean time between calls to a cold target. */
auto coldCallGap(double CallsPerSecond) -> micros;

} // namespace sycamorelb::dispatch
