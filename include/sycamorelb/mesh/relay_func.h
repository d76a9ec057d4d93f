/** @file relay_func.h Choice of nodes that relay updates to their zone. */
#pragma once

#include "sycamorelb/core/random_func.h"
#include "sycamorelb/mesh/host_table.h"

#include <cstddef>
#include <vector>

namespace sycamorelb::mesh {

/** Keeps a random sample of Count nodes. */
void sampleNodes(std::vector<node_id> &Nodes, std::size_t Count,
                 random_source &Random);

/** @return up to PerZone random hosts of each zone except that of Own, without
 * hosts that are leaving. */
auto chooseRelays(const host_table &Hosts, const host_record &Own,
                  std::size_t PerZone, random_source &Random)
    -> std::vector<node_id>;

} // namespace sycamorelb::mesh
