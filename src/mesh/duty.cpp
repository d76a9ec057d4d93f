/** @file duty.cpp Choice of the nodes that perform a duty for the mesh. */
#include "sycamorelb/mesh/duty_func.h"

#include "sycamorelb/core/hash_func.h"

#include <algorithm>
#include <utility>

namespace sycamorelb::mesh {

auto chooseDutyHosts(const host_table &Hosts, std::string_view Duty,
                     std::size_t Count) -> std::vector<node_id> {
  auto Ranked = std::vector<std::pair<std::uint64_t, node_id>>();
  for (const auto &[Node, Host] : Hosts.records()) {
    if (!Host.Leaving && !Host.StoreLost) {
      Ranked.emplace_back(rendezvousScore(Duty, Node.Value), Node);
    }
  }
  std::sort(Ranked.rbegin(), Ranked.rend());
  Ranked.resize(std::min(Ranked.size(), Count));
  auto Nodes = std::vector<node_id>();
  for (const auto &[Score, Node] : Ranked) {
    Nodes.push_back(Node);
  }
  return Nodes;
}

} // namespace sycamorelb::mesh
