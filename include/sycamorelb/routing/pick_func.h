/** @file pick_func.h Picks the upstream of a call. */
#pragma once

#include "sycamorelb/core/random_func.h"
#include "sycamorelb/routing/pick_type.h"

#include <set>
#include <span>

namespace sycamorelb::routing {

/** What a pick is about. */
struct pick_request {
  version_id Version;                      ///< Version that was chosen.
  pick_origin Origin;                      ///< Where the picking node is.
  std::span<const upstream_id> Excluded{}; ///< Tried before by this call.
};

/** @return why the candidate cannot be picked. */
auto checkEligible(const candidate &Candidate, const pick_request &Request)
    -> ineligible_reason;

/**
 * Picks an upstream: eligible candidates, then a locality tier, then the lower
 * expected wait of two candidates drawn by limit.
 * @return no_upstream if none is eligible, even counting ejected ones.
 */
auto pickUpstream(std::span<const candidate> Candidates,
                  const pick_request &Request, const pick_config &Config,
                  random_source &Random, steady_time Now) -> pick_result;

/** @return the versions that have an upstream a call can be sent to. */
auto eligibleVersions(std::span<const candidate> Candidates)
    -> std::set<version_id>;

/** Shares of the traffic of the tiers own zone, own region and elsewhere. */
struct tier_shares {
  double OwnZone = 0;   ///< Share of the own zone.
  double OwnRegion = 0; ///< Share of other zones of the region.
  double Elsewhere = 0; ///< Share of other regions.
};

/** Measured state of one tier. */
struct tier_load {
  double Capacity = 0;    ///< Sum of the trusted limits.
  double Utilisation = 0; ///< Mean utilisation, weighted by limit.
};

/** @return shares that sum to 1 unless all capacities are 0. They change
 * continuously with utilisation. */
auto shareTiers(const tier_load &OwnZone, const tier_load &OwnRegion,
                const tier_load &Elsewhere, const pick_config &Config)
    -> tier_shares;

/** @return the concurrency this node trusts the candidate with: the report,
 * but not more than was earned by observed calls. */
auto trustedLimit(const candidate &Candidate) -> double;

/** @return the weight of slow start, from the floor to 1. */
auto slowStartWeight(const candidate &Candidate, const pick_config &Config,
                     steady_time Now) -> double;

} // namespace sycamorelb::routing
