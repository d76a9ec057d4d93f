/** @file move_loop.h Thread that reports evidence and drives traffic moves. */
#pragma once

#include "node/admission_control.h"
#include "node/gossip_loop.h"
#include "node/publisher.h"

#include <memory>

namespace sycamorelb::node {

/** Collects evidence from the upstreams of this node and drives the moves for
 * which this node ranks highest. */
class move_loop {
public:
  /** All arguments must outlive the loop. */
  move_loop(node_context &Context, brake_registry &Brakes, gossip_loop &Gossip,
            config_loop &Config, publisher &Publisher);
  ~move_loop();
  move_loop(const move_loop &) = delete;
  auto operator=(const move_loop &) -> move_loop & = delete;

  /** Starts the thread. */
  void start();
  /** Stops and joins the thread. */
  void stop();

  /** Records a finished call as evidence if its service has a running move. */
  void recordCall(const finished_call &Call);
  /** Merges an evidence report of a peer. */
  void onPeerReport(const std::string &Bytes);
  /** Applies a brake that another node raised. */
  void onPeerBrake(const membership::brake_notice &Brake);

  /** @return evidence and decisions, for the state dump. */
  auto dump() const -> nlohmann::json;

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::node
