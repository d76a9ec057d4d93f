/** @file rollout_control.h Executes rollout orders of operators. */
#pragma once

#include "sidecar/admission.h"
#include "sidecar/gossip.h"
#include "sidecar/node_state.h"
#include "sidecar/store_feed.h"

#include <memory>

namespace sycamorelb::sidecar {

/**
 * Collects call statistics of new versions and decides whether to switch,
 * complete or roll back. For each service, three nodes chosen by rendezvous
 * hashing act as deciders; each later rank acts after a further delay, so that
 * any one of them suffices. The store accepts only the first final decision.
 */
class rollout_control {
public:
  rollout_control(node_state &State, admission &Admission, gossip &Gossip,
                  store_feed &Store);
  ~rollout_control();
  rollout_control(const rollout_control &) = delete;
  auto operator=(const rollout_control &) -> rollout_control & = delete;

  /** Starts to control rollouts whose orders are new or changed. */
  void handleOrders();
  /** Writes decisions and statuses again that the store may have lost. */
  void handleRewind();
  /** Merges rollout progress received from another node or the store.
   * @param Match how its order is recognized if it is of another era. */
  void mergeProgress(const rollout::rollout_state &Update,
                     rollout::order_match Match);
  /** Stores call statistics received from another node. */
  void mergeEvidence(const inner::rollout_evidence_report &Report);
  /** Stops the rollout because the new version on the local target fails too
   * often. */
  void brakeRollout();

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::sidecar
