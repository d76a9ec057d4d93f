/** @file subset_func.h Bounded subset of a service's upstreams for one node. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/routing/pick_type.h"

#include <span>
#include <vector>

namespace sycamorelb::routing {

/** Size of a subset. */
struct subset_config {
  std::size_t Size = 16;      ///< Maximum number of upstreams.
  std::size_t MinPerZone = 2; ///< Minimum per zone; less if Size is too small
                              ///< for all zones.
};

/** An upstream that may enter a subset. */
struct subset_member {
  upstream_id Id; ///< Its id.
  zone_id Zone;   ///< Its zone.
};

/** Maximum number of entries that a subset gains and loses together when one
 * upstream joins or leaves, if Size suffices for MinPerZone in all zones. */
inline constexpr std::size_t MaxSubsetChange = 2;

/**
 * Chooses the subset of a node by rendezvous hashing.
 * @param Members upstreams of one service, without duplicates.
 * @return ascending indexes into Members, independent of their order.
 */
auto chooseSubset(const node_id &Self, std::span<const subset_member> Members,
                  const subset_config &Config = {}) -> std::vector<std::size_t>;

} // namespace sycamorelb::routing
