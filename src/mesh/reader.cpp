/** @file reader.cpp Choice of the nodes that read the store. */
#include "sycamorelb/mesh/reader_func.h"

#include "sycamorelb/core/hash_func.h"

#include <utility>

namespace sycamorelb::mesh {

/** @return the rank of a host; those with the means for it come first. */
static auto rankOf(const host_record &Host) -> std::pair<bool, std::uint64_t> {
  return {Host.Capable, rendezvousScore(Host.Zone.Value, Host.Node.Value)};
}

auto isReader(const host_table &Hosts, const host_record &Own) -> bool {
  auto Ahead = std::size_t{0};
  for (const auto &[Node, Host] : Hosts.records()) {
    if (Node != Own.Node && Host.Zone == Own.Zone && !Host.Leaving &&
        !Host.StoreLost && rankOf(Host) > rankOf(Own)) {
      ++Ahead;
    }
  }
  return Ahead < ReadersPerZone;
}

} // namespace sycamorelb::mesh
