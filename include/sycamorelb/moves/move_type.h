/** @file move_type.h Types of traffic moves: call samples, tallies, decisions.
 */
#pragma once

#include "sycamorelb/config/state_type.h"
#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace sycamorelb::moves {

/** Which version of a move a call ran on. */
enum class move_side : std::uint8_t { Old, New };

/** Result of a call, as seen by the admission node. */
enum class call_outcome : std::uint8_t {
  Succeeded, ///< Any response except a server error.
  Failed,    ///< Server error, connection error or timeout.
  Cancelled, ///< The caller disconnected before the end of the response.
};

/** One call that an upstream processed; refused calls are not counted. */
struct call_sample {
  call_outcome Outcome = call_outcome::Succeeded; ///< Result.
  micros Latency{0}; ///< From forwarding to the end, without time in the queue.
  bool Cold = false; ///< The upstream was cold. The latency is ignored, because
                     ///< it says nothing about the version.
};

/** Number of latency buckets. Bounds grow by a factor of 2^(1/4); the first
 * bucket ends at 100 us, the last one holds everything above about 4.7 s. */
inline constexpr std::size_t LatencyBuckets = 64;

/** Counts of calls of one version on one route. */
struct tally {
  std::uint64_t Calls = 0;     ///< All calls.
  std::uint64_t Failures = 0;  ///< Failed calls.
  std::uint64_t Cancelled = 0; ///< Calls whose caller disconnected.
  std::array<std::uint32_t, LatencyBuckets>
      Latency{}; ///< Histogram of calls that succeeded on a warm upstream.
  auto operator==(const tally &) const -> bool = default;
};

/** Tallies of the old and of the new version, indexed by move_side. */
using tally_pair = std::array<tally, 2>;

/** Capacity of the warm upstreams of a service. */
struct move_capacity {
  std::uint32_t WarmNewLimit =
      0; ///< Sum of the concurrency limits, new version.
  std::uint32_t WarmOldLimit =
      0;               ///< Sum of the concurrency limits, old version.
  double InFlight = 0; ///< Mean calls in flight, both versions.
};

/** Record that sets the share; valid only directly after step Number - 1. */
struct move_step {
  std::uint32_t Number = 0; ///< Number of this step, from 1.
  share_ppm Share;          ///< Share of calls for the new version.
  auto operator==(const move_step &) const -> bool = default;
};

/** End of a move; the first verdict in log order counts. */
struct move_verdict {
  config::move_phase Phase = config::move_phase::Done; ///< Done or TakenBack.
  std::string Reason; ///< Why it was taken back; empty if done.
  auto operator==(const move_verdict &) const -> bool = default;
};

/** Decision to append no record now. */
struct move_hold {
  std::string Reason; ///< Reason for operators.
  auto operator==(const move_hold &) const -> bool = default;
};

using move_decision = std::variant<move_hold, move_step, move_verdict>;

/** Detection of a regression of the new version by the sequential test. */
struct move_alarm {
  route_id Route;      ///< Affected route; empty for all routes.
  std::string Reason;  ///< "failures", "slow", "cancelled", "burst",
                       ///< "failures_at_full_share" or
                       ///< "slow_at_full_share"; without concurrent old calls,
                       ///< the last two compare with earlier ones.
  double Evidence = 0; ///< Combined evidence (e-value) at the alarm.
  auto operator==(const move_alarm &) const -> bool = default;
};

} // namespace sycamorelb::moves
