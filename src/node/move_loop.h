/** @file move_loop.h Thread that reports evidence and drives traffic moves. */
#pragma once

#include "node/admission_control.h"
#include "node/gossip_loop.h"
#include "node/publisher.h"

#include <memory>

namespace sycamorelb::node {

/** Gathers the evidence of this node's upstreams; drives the moves for which
 * this node has the highest rank. */
class move_loop {
public:
  /** All must outlive the loop. */
  move_loop(node_context &Context, brake_board &Brakes, gossip_loop &Gossip,
            config_loop &Config, publisher &Publisher);
  ~move_loop();
  move_loop(const move_loop &) = delete;
  auto operator=(const move_loop &) -> move_loop & = delete;

  /** Starts the thread. */
  void start();
  /** Ends the thread. */
  void stop();

  /** Records a finished call as evidence, if its service moves. */
  void record(const finished_call &Call);
  /** Takes a report of a peer. */
  void takeReport(const std::string &Bytes);
  /** Takes a brake that another node raised. */
  void takeBrake(const membership::brake_notice &Brake);

  /** @return evidence and decisions, for the state dump. */
  auto dump() const -> nlohmann::json;

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::node
