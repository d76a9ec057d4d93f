/** @file reader.cpp Choice of the nodes that read the store. */
#include "sycamorelb/mesh/reader_func.h"

#include "sycamorelb/core/hash_func.h"

namespace sycamorelb::mesh {

auto isReader(const host_table &Hosts, const host_record &Own) -> bool {
  auto OwnScore = rendezvousScore(Own.Zone.Value, Own.Node.Value);
  auto Ahead = std::size_t{0};
  for (const auto &[Node, Host] : Hosts.records()) {
    if (Node != Own.Node && Host.Zone == Own.Zone && !Host.Leaving &&
        !Host.StoreLost &&
        rendezvousScore(Host.Zone.Value, Node.Value) > OwnScore) {
      ++Ahead;
    }
  }
  return Ahead < ReadersPerZone;
}

} // namespace sycamorelb::mesh
