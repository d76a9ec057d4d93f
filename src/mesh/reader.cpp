/** @file reader.cpp Election of the nodes that read the store. */
#include "sycamorelb/mesh/reader_func.h"

#include "sycamorelb/core/hash_func.h"

#include <utility>

namespace sycamorelb::mesh {

/** @return the rank of a host; reader-capable hosts rank highest. */
static auto readerRank(const host_record &Host)
    -> std::pair<bool, std::uint64_t> {
  return {Host.ReaderCapable,
          rendezvousScore(Host.Zone.Value, Host.Node.Value)};
}

/** @return the number of hosts in the zone that rank above Own.
 * @param IncludeStoreLost also counts hosts that can't read the store now. */
static auto countHigherRanked(const host_table &Hosts, const host_record &Own,
                              bool IncludeStoreLost) -> std::size_t {
  auto Count = std::size_t{0};
  for (const auto &[Node, Host] : Hosts.records()) {
    if (Node != Own.Node && Host.Zone == Own.Zone && !Host.Leaving &&
        (IncludeStoreLost || !Host.StoreLost) &&
        readerRank(Host) > readerRank(Own)) {
      ++Count;
    }
  }
  return Count;
}

auto isReader(const host_table &Hosts, const host_record &Own) -> bool {
  return countHigherRanked(Hosts, Own, false) < ReadersPerZone;
}

auto isSpareReader(const host_table &Hosts, const host_record &Own) -> bool {
  return countHigherRanked(Hosts, Own, true) >= ReadersPerZone * 2;
}

} // namespace sycamorelb::mesh
