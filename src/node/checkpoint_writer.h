/** @file checkpoint_writer.h Writes checkpoints of the configuration. */
#pragma once

#include "node/node_context.h"

#include <mutex>

namespace sycamorelb::node {

/** Tracks the newest checkpoint in the log and writes one when it is due. */
class checkpoint_writer {
public:
  explicit checkpoint_writer(node_context &Context);

  /** Notes the records of an advance that ended at Position. */
  void observe(const config::update_result &Delivery, log_offset Position);

  /** Writes a checkpoint when this node is to write it now. */
  void writeIfDue(const std::vector<config::peer> &Live);

private:
  void write();

  node_context &Context;
  std::mutex Mutex; // Guards the members below; leaf lock.
  log_offset LastCheckpoint;
  steady_time LastSeen;
  std::uint32_t Written = 0;
};

} // namespace sycamorelb::node
