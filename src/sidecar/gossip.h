/** @file gossip.h Spreads what nodes know among them. */
#pragma once

#include "sidecar/node_state.h"
#include "sidecar/peer_links.h"

#include <functional>
#include <memory>
#include <vector>

namespace sycamorelb::sidecar {

/** What gossip tells the rest of the node. */
struct gossip_events {
  /** Records of operators changed; the keys are given. */
  std::function<void(const std::vector<std::string> &)> OnOperatorKeys;
  /** Another node remembers this host from before this process. */
  std::function<void(const mesh::host_record &)> OnEarlierSelf;
  /** Progress of an order changed. */
  std::function<void(const rollout::rollout_state &)> OnRollout;
  /** Tallies of another node arrived. */
  std::function<void(const inner::rollout_evidence_report &)> OnEvidence;
};

/** Exchange of state with the other nodes. */
class gossip {
public:
  gossip(node_state &State, peer_links &Links, gossip_events Events);
  ~gossip();
  gossip(const gossip &) = delete;
  auto operator=(const gossip &) -> gossip & = delete;

  /** Begins the exchange with a random node at fixed intervals. */
  void start();
  /** Tells the own zone the record of this host and the progress of the
   * orders, and some nodes of each other zone, which tell their zone. */
  void tellNews();
  /** Tells the nodes that rely on this one what operators have changed.
   * @param From end of the operators' topic before the change. */
  void tellOperatorChanges(log_offset From);
  /** Greets the hosts of the own zone and asks some for what they know, those
   * with the means for it first; greets some of
   * each other zone a little later. */
  void greetAll();
  /** Answers the nodes that asked for records before there were any. */
  void answerWaiting();
  /** @return whether another host of the zone has the means to read the store
   * for this one, and this one has not. */
  auto canRelyOnZone() const -> bool;
  /** @return whether this node has to read the store itself: it is one of the
   * readers of its zone, or has not heard from them for a while. */
  auto mustReadStore() const -> bool;
  /** Sends tallies to another node. */
  void tellEvidence(const node_id &Node,
                    const inner::rollout_evidence_report &Report);
  /** Handles gossip. Answer sends on the connection that it came by. */
  void handle(const inner::gossip_message &Message,
              const std::function<void(const inner::mesh_message &)> &Answer);
  /** Takes over a record of a host from any source. */
  void mergeHost(const mesh::host_record &Record);

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

/** Takes over a change of the own record in the table of hosts. */
void publishOwn(node_state &State);

} // namespace sycamorelb::sidecar
