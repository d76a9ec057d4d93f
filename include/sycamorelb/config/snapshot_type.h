/** @file snapshot_type.h Immutable configuration with indexes for the data
 * path. */
#pragma once

#include "sycamorelb/config/state_type.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace sycamorelb::config {

/** A valid state with the indexes used for each call. */
struct snapshot {
  config_state State; ///< The state; all references are resolved.
  /** Indexes into State.Declared.Routes, longest path prefix first, and in
   * declared order among prefixes of equal length. */
  std::vector<std::uint32_t> RoutesByPrefix;
  /** The running move of each service that has one. */
  std::unordered_map<service_id, move_state> RunningMoves;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

/** @return the snapshot of a valid state. */
auto makeSnapshot(config_state State) -> snapshot_ptr;

} // namespace sycamorelb::config
