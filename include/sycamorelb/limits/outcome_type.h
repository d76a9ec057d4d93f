/** @file outcome_type.h Outcome of an attempt. */
#pragma once

#include <cstdint>

namespace sycamorelb::limits {

/** Outcome of one attempt as seen by the node that made it. */
enum class call_outcome : std::uint8_t {
  Success,     ///< The upstream responded without an error.
  Failure,     ///< The upstream responded with an error or disconnected.
  Refused,     ///< The upstream or its node refused; not run.
  Unreachable, ///< The connection was refused; not run.
  Timeout,     ///< No response by the deadline.
  Cancelled,   ///< The caller cancelled; the latency is a lower bound.
  NotStarted,  ///< Cancelled before any byte was sent; not recorded.
};

} // namespace sycamorelb::limits
