/** @file outlier_func.h Ejects upstreams that fail more than others. */
#pragma once

#include "sycamorelb/core/unit_type.h"
#include "sycamorelb/limits/outcome_type.h"

#include <cstdint>
#include <span>
#include <vector>

namespace sycamorelb::routing {

/** Tuning of outlier ejection. */
struct outlier_config {
  std::uint32_t ConsecutiveFailures = 5; ///< Failures in a row that eject.
  std::uint32_t MinCalls = 20; ///< Calls needed to judge the success rate.
  /// An upstream is ejected when its success rate is lower than that of the
  /// other candidates by more than this; a fault common to all ejects none.
  double SuccessRateGap = 0.3;
  micros BaseEjection{2'000'000}; ///< First ejection; doubles each time.
  micros MaxEjection{60'000'000}; ///< Longest ejection.
  /// Time without an ejection that halves the next ejection time.
  micros Forgiveness{30'000'000};
};

/** Failures of one upstream and its ejection. */
struct outlier_state {
  std::uint32_t ConsecutiveFailures = 0; ///< Since the last success.
  bool Unreachable = false;              ///< The last connection was refused.
  double Calls = 0;                      ///< Calls, decayed.
  double Failures = 0;                   ///< Failed calls, decayed.
  steady_time EjectedUntil{};            ///< End of the last ejection.
  steady_time ReturnedAt{};    ///< Same once it has ended; for slow start.
  bool Ejected = false;        ///< Whether an ejection runs.
  std::uint32_t Ejections = 0; ///< Grows the ejection time.
};

/** Records the end of a call. Refusals are not failures. */
void observeCall(outlier_state &State, limits::call_outcome Outcome);

/** @return whether updateOutliers may eject this upstream. */
auto isSuspicious(const outlier_state &State, const outlier_config &Config)
    -> bool;

/** Changes made by updateOutliers, as indexes into the group. */
struct outlier_changes {
  std::vector<std::size_t> Ejected;  ///< Ejected now.
  std::vector<std::size_t> Returned; ///< Ejection ended now.
  std::vector<std::size_t> Spared;   ///< Not ejected as half are already.
};

/** Ends and starts ejections in the group of all candidates of a service. At
 * most half of the group (rounded down) is ejected at any time. */
auto updateOutliers(std::span<outlier_state *const> Group,
                    const outlier_config &Config, steady_time Now)
    -> outlier_changes;

} // namespace sycamorelb::routing
