/** @file reader_func.h Election of the nodes that read the store for their
 * zone. */
#pragma once

#include "sycamorelb/mesh/host_table.h"

#include <cstddef>

namespace sycamorelb::mesh {

/** Number of nodes of each zone that read the store. One suffices; the second
 * covers the time until the loss of the first is detected. */
inline constexpr std::size_t ReadersPerZone = 2;

/** @return whether the node is one of those that read the store for its zone:
 * the highest-ranked hosts that are not leaving and can read the store. Those
 * with enough CPU and bandwidth rank first, and a hash orders the rest. */
auto isReader(const host_table &Hosts, const host_record &Own) -> bool;

/** @return whether enough hosts of the zone rank above this one, whether or not
 * they can read the store now. Such a host polls less often while the store is
 * unreachable for all. */
auto isSpareReader(const host_table &Hosts, const host_record &Own) -> bool;

} // namespace sycamorelb::mesh
