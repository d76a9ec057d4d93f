/** @file node.h A node: all threads and listeners of one process. */
#pragma once

#include "sycamorelb/core/result_type.h"
#include "sycamorelb/settings/settings_type.h"

#include <memory>

namespace sycamorelb::node {

/** A running node. */
class node {
public:
  /**
   * Starts all threads and listeners.
   * @return the node; Unreachable when an address cannot be bound,
   *   InvalidArgument for unusable keys.
   */
  static auto start(const settings::node_settings &Settings)
      -> result<std::unique_ptr<node>>;
  /** Stops immediately and cancels the calls in progress. */
  ~node();
  node(const node &) = delete;
  auto operator=(const node &) -> node & = delete;

  /** @return whether the node was asked to drain: by an operator, or because a
   * newer process runs with the same node id. */
  auto drainRequested() const -> bool;

  /**
   * Shuts down gracefully: announces to peers that it leaves, refuses new
   * calls as not run, and finishes the calls in progress.
   * @return whether all calls finished within the drain timeout.
   */
  auto drain() -> bool;

private:
  struct implementation;
  explicit node(std::unique_ptr<implementation> Impl);
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::node
