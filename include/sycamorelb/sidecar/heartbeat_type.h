/** @file heartbeat_type.h Heartbeat of a target. */
#pragma once

#include "sycamorelb/mesh/host_table.h"

#include <cstdint>

namespace sycamorelb::sidecar {

/** Heartbeat that the local target sends to its node. */
struct target_heartbeat {
  mesh::target_record Target; ///< Identity and state.
  std::uint64_t Sequence = 0; ///< Grows with each heartbeat since its start.
  micros ColdFor{0};          ///< Remaining time as a cold target.
  steady_time ArrivedAt{};    ///< When the node received it.
};

} // namespace sycamorelb::sidecar
