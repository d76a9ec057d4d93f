/** @file window.h Usage windows and true time. Addresses hosts whose time of
 * day jumps by seconds: windows follow the median of the hosts' times of day.
 */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"

#include <cstdint>
#include <map>

namespace sycamorelb::usage {

/** @return the number of the window that contains a time of day. */
auto windowAt(std::int64_t WallMillis, millis Length) -> std::int64_t;

/** @return the time of day at which a window ends, in Unix ms. */
auto windowEnd(std::int64_t Window, millis Length) -> std::int64_t;

/** Time of day of one host, relative to the steady clock of this host. */
struct clock_sample {
  std::int64_t OffsetMillis = 0; ///< Time of day minus steady time.
  steady_time TakenAt{};         ///< When it was taken.
};

/** Samples of all hosts, this one included. */
struct clock_samples {
  std::map<node_id, clock_sample> Samples; ///< Newest sample of each host.
};

/** Replaces the sample of a host. Hosts beyond a fixed number are ignored. */
void recordClock(clock_samples &Clocks, const node_id &Node,
                 std::int64_t WallMillis, steady_time Now);

/** Removes samples that are too old. */
void dropOldSamples(clock_samples &Clocks, steady_time Now);

/** @return the true time in Unix ms; 0 without samples. */
auto trueTime(const clock_samples &Clocks, steady_time Now) -> std::int64_t;

/** @return whether there are enough samples that one wrong clock doesn't decide
 * the median.
 * @param Hosts number of live hosts, this one included. */
auto hasEnoughSamples(const clock_samples &Clocks, std::size_t Hosts) -> bool;

} // namespace sycamorelb::usage
