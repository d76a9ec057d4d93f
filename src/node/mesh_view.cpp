/** @file mesh_view.cpp Builds the view of the mesh for the data path. */
#include "node/mesh_view.h"

#include "sycamorelb/membership/membership_func.h"

#include <map>

namespace sycamorelb::node {

/** One version of one service. */
using version_key = std::pair<service_id, version_id>;

static auto collectUpstreams(const std::vector<membership::member> &Members)
    -> std::map<version_key, std::vector<mesh_upstream>> {
  auto Groups = std::map<version_key, std::vector<mesh_upstream>>();
  for (const auto &Member : Members) {
    for (const auto &Info : Member.Upstreams) {
      Groups[{Info.Service, Info.Version}].push_back(
          {routing::makeUpstreamId(Member.Id, Info.Address), Member.Id,
           Member.Addresses.Peer, Member.Zone, Member.Region, Member.State,
           Info});
    }
  }
  return Groups;
}

/** Appends the subset of a group. Each version of a service has its own subset,
 * so that a new version with few upstreams is never left out. */
static void appendSubset(std::vector<mesh_upstream> &Upstreams,
                         const std::vector<mesh_upstream> &Group,
                         const node_id &Self,
                         const routing::subset_config &Subset) {
  auto Candidates = std::vector<routing::subset_member>();
  Candidates.reserve(Group.size());
  for (const auto &Upstream : Group) {
    Candidates.push_back({Upstream.Id, Upstream.Zone});
  }
  for (auto Index : routing::chooseSubset(Self, Candidates, Subset)) {
    Upstreams.push_back(Group[Index]);
  }
}

auto buildMeshView(const membership::member_table &Table,
                   const routing::subset_config &Subset,
                   std::uint64_t Generation) -> mesh_view_ptr {
  auto View = std::make_shared<mesh_view>();
  View->Generation = Generation;
  View->Members = membership::liveMembers(Table);
  for (const auto &Member : View->Members) {
    // A leaving member is assigned no role that other nodes depend on.
    if (Member.State != membership::member_state::Leaving) {
      View->Live.push_back({Member.Id, Member.Zone, Member.Region});
    }
  }
  for (const auto &[Key, Group] : collectUpstreams(View->Members)) {
    appendSubset(View->Upstreams[Key.first], Group, Table.Self, Subset);
  }
  return View;
}

} // namespace sycamorelb::node
