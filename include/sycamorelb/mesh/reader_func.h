/** @file reader_func.h Which nodes read the store for their zone. */
#pragma once

#include "sycamorelb/mesh/host_table.h"

#include <cstddef>

namespace sycamorelb::mesh {

/** Nodes of each zone that read the store. One is enough; the second one
 * covers the time until the loss of the first is noticed. */
inline constexpr std::size_t ReadersPerZone = 2;

/** @return whether the node is one of those that read the store for its zone:
 * the first by hash among the hosts that are not leaving and can read it. */
auto isReader(const host_table &Hosts, const host_record &Own) -> bool;

/** @return whether enough hosts of the zone would read the store before this
 * one if all of them could. While the store is down for everyone, such a host
 * asks it less often. */
auto isSpareReader(const host_table &Hosts, const host_record &Own) -> bool;

} // namespace sycamorelb::mesh
