/** @file pick_type.h Candidates of a service and what this node observed. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"
#include "sycamorelb/membership/member_type.h"
#include "sycamorelb/routing/outlier_func.h"

#include <cstdint>
#include <string>
#include <variant>

namespace sycamorelb::routing {

/** Names one upstream: its node and its address. */
using upstream_id = strong_id<struct upstream_tag, std::string>;

/** @return the id of the upstream at Address beside Node. */
auto makeUpstreamId(const node_id &Node, const std::string &Address)
    -> upstream_id;

/** Load report, by gossip or in a response of the admission node. */
struct load_report {
  std::uint32_t Limit = 0;    ///< Concurrency limit; 0 if not reported.
  std::uint32_t InFlight = 0; ///< Calls in flight there.
  bool Cold = false;          ///< Whether the cold-start limit applies.
};

/** What this node observed of one upstream. */
struct upstream_stats {
  std::uint32_t InFlight = 0; ///< Calls of this node in flight there.
  double LatencyUs = 0;       ///< EWMA of the latency; 0 if unknown.
  steady_time LatencyAt{};    ///< Time of the last sample.
  double FailureRatio = 0;    ///< EWMA of failures, 0 to 1.
  /// Concurrency that the observed calls justify: grows with each success and
  /// is halved by a refusal. Reports count only up to it.
  double EarnedLimit = 1;
  load_report Report;       ///< Last load report.
  steady_time ReportedAt{}; ///< Time of the last report.
  double Utilisation = 0;   ///< EWMA of reported in-flight / limit.
  bool HasReport = false;   ///< Whether a report arrived.
  outlier_state Outlier;    ///< Failures and ejection.
};

/** One upstream that may be picked. */
struct candidate {
  upstream_id Id;                   ///< Which.
  version_id Version;               ///< Version it runs.
  zone_id Zone;                     ///< Zone of its node.
  region_id Region;                 ///< Region of its node.
  bool ZoneInService = true;        ///< From the snapshot.
  steady_time ZoneInServiceSince{}; ///< For slow start of a returned zone.
  membership::member_state Member =
      membership::member_state::Alive; ///< State of its node.
  membership::upstream_state State =
      membership::upstream_state::Warm;  ///< As reported by its node.
  std::uint32_t Slots = 1;               ///< As announced.
  const upstream_stats *Stats = nullptr; ///< Observed; nullptr for nothing.
};

/** Where the picking node is. */
struct pick_origin {
  zone_id Zone;     ///< Own zone.
  region_id Region; ///< Own region.
};

/** Reason why a candidate is not eligible. */
enum class ineligible_reason : std::uint8_t {
  None,
  OtherVersion,
  ZoneOutOfService,
  MemberNotAlive,
  Draining,
  Excluded,
  Ejected,
  Suspect,
};

/** Number of candidates by reason, for error messages. */
struct pick_census {
  std::uint32_t Candidates = 0;       ///< All candidates seen.
  std::uint32_t Eligible = 0;         ///< Eligible and not ejected.
  std::uint32_t OtherVersion = 0;     ///< Run another version.
  std::uint32_t ZoneOutOfService = 0; ///< In a zone out of service.
  std::uint32_t MemberNotAlive = 0;   ///< Node leaving or dead.
  std::uint32_t Draining = 0;         ///< Upstream is leaving.
  std::uint32_t Excluded = 0;         ///< Excluded by the caller.
  std::uint32_t Ejected = 0;          ///< Ejected as outliers.
  std::uint32_t Suspect = 0;          ///< Node suspected to be dead.
};

/** @return the counts as one line, such as "4 candidates: 3 ejected, ...". */
auto describe(const pick_census &Census) -> std::string;

/** A picked upstream. */
struct picked {
  std::size_t Index = 0; ///< Into the candidates.
  /// Only ejected or suspected candidates are left; one was picked all the
  /// same, since an ejection or suspicion may be wrong.
  bool Panic = false;
  std::string PanicReason; ///< Which and why; empty without panic.
};

/** Nothing can be picked. */
struct no_upstream {
  pick_census Census; ///< Why.
};

using pick_result = std::variant<picked, no_upstream>;

/** Tuning of the choice of upstream. */
struct pick_config {
  /// Utilisation of the nearer tier at which traffic begins to spill.
  double SpillFrom = 0.6;
  /// Utilisation at which the split is by capacity alone.
  double SpillFull = 1.0;
  micros SlowStart{10'000'000};     ///< Ramp after a return.
  double SlowStartFloor = 0.1;      ///< Weight at the start of the ramp.
  micros ReportLife{2'000'000};     ///< Time over which a reported load fades.
  micros LatencyMemory{10'000'000}; ///< Time constant at which a high latency
                                    ///< without new samples is forgotten.
  bool ColdAware = true; ///< Passes over cold upstreams without a free slot.
};

} // namespace sycamorelb::routing
