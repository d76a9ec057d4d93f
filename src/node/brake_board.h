/** @file brake_board.h Versions that receive no new work. */
#pragma once

#include "sycamorelb/config/snapshot_type.h"
#include "sycamorelb/membership/message_type.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <set>

namespace sycamorelb::node {

/** Brakes known to this node. A brake counts while its move runs. Thread safe;
 * reads take no lock. */
class brake_board {
public:
  brake_board();

  /** Adds a brake. @return whether it is new. */
  auto add(const membership::brake_notice &Brake) -> bool;

  /** @return the reason of the brake on a running move, or nothing. */
  auto reason(const move_id &Move) const -> std::optional<std::string>;

  /** @return the versions of Service that are braked at this snapshot. */
  auto braked(const config::snapshot &Snapshot, const service_id &Service) const
      -> std::set<version_id>;

  /** Forgets the brakes of moves that have ended, and old brakes of moves that
   * this node does not know. */
  void prune(const config::snapshot &Snapshot, wall_ms Now);

private:
  using brake_map = std::map<move_id, membership::brake_notice>;
  std::mutex WriteMutex; // Leaf lock; serialises writers.
  std::atomic<std::shared_ptr<const brake_map>> Brakes;
};

} // namespace sycamorelb::node
