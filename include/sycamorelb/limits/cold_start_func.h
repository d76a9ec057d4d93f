/** @file cold_start_func.h Limit of an upstream that is, or became, cold. */
#pragma once

#include "sycamorelb/limits/concurrency_func.h"

namespace sycamorelb::limits {

/** Tuning of the cold-start limit. */
struct cold_start_config {
  std::uint32_t ColdLimit = 1;    ///< Limit of a cold upstream.
  micros MinWindow{250'000};      ///< Shortest time between two raises.
  std::uint32_t MinSuccesses = 4; ///< Successes needed for a raise, at least
                                  ///< twice the limit.
  /// A window is near the baseline up to this factor.
  double NearFactor = 1.5;
  /// A call is slow above this factor of the typical warm latency.
  double SlowFactor = 2.5;
  /// Sum of log-likelihood ratios at which the upstream counts as cold. A warm
  /// upstream reaches 16 once in e^16 (9 million) calls at most.
  double AlarmThreshold = 16;
};

/** Observed slow or refused calls in a row, at most, after which a warm
 * upstream counts as cold: ceil(16 / ln(0.7 / 0.25)). */
inline constexpr std::uint32_t MaxCallsToDetectCold = 16;

/** State of the cold-start limit. */
struct cold_state {
  bool Cold = true;        ///< Whether the cold-start limit applies.
  std::uint32_t Limit = 1; ///< Limit while cold.
  double Alarm = 0;        ///< CUSUM of "slow" against "as usual".
  /// Learned ratio of slow calls while warm. It starts at its upper bound, as a
  /// low start takes ordinary variance for a cold upstream.
  double SlowRatio = 0.25;
  micros Recent{0};            ///< EWMA of the window medians; 0 for none.
  latency_window Window;       ///< Open window.
  std::uint32_t TimesCold = 0; ///< Times it became cold again.
};

/** @return the state after a start of the upstream. */
auto makeColdStart(const cold_start_config &Config) -> cold_state;

/** Effect of an observation on the cold state. */
enum class cold_event : std::uint8_t {
  None,       ///< No window closed.
  Held,       ///< A window closed without evidence for a raise.
  Raised,     ///< The limit rose.
  Lowered,    ///< The limit fell while warming up.
  Warm,       ///< The cold-start limit does not apply any more.
  TurnedCold, ///< The limit dropped to the cold limit.
};

/**
 * Records the end of a call.
 * @param Typical typical latency of warm operation; 0 if unknown.
 * @param WarmLimit limit at which the upstream counts as warm.
 */
auto observeCall(cold_state &State, const cold_start_config &Config,
                 call_outcome Outcome, micros Latency, micros Typical,
                 std::uint32_t WarmLimit, steady_time Now) -> cold_event;

/** Drops to the cold limit, as after a restart of the upstream. */
void turnCold(cold_state &State, const cold_start_config &Config);

} // namespace sycamorelb::limits
