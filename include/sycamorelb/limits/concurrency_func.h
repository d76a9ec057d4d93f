/** @file concurrency_func.h Adaptive concurrency limit of one upstream. */
#pragma once

#include "sycamorelb/core/unit_type.h"
#include "sycamorelb/limits/outcome_type.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace sycamorelb::limits {

/** Latencies of the successful calls of one measurement window. */
struct latency_window {
  /// Number of samples kept; newer ones overwrite the oldest.
  static constexpr std::size_t Capacity = 256;
  std::array<std::uint32_t, Capacity> Samples{}; ///< Microseconds.
  std::uint32_t Count = 0;        ///< Successes, including overwritten samples.
  steady_time StartedAt{};        ///< Time of the first sample.
  std::uint32_t PeakInFlight = 0; ///< Highest in-flight count seen.
  bool HadRefusal = false;        ///< Whether a call was refused.
};

/** Adds the latency of a successful call. */
void addSample(latency_window &Window, micros Latency, steady_time Now);

/** @return the duration in microseconds. */
inline auto toDouble(micros Duration) -> double {
  return static_cast<double>(Duration.count());
}

/** @return the median latency; 0 for an empty window. */
auto medianLatency(const latency_window &Window) -> micros;

/** Capacity announced by an upstream. */
struct capacity_bounds {
  std::uint32_t Slots = 1;       ///< Calls it can process concurrently.
  std::uint32_t Connections = 1; ///< Connections it accepts.
  auto operator==(const capacity_bounds &) const -> bool = default;
};

/** @return the maximum concurrency limit, at least 1. */
auto hardLimit(const capacity_bounds &Bounds) -> std::uint32_t;

/** Parameters of the concurrency limit. */
struct concurrency_config {
  /// A median latency above this multiple of the baseline lowers the limit.
  double Tolerance = 1.5;
  /// Successes needed to close a window. The median of 64 exponential latencies
  /// deviates by 18 %; with 16 samples noise alone lowered the limit from 10 to
  /// 3.
  std::uint32_t MinSamples = 64;
  micros MinWindow{250'000};   ///< Minimum window length.
  double RefusalBackoff = 0.7; ///< Factor on refusal, once per window.
};

/** State of the concurrency limit. */
struct concurrency_state {
  double Limit = 1;         ///< Current limit, 1 to the hard limit.
  micros Baseline{0};       ///< Latency without contention; 0 if unknown.
  micros TypicalLatency{0}; ///< Median latency while warm; 0 if unknown.
  latency_window Window;    ///< Current window.
};

/** @return a state that starts at the hard limit. */
auto makeConcurrency(const capacity_bounds &Bounds) -> concurrency_state;

/**
 * Records the outcome of a call and adjusts the limit when a window closes.
 * A window in which less than half of the limit was in use never lowers the
 * limit, as concurrency did not cause its latency.
 * @param InFlight calls in flight, including this one.
 */
void observeCall(concurrency_state &State, const concurrency_config &Config,
                 const capacity_bounds &Bounds, call_outcome Outcome,
                 micros Latency, std::uint32_t InFlight, steady_time Now);

} // namespace sycamorelb::limits
