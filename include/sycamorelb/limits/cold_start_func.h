/** @file cold_start_func.h Concurrency limit of a cold upstream and detection
 * of one that has become cold. */
#pragma once

#include "sycamorelb/limits/concurrency_func.h"

namespace sycamorelb::limits {

/** Parameters of the cold-start limit. */
struct cold_start_config {
  std::uint32_t ColdLimit = 1;    ///< Limit of a cold upstream.
  micros MinWindow{250'000};      ///< Minimum time between two raises.
  std::uint32_t MinSuccesses = 4; ///< Successes needed for a raise; at
                                  ///< least twice the limit.
  /// A window whose median is at most this multiple of the warm latency allows
  /// a raise.
  double NearWarmFactor = 1.5;
  /// A call is slow above this multiple of the typical warm latency.
  double SlowCallFactor = 2.5;
  /// CUSUM of log-likelihood ratios at which the upstream counts as cold. A
  /// warm upstream reaches 16 at most once in e^16 (9 million) calls.
  double CusumThreshold = 16;
};

/** Maximum number of consecutive slow or refused calls until a warm upstream
 * counts as cold: ceil(16 / ln(0.7 / 0.25)). */
inline constexpr std::uint32_t MaxCallsToDetectCold = 16;

/** State of the cold-start limit. */
struct cold_state {
  bool Cold = true;        ///< Whether the cold-start limit applies.
  std::uint32_t Limit = 1; ///< Limit while cold.
  double Cusum = 0;        ///< CUSUM of slow against normal calls.
  /// Learned ratio of slow calls while warm. It starts at its upper bound: with
  /// a low start, ordinary variance would count as a cold upstream.
  double SlowRatio = 0.25;
  micros RecentMedian{0};      ///< EWMA of the window medians; 0 if none.
  latency_window Window;       ///< Current window.
  std::uint32_t TimesCold = 0; ///< How often it became cold again.
};

/** @return the state of a newly started upstream. */
auto makeColdStart(const cold_start_config &Config) -> cold_state;

/** Effect of an observation on the cold state. */
enum class cold_event : std::uint8_t {
  None,       ///< No window closed.
  Held,       ///< A window closed without a raise.
  Raised,     ///< The limit rose.
  Lowered,    ///< A refusal lowered the limit while cold.
  Warm,       ///< The cold-start limit no longer applies.
  BecameCold, ///< The limit dropped to the cold limit.
};

/**
 * Records the outcome of a call.
 * @param TypicalLatency typical latency while warm; 0 if unknown.
 * @param WarmLimit limit at which the upstream counts as warm.
 */
auto observeCall(cold_state &State, const cold_start_config &Config,
                 call_outcome Outcome, micros Latency, micros TypicalLatency,
                 std::uint32_t WarmLimit, steady_time Now) -> cold_event;

/** Returns to the cold limit, for example after a restart of the upstream. */
void resetToCold(cold_state &State, const cold_start_config &Config);

} // namespace sycamorelb::limits
