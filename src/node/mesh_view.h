/** @file mesh_view.h Immutable view of the members for the data path. */
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
  routing::upstream_id Id;        ///< Names node and address.
  node_id Node;                   ///< Node beside it.
  std::string PeerAddress;        ///< Peer port of that node.
  zone_id Zone;                   ///< Zone of that node.
  region_id Region;               ///< Region of that node.
  membership::member_state State; ///< Liveness of that node.
  membership::upstream_info Info; ///< What it announced.
};

/** Members and the subset of upstreams used by this node. */
struct mesh_view {
  std::uint64_t Generation = 0;            ///< Grows with each rebuild.
  std::vector<config::peer> Live;          ///< Members that are not leaving.
  std::vector<membership::member> Members; ///< Live members in full.
  std::unordered_map<service_id, std::vector<mesh_upstream>>
      Upstreams; ///< Subset of each service.
};

using mesh_view_ptr = std::shared_ptr<const mesh_view>;

/**
 * Builds the view.
 * @param Table member table, locked by the caller.
 * @param Subset size of the subset of each service and version.
 */
auto buildMeshView(const membership::member_table &Table,
                   const routing::subset_config &Subset,
                   std::uint64_t Generation) -> mesh_view_ptr;

} // namespace sycamorelb::node
