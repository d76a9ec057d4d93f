/** @file outlier_func.h Outlier detection: ejects upstreams that fail more
 * often than the others of their service. */
#pragma once

#include "sycamorelb/core/unit_type.h"
#include "sycamorelb/limits/outcome_type.h"

#include <cstdint>
#include <span>
#include <vector>

namespace sycamorelb::routing {

/** Parameters of outlier detection. */
struct outlier_config {
  std::uint32_t ConsecutiveFailures = 5; ///< Failures in a row that make an
                                         ///< upstream an outlier.
  std::uint32_t MinCalls = 20;           ///< Fewest calls for a success rate.
  /// An upstream is ejected when its success rate is below that of the other
  /// candidates by more than this, so that a fault common to all ejects none.
  double SuccessRateGap = 0.3;
  micros BaseEjectionTime{2'000'000}; ///< First ejection; doubles each time.
  micros MaxEjectionTime{60'000'000}; ///< Longest ejection.
  /// Time without an ejection after which the ejection count is halved.
  micros EjectionCountHalfLife{30'000'000};
};

/** Failure statistics and ejection state of one upstream. */
struct outlier_state {
  std::uint32_t ConsecutiveFailures = 0; ///< Since the last success.
  bool Unreachable = false;              ///< The last connection was refused.
  double Calls = 0;                      ///< Calls, decayed.
  double Failures = 0;                   ///< Failed calls, decayed.
  steady_time EjectedUntil{};            ///< End of the last ejection.
  steady_time ReadmittedAt{};  ///< End of the last ejection, once it has
                               ///< passed; start of slow start.
  bool Ejected = false;        ///< Whether it is ejected now.
  std::uint32_t Ejections = 0; ///< Ejection count; sets the next duration.
};

/** Records the outcome of a call. A refusal does not count as a failure. */
void observeCall(outlier_state &State, limits::call_outcome Outcome);

/** @return whether updateOutliers may eject this upstream, depending on the
 * others of its group. */
auto isOutlierCandidate(const outlier_state &State,
                        const outlier_config &Config) -> bool;

/** Changes made by updateOutliers, as indexes into the group. */
struct outlier_changes {
  std::vector<std::size_t> Ejected;      ///< Newly ejected.
  std::vector<std::size_t> Readmitted;   ///< Ejection ended.
  std::vector<std::size_t> SkippedAtCap; ///< Outliers kept as half of the
                                         ///< group is ejected already.
};

/** Ends and starts ejections among all candidates of a service. At most half of
 * the group, rounded down, is ejected at any time. */
auto updateOutliers(std::span<outlier_state *const> Group,
                    const outlier_config &Config, steady_time Now)
    -> outlier_changes;

} // namespace sycamorelb::routing
