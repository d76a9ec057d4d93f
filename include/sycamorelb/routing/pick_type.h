/** @file pick_type.h Candidate upstreams of a service and their statistics. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"
#include "sycamorelb/membership/member_type.h"
#include "sycamorelb/routing/outlier_func.h"

#include <cstdint>
#include <string>
#include <variant>

namespace sycamorelb::routing {

/** Identifies one upstream by its node and its address. */
using upstream_id = strong_id<struct upstream_tag, std::string>;

/** @return the id of the upstream at Address that is attached to Node. */
auto makeUpstreamId(const node_id &Node, const std::string &Address)
    -> upstream_id;

/** Load of an upstream, reported by gossip or in a response of its admission
 * node. */
struct load_report {
  std::uint32_t Limit = 0;    ///< Concurrency limit; 0 if not reported.
  std::uint32_t InFlight = 0; ///< Calls in flight there.
  bool Cold = false;          ///< Whether the cold-start limit applies.
};

/** Statistics of one upstream as observed by this node. */
struct upstream_stats {
  std::uint32_t InFlight = 0; ///< Calls of this node in flight there.
  double LatencyUs = 0;       ///< EWMA of the latency; 0 if unknown.
  steady_time LatencyAt{};    ///< Time of the last sample.
  double FailureRatio = 0;    ///< EWMA of failures, 0 to 1.
  /// Concurrency limit earned by observed calls: grows by 1 with each success
  /// and is halved by a refusal, a timeout or a refused connection. Caps the
  /// reported limit.
  double EarnedLimit = 1;
  load_report Report;       ///< Last load report.
  steady_time ReportedAt{}; ///< Time of the last report.
  double Utilisation = 0;   ///< EWMA of reported in-flight / limit.
  bool HasReport = false;   ///< Whether a report arrived.
  outlier_state Outlier;    ///< Outlier detection.
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
  const upstream_stats *Stats = nullptr; ///< nullptr before any observation.
};

/** Location of the picking node. */
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

/** Numbers of candidates by eligibility, for error messages. */
struct candidate_counts {
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
auto describe(const candidate_counts &Counts) -> std::string;

/** Result of a successful pick. */
struct picked_upstream {
  std::size_t Index = 0; ///< Into the candidates.
  /// Panic mode: only ejected or suspected candidates are left, and one of them
  /// was picked because the ejection or suspicion may be wrong.
  bool Panic = false;
  std::string PanicReason; ///< Candidate counts and ids; empty without panic.
};

/** No candidate can be picked. */
struct no_upstream {
  candidate_counts Counts; ///< Why.
};

using pick_result = std::variant<picked_upstream, no_upstream>;

/** Parameters of load balancing. */
struct pick_config {
  /// Utilisation of the nearer tier above which traffic spills over to farther
  /// tiers.
  double SpillFrom = 0.6;
  /// Utilisation at which traffic is split in proportion to capacity.
  double SpillFull = 1.0;
  micros SlowStart{10'000'000}; ///< Ramp after an ejection or return of a zone.
  double SlowStartFloor = 0.1;  ///< Weight at the start of the ramp.
  micros ReportLifetime{2'000'000};    ///< Time over which the weight of a
                                       ///< load report falls to 0.
  micros LatencyDecayTime{10'000'000}; ///< Time constant at which a
                                       ///< high latency decays to the mean
                                       ///< when there are no new samples.
  bool ColdAware = true; ///< Skips cold upstreams without a free slot and
                         ///< lowers the weight of used ones.
};

} // namespace sycamorelb::routing
