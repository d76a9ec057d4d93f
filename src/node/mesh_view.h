/** @file mesh_view.h Immutable view of the mesh for the data path. */
#pragma once

#include "sycamorelb/config/distribution_func.h"
#include "sycamorelb/membership/table_type.h"
#include "sycamorelb/routing/pick_type.h"
#include "sycamorelb/routing/subset_func.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace sycamorelb::node {

/** An upstream that this node may send calls to. */
struct mesh_upstream {
  routing::upstream_id Id;        ///< Identifies node and address.
  node_id Node;                   ///< Node that it runs beside.
  std::string PeerAddress;        ///< Address of that node for calls.
  zone_id Zone;                   ///< Zone of that node.
  region_id Region;               ///< Region of that node.
  membership::member_state State; ///< Liveness of that node.
  membership::upstream_info Info; ///< Its announcement.
};

/** Members, and the subset of upstreams that this node uses. */
struct mesh_view {
  std::uint64_t Generation = 0;            ///< Incremented by each rebuild.
  std::vector<config::peer> Live;          ///< Members that are not leaving.
  std::vector<membership::member> Members; ///< Live members in full.
  std::unordered_map<service_id, std::vector<mesh_upstream>>
      Upstreams; ///< Subset, by service.
};

using mesh_view_ptr = std::shared_ptr<const mesh_view>;

/**
 * Builds the view.
 * @param Table member table; the caller holds its lock.
 * @param Subset size of the subset, for each version of a service.
 */
auto buildMeshView(const membership::member_table &Table,
                   const routing::subset_config &Subset,
                   std::uint64_t Generation) -> mesh_view_ptr;

} // namespace sycamorelb::node
