/** @file pick_func.h Load balancing: picks the upstream of a call. */
#pragma once

#include "sycamorelb/core/random_func.h"
#include "sycamorelb/routing/pick_type.h"

#include <set>
#include <span>

namespace sycamorelb::routing {

/** Input of one pick. */
struct pick_request {
  version_id Version;                      ///< Version to call.
  pick_origin Origin;                      ///< Location of the picking node.
  std::span<const upstream_id> Excluded{}; ///< Already tried for this call.
};

/** @return why the candidate is not eligible; None if it is. */
auto checkEligible(const candidate &Candidate, const pick_request &Request)
    -> ineligible_reason;

/**
 * Picks an upstream: filters the eligible candidates, chooses a locality tier,
 * draws two candidates of the tier weighted by limit, and takes the one with
 * the lower expected wait.
 * @return no_upstream if no candidate is eligible, ejected or suspected.
 */
auto pickUpstream(std::span<const candidate> Candidates,
                  const pick_request &Request, const pick_config &Config,
                  random_source &Random, steady_time Now) -> pick_result;

/** @return the versions with at least one upstream that a pick can return. */
auto eligibleVersions(std::span<const candidate> Candidates)
    -> std::set<version_id>;

/** Split of the traffic over the locality tiers. */
struct tier_shares {
  double OwnZone = 0;   ///< Share of the own zone.
  double OwnRegion = 0; ///< Share of other zones of the region.
  double Elsewhere = 0; ///< Share of other regions.
};

/** Capacity and load of one locality tier. */
struct tier_load {
  double Capacity = 0;    ///< Sum of the candidates' weights.
  double Utilisation = 0; ///< Mean utilisation by weight.
};

/** @return shares that sum to 1 unless all capacities are 0. They are a
 * continuous function of the utilisation. */
auto computeTierShares(const tier_load &OwnZone, const tier_load &OwnRegion,
                       const tier_load &Elsewhere, const pick_config &Config)
    -> tier_shares;

/** @return the concurrency limit that picks assume: the smallest of the earned
 * limit, the slots and the reported limit, if any; at least 1. */
auto effectiveLimit(const candidate &Candidate) -> double;

/** @return the weight factor of slow start, from SlowStartFloor to 1. */
auto slowStartWeight(const candidate &Candidate, const pick_config &Config,
                     steady_time Now) -> double;

} // namespace sycamorelb::routing
