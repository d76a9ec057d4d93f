/** @file brake_board.h Registry of brakes on traffic moves. */
#pragma once

#include "sycamorelb/config/snapshot_type.h"
#include "sycamorelb/membership/message_type.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <set>

namespace sycamorelb::node {

/** Brakes known to this node. A brake stops new work for the target version of
 * a move and is in force while the move runs. Thread safe; reads take
 * no lock. */
class brake_registry {
public:
  brake_registry();

  /** Adds a brake. @return whether it is new. */
  auto add(const membership::brake_notice &Brake) -> bool;

  /** @return the reason of the brake on a running move, or nothing. */
  auto reason(const move_id &Move) const -> std::optional<std::string>;

  /** @return the versions of Service that are braked in this snapshot. */
  auto brakedVersions(const config::snapshot &Snapshot,
                      const service_id &Service) const -> std::set<version_id>;

  /** Removes the brakes of moves that have ended, and expired brakes of moves
   * unknown to this node. */
  void prune(const config::snapshot &Snapshot, wall_ms Now);

private:
  using brake_map = std::map<move_id, membership::brake_notice>;
  std::mutex WriteMutex; // Leaf lock; serialises writers.
  std::atomic<std::shared_ptr<const brake_map>> Brakes;
};

} // namespace sycamorelb::node
