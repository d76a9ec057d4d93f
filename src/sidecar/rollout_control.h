/** @file rollout_control.h Carries out orders to move to another version. */
#pragma once

#include "sidecar/admission.h"
#include "sidecar/gossip.h"
#include "sidecar/node_state.h"
#include "sidecar/store_feed.h"

#include <memory>

namespace sycamorelb::sidecar {

/**
 * Collects evidence on new versions and decides on them. Three nodes, chosen
 * by hashing, decide for each service, one after the other with a delay, so
 * that one of them is enough. The store takes only the first final decision.
 */
class rollout_control {
public:
  rollout_control(node_state &State, admission &Admission, gossip &Gossip,
                  store_feed &Store);
  ~rollout_control();
  rollout_control(const rollout_control &) = delete;
  auto operator=(const rollout_control &) -> rollout_control & = delete;

  /** Orders may have changed. */
  void noteOrders();
  /** Another node told the progress of an order. */
  void mergeProgress(const rollout::rollout_state &News);
  /** Tallies of another node arrived. */
  void mergeEvidence(const inner::rollout_evidence_report &Report);
  /** The target beside this node failed too often for a new version. */
  void brake();

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::sidecar
