/** @file cold_rate.h Rate of calls to a cold target.
 *
 * Answers the pattern of targets that come back cold under full load: a cold
 * target bears a fixed number of calls a second and crashes well above it.
 */
#pragma once

#include "sycamorelb/core/unit_type.h"

#include <deque>
#include <vector>

namespace sycamorelb::dispatch {

/** Calls of the last second, kept by the only node that reaches the target. */
struct cold_rate {
  std::deque<steady_time> Sent; ///< Times of the calls, oldest first.
};

/** @return the calls in a second that are sent to a cold target that bears
 * CallsPerSecond, where the deployment allows Factor times as many and Slack
 * more; 0 if the target bears any rate. */
auto coldAllowance(double CallsPerSecond, double Factor, double Slack)
    -> double;

/** Notes a call to the target, cold or not. */
void noteCall(cold_rate &Rate, steady_time Now);

/** Assumes that the window is full, for a node that doesn't know what an
 * earlier process sent. */
void assumeFull(cold_rate &Rate, double CallsPerSecond, steady_time Now);

/** @return when a target counts as warm that said it stays cold for ColdFor.
 * Later than it said: what it says is rounded, and its clock is not ours. */
auto coldEnd(steady_time Now, micros ColdFor) -> steady_time;

/** @return the time from which another call may be sent to a cold target, at
 * most Now if one may be sent at once. */
auto nextColdCall(const cold_rate &Rate, double CallsPerSecond, steady_time Now)
    -> steady_time;

/** @return the waits until each of the next starts, for one window; the starts
 * of the next window come coldWindow() later. */
auto coldStartWaits(const cold_rate &Rate, double CallsPerSecond,
                    steady_time Now) -> std::vector<micros>;

/** @return the time in which CallsPerSecond calls may be sent. */
auto coldWindow() -> micros;

} // namespace sycamorelb::dispatch
