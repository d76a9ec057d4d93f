/** @file checkpoint_writer.h Writer of configuration checkpoints. */
#pragma once

#include "node/node_context.h"

#include <mutex>

namespace sycamorelb::node {

/** Tracks the newest checkpoint in the log and writes the next one when it is
 * due. */
class checkpoint_writer {
public:
  explicit checkpoint_writer(node_context &Context);

  /** Looks for a checkpoint in an update that advanced the log position to
   * Position. */
  void onUpdate(const config::update_result &Update, log_offset Position);

  /** Writes a checkpoint if one is due and it is this node's turn. */
  void writeIfDue(const std::vector<config::peer> &Live);

private:
  void write();

  node_context &Context;
  std::mutex Mutex; // Guards the members below; leaf lock.
  log_offset LastCheckpoint;
  steady_time LastCheckpointAt;
  std::uint32_t WrittenCount = 0;
};

} // namespace sycamorelb::node
