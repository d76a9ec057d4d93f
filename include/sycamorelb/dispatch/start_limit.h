/** @file start_limit.h Limit on the calls per second that a target named.
 *
 * A token bucket: protects targets in need, which name the rate that they take
 * from all hosts together. Every call to a target passes the node beside it, so
 * one bucket there suffices.
 */
#pragma once

#include "sycamorelb/core/unit_type.h"

#include <cstddef>
#include <optional>

namespace sycamorelb::dispatch {

/** Limit that a target names in its answers. */
struct named_limit {
  std::optional<double> CallsPerSecond; ///< Limit; nothing for none.
  /** When an answer of the target last decided on it; nothing if none did. */
  std::optional<steady_time> DecidedAt;
};

/**
 * Applies an answer of the target. Answers to calls that ran at the same time
 * may arrive in any order. Only the answer to a call that started after the
 * last decision is surely newer; others may only tighten the limit.
 * @param Named limit in the answer; nothing if it has none.
 * @param StartedAt when the call was sent to the target.
 */
void applyNamedLimit(named_limit &Limit, std::optional<double> Named,
                     steady_time StartedAt, steady_time Now);

/** Token bucket for the starts of calls; without a rate it is not limited. */
struct start_limit {
  std::optional<double> CallsPerSecond; ///< Limit; nothing for none.
  double Tokens = 0;                    ///< Starts available at UpdatedAt.
  steady_time UpdatedAt{};              ///< When Tokens was computed.
};

/** Changes the rate. A limit begins with an empty bucket, since calls were
 * started before it; a changed one keeps its tokens. */
void setStartRate(start_limit &Limit, std::optional<double> CallsPerSecond,
                  steady_time Now);

/** Takes a token for a call that starts now. */
void recordStart(start_limit &Limit, steady_time Now);

/** @return the earliest time of the next start; Now if there is no limit. */
auto nextStartTime(const start_limit &Limit, steady_time Now) -> steady_time;

/** @return the wait of a call that has Ahead calls before it; 0 without a
 * limit.
 */
auto limitedStartWait(const start_limit &Limit, steady_time Now,
                      std::size_t Ahead) -> micros;

/** @return the mean time between starts; 0 without a limit. */
auto limitedStartGap(const start_limit &Limit) -> micros;

} // namespace sycamorelb::dispatch
