/** @file relay_func.h Nodes that pass news on to their zone. */
#pragma once

#include "sycamorelb/core/random_func.h"
#include "sycamorelb/mesh/host_table.h"

#include <cstddef>
#include <vector>

namespace sycamorelb::mesh {

/** Moves Count random nodes to the front and drops the others. */
void keepRandom(std::vector<node_id> &Nodes, std::size_t Count,
                random_source &Random);

/** @return up to PerZone random hosts of each zone other than that of Own,
 * without those that are leaving. */
auto chooseRelays(const host_table &Hosts, const host_record &Own,
                  std::size_t PerZone, random_source &Random)
    -> std::vector<node_id>;

} // namespace sycamorelb::mesh
