/** @file heartbeat_type.h What a target says of itself. */
#pragma once

#include "sycamorelb/mesh/host_table.h"

#include <cstdint>

namespace sycamorelb::sidecar {

/** Heartbeat of the target beside a node. */
struct target_heartbeat {
  mesh::target_record Target; ///< Identity and state.
  std::uint64_t Sequence = 0; ///< Grows with each call of one start.
  micros ColdFor{0};          ///< How long it stays cold.
};

} // namespace sycamorelb::sidecar
