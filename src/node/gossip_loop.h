/** @file gossip_loop.h Threads that run the membership protocol. */
#pragma once

#include "node/node_context.h"

#include <functional>
#include <memory>

namespace sycamorelb::node {

/** Callbacks for received gossip. */
struct gossip_handlers {
  /** A peer announced its position in the configuration log. */
  std::function<void(const node_id &From, const std::string &Address,
                     const config::chain_point &Point)>
      OnPeerPoint;
  /** A peer sent a notice of new configuration records. */
  std::function<void(const node_id &From, const std::string &Address,
                     const inner::config_notice &Notice)>
      OnNotice;
  /** A brake of another node arrived. */
  std::function<void(const membership::brake_notice &Brake)> OnBrake;
  /** Move evidence arrived. */
  std::function<void(const node_id &From, const std::string &Bytes)> OnEvidence;
};

/** Owns the thread that receives datagrams and the one that runs full
 * exchanges. */
class gossip_loop {
public:
  /** Context must outlive the loop. */
  gossip_loop(node_context &Context, gossip_handlers Handlers);
  ~gossip_loop();
  gossip_loop(const gossip_loop &) = delete;
  auto operator=(const gossip_loop &) -> gossip_loop & = delete;

  /** Starts both threads; Context.Udp must be open. */
  void start();
  /** Stops and joins both threads. */
  void stop();

  /** Publishes the upstreams beside this node. */
  void setOwnUpstreams(std::vector<membership::upstream_info> Upstreams);
  /** Publishes the log position of the current snapshot. */
  void setOwnPoint(const config::chain_point &Point);
  /** Raises a brake and floods it to all members. */
  void raiseBrake(const membership::brake_notice &Brake);
  /** Announces that the node is leaving. */
  void beginLeaving();
  /** Announces that the node has left. */
  void finishLeaving();
  /** Handles a full exchange that a peer started. */
  auto answerExchange(const membership::member_exchange &Request)
      -> membership::member_exchange;

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::node
