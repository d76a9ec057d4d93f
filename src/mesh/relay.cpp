/** @file relay.cpp Choice of nodes that relay updates to their zone. */
#include "sycamorelb/mesh/relay_func.h"

#include <algorithm>
#include <map>
#include <utility>

namespace sycamorelb::mesh {

void sampleNodes(std::vector<node_id> &Nodes, std::size_t Count,
                 random_source &Random) {
  Count = std::min(Count, Nodes.size());
  for (auto Index = std::size_t{0}; Index < Count; ++Index) {
    auto Remaining = static_cast<std::uint32_t>(Nodes.size() - Index);
    std::swap(Nodes[Index], Nodes[Index + randomBelow(Random, Remaining)]);
  }
  Nodes.resize(Count);
}

auto chooseRelays(const host_table &Hosts, const host_record &Own,
                  std::size_t PerZone, random_source &Random)
    -> std::vector<node_id> {
  auto Zones = std::map<zone_id, std::vector<node_id>>();
  for (const auto &[Node, Host] : Hosts.records()) {
    if (Host.Zone != Own.Zone && !Host.Leaving) {
      Zones[Host.Zone].push_back(Node);
    }
  }
  auto Relays = std::vector<node_id>();
  for (auto &[Zone, Nodes] : Zones) {
    sampleNodes(Nodes, PerZone, Random);
    Relays.insert(Relays.end(), Nodes.begin(), Nodes.end());
  }
  return Relays;
}

} // namespace sycamorelb::mesh
