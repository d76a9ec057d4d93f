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

/** How a call ended, as seen by the admission node. */
enum class call_outcome : std::uint8_t {
  Succeeded, ///< A response that is no server error.
  Failed,    ///< A server error, a broken connection or a timeout.
  Cancelled, ///< The caller left before the response was complete.
};

/** One call that an upstream worked on; refused calls are not samples. */
struct call_sample {
  call_outcome Outcome = call_outcome::Succeeded; ///< How it ended.
  micros Latency{0}; ///< From forwarding to the end, without queueing.
  bool Cold = false; ///< The upstream was cold; its latency is no evidence
                     ///< about the version and is left out.
};

/** Number of latency buckets; each is 2^(1/4) wide, the first ends at 100 us
 * and the last takes everything above about 4.7 s. */
inline constexpr std::size_t LatencyBuckets = 64;

/** Counts of calls of one version on one route. */
struct tally {
  std::uint64_t Calls = 0;     ///< All calls.
  std::uint64_t Failures = 0;  ///< Failed calls.
  std::uint64_t Cancelled = 0; ///< Calls whose caller left.
  std::array<std::uint32_t, LatencyBuckets>
      Latency{}; ///< Calls that succeeded on a warm upstream, by latency.
  auto operator==(const tally &) const -> bool = default;
};

/** Tallies of the old and of the new version, indexed by move_side. */
using tally_pair = std::array<tally, 2>;

/** What the warm upstreams of a service can take. */
struct move_capacity {
  std::uint32_t WarmNewLimit = 0; ///< Sum of limits of warm new upstreams.
  std::uint32_t WarmOldLimit = 0; ///< Sum of limits of warm old upstreams.
  double InFlight = 0; ///< Mean number of calls in flight, both versions.
};

/** Step number Number sets the share; valid only directly after Number-1. */
struct move_step {
  std::uint32_t Number = 0; ///< Number of this step, from 1.
  share_ppm Share;          ///< Share of the new version from now on.
  auto operator==(const move_step &) const -> bool = default;
};

/** End of a move; the first verdict in log order counts. */
struct move_verdict {
  config::move_phase Phase = config::move_phase::Done; ///< Done or TakenBack.
  std::string Reason; ///< Why it was taken back; empty when done.
  auto operator==(const move_verdict &) const -> bool = default;
};

/** Nothing is to be recorded now. */
struct move_hold {
  std::string Reason; ///< Why, for people.
  auto operator==(const move_hold &) const -> bool = default;
};

using move_decision = std::variant<move_hold, move_step, move_verdict>;

/** A finding of the sequential test against the new version. */
struct move_alarm {
  route_id Route;      ///< Route that shows it; empty for all routes.
  std::string Reason;  ///< "failures", "slow", "cancelled", "burst",
                       ///< "failures_at_full_share" or
                       ///< "slow_at_full_share"; the last two compare with
                       ///< earlier calls when old calls are missing.
  double Evidence = 0; ///< Combined evidence (e-value) at the alarm.
  auto operator==(const move_alarm &) const -> bool = default;
};

} // namespace sycamorelb::moves
