/** @file usage_control.h Counts calls by customer and reports them to the
 * platform. */
#pragma once

#include "sidecar/gossip.h"
#include "sidecar/node_state.h"
#include "sidecar/store_feed.h"
#include "sycamorelb/usage/holder.h"

#include <memory>

namespace sycamorelb::sidecar {

/**
 * Executes the decisions of the package usage: every node counts the calls that
 * start at its target and sends the counts to the holder; three candidates
 * chosen by rendezvous hashing watch that one of them holds; the holder records
 * each report in the store and sends it to the platform.
 */
class usage_control {
public:
  usage_control(node_state &State, gossip &Gossip, store_feed &Store);
  ~usage_control();
  usage_control(const usage_control &) = delete;
  auto operator=(const usage_control &) -> usage_control & = delete;

  /** Starts the periodic steps, if the settings ask for usage reports. */
  void start();
  /** Counts a call that starts at the target. */
  void countStart(const customer_id &Customer);
  /** Removes a call that the target didn't run.
   * @param StartedAt when it was counted. */
  void removeStart(const customer_id &Customer, steady_time StartedAt);
  /** Takes the time of day, counts and holder of a node's message. */
  void handleMessage(const inner::gossip_message &Message);
  /** Adds the time of day and the known holder to a message. */
  void addToMessage(inner::gossip_message &Message) const;
  /** @return the state of the protocol, for metrics and the state dump. */
  auto holder() const -> const usage::holder_state &;

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::sidecar
