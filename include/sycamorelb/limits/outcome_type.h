/** @file outcome_type.h How an attempt at an upstream ended. */
#pragma once

#include <cstdint>

namespace sycamorelb::limits {

/** End of one attempt as seen by the node that made it. */
enum class call_outcome : std::uint8_t {
  Success,     ///< The upstream answered and did not report a fault.
  Failure,     ///< The upstream answered with a fault, or broke off.
  Refused,     ///< The upstream or its node refused; not run.
  Unreachable, ///< The connection was refused; not run.
  Timeout,     ///< No answer by the deadline.
  Cancelled,   ///< The caller gave up; the latency is a lower bound.
  NotStarted,  ///< Given up before any byte was sent; no observation.
};

} // namespace sycamorelb::limits
