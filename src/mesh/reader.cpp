/** @file reader.cpp Choice of the nodes that read the store. */
#include "sycamorelb/mesh/reader_func.h"

#include "sycamorelb/core/hash_func.h"

#include <utility>

namespace sycamorelb::mesh {

/** @return the rank of a host; those with the means for it come first. */
static auto rankOf(const host_record &Host) -> std::pair<bool, std::uint64_t> {
  return {Host.Capable, rendezvousScore(Host.Zone.Value, Host.Node.Value)};
}

/** @return the hosts of the zone that read the store before Own does.
 * @param WithLost counts those that can't read it now as well. */
static auto hostsAhead(const host_table &Hosts, const host_record &Own,
                       bool WithLost) -> std::size_t {
  auto Ahead = std::size_t{0};
  for (const auto &[Node, Host] : Hosts.records()) {
    if (Node != Own.Node && Host.Zone == Own.Zone && !Host.Leaving &&
        (WithLost || !Host.StoreLost) && rankOf(Host) > rankOf(Own)) {
      ++Ahead;
    }
  }
  return Ahead;
}

auto isReader(const host_table &Hosts, const host_record &Own) -> bool {
  return hostsAhead(Hosts, Own, false) < ReadersPerZone;
}

auto isSpareReader(const host_table &Hosts, const host_record &Own) -> bool {
  return hostsAhead(Hosts, Own, true) >= ReadersPerZone * 2;
}

} // namespace sycamorelb::mesh
