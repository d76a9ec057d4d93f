/** @file deadline_func.h Propagation of deadlines as remaining time. */
#pragma once

#include "sycamorelb/core/unit_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace sycamorelb::limits {

/** Maximum remaining time of a call. */
inline constexpr millis MaxDeadline{3'600'000};

/** Time reserved per hop in addition to the one-way latency of the response. */
inline constexpr micros ProcessingMargin{1'000};

/** @return the deadline of a call that arrives at Now.
 * @param Header remaining time from x-sycamore-deadline-ms, if any.
 * @param RouteTimeout timeout of the route, an upper bound. */
auto callDeadline(std::optional<millis> Header, millis RouteTimeout,
                  steady_time Now) -> steady_time;

/**
 * Remaining time to send to the next hop: the own remaining time less the time
 * that the response needs to return.
 * @param OneWayLatency one-way latency to the next hop.
 * @return nullopt if no whole millisecond is left.
 */
auto remainingForHop(steady_time Deadline, micros OneWayLatency,
                     steady_time Now) -> std::optional<millis>;

/** @return the value of an x-sycamore-deadline-ms header, at most MaxDeadline;
 * nullopt if it is not a decimal number. */
auto parseDeadline(std::string_view Header) -> std::optional<millis>;

/** @return the x-sycamore-deadline-ms header value of a remaining time. */
auto renderDeadline(millis Remaining) -> std::string;

} // namespace sycamorelb::limits
