/** @file duty_func.h Choice of the nodes that perform a duty for the mesh, so
 * that others take over when one fails. */
#pragma once

#include "sycamorelb/mesh/host_table.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace sycamorelb::mesh {

/** @return up to Count hosts that are not leaving and can reach the store, by
 * descending rendezvous rank for the duty; few of them change with the members.
 */
auto chooseDutyHosts(const host_table &Hosts, std::string_view Duty,
                     std::size_t Count) -> std::vector<node_id>;

} // namespace sycamorelb::mesh
