/** @file gossip.h Gossip protocol that replicates host records, operator
 * records and rollout progress between nodes. */
#pragma once

#include "sidecar/node_state.h"
#include "sidecar/peer_links.h"

#include <functional>
#include <memory>
#include <vector>

namespace sycamorelb::sidecar {

/** Callbacks from gossip to the rest of the node. */
struct gossip_events {
  /** Operator records with these keys changed. */
  std::function<void(const std::vector<std::string> &)> OnOperatorRecords;
  /** Another node holds a record of a previous process on this host. */
  std::function<void(const mesh::host_record &)> OnPreviousIncarnation;
  /** Another node sent the progress of a rollout order. */
  std::function<void(const rollout::rollout_state &)> OnRolloutProgress;
  /** Another node sent its call statistics for a rollout. */
  std::function<void(const inner::rollout_evidence_report &)> OnEvidence;
  /** Another node has seen a later era of the store. Called before anything
   * else of its message is handled. */
  std::function<void(store_era)> OnStoreEra;
  /** Another node sent a message that may concern usage reports. */
  std::function<void(const inner::gossip_message &)> OnUsage;
  /** Adds what this node tells about usage reports with each message. */
  std::function<void(inner::gossip_message &)> AddUsage;
};

/** Replicates state with the other nodes. */
class gossip {
public:
  gossip(node_state &State, peer_links &Links, gossip_events Events);
  ~gossip();
  gossip(const gossip &) = delete;
  auto operator=(const gossip &) -> gossip & = delete;

  /** Starts the periodic exchange with a random node. */
  void start();
  /** Tells the own zone how current this node is, if it is a store reader; call
   * after each answer of the store that brought no change. */
  void announceReader();
  /** Sends the record of this host and the progress of all rollouts to every
   * node of its own zone, and to a few relays in each other zone that forward
   * it within their zone. */
  void broadcastState();
  /** Sends operator changes to the nodes of the own zone if this node is a
   * store reader, and notifies some nodes of other zones.
   * @param From end of the operator topic before the change. */
  void broadcastOperatorChanges(log_offset From);
  /** Sends this node's state to its own zone, requests the full state from the
   * readers and some other nodes there, and
   * contacts relays in each other zone after a random delay. */
  void syncWithPeers();
  /** Asks a node that has a configuration for its operator records and hosts,
   * if this node has no configuration and hasn't asked for a while. */
  void requestConfiguration(const node_id &Node);
  /** Answers the requests for operator records that arrived before this node
   * had a configuration. */
  void answerPendingRequests();
  /** @return whether this node is not one of the readers of its zone, as far as
   * it knows. */
  auto canUseZoneReader() const -> bool;
  /** @return the time from which this node must read the store itself: at once
   * if it is one of the readers of its zone, otherwise when none of them is
   * known to have been up to date for too long. */
  auto storeReadTime() const -> steady_time;
  /** Sends call statistics for a rollout to another node. */
  void sendEvidence(const node_id &Node,
                    const inner::rollout_evidence_report &Report);
  /** Sends a message about usage reports to another node, without the progress
   * of rollouts. */
  void sendUsage(const node_id &Node, std::vector<inner::usage_counts> Counts);
  /** Handles a gossip message.
   * @param SendReply sends a reply on the connection that carried the message.
   */
  void handleMessage(
      const inner::gossip_message &Message,
      const std::function<void(const inner::mesh_message &)> &SendReply);
  /** Merges a host record from any source into the host table. */
  void mergeHost(const mesh::host_record &Record);

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

/** Increments the revision of this host's record and stores it in the host
 * table; call after each change of the record. */
void publishOwnRecord(node_state &State);

} // namespace sycamorelb::sidecar
