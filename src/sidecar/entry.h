/** @file entry.h Takes calls from the callers on this host. */
#pragma once

#include "sidecar/admission.h"
#include "sidecar/node_state.h"
#include "sidecar/peer_links.h"

#include <memory>

namespace sycamorelb::sidecar {

/**
 * Finds the route and the target of each call, sends it to the node beside the
 * target and answers the caller: with the target's answer, or at once with a
 * refusal or a failure when no target can be expected to answer in time.
 */
class entry {
public:
  entry(node_state &State, admission &Admission, peer_links &Links);
  ~entry();
  entry(const entry &) = delete;
  auto operator=(const entry &) -> entry & = delete;

  /** Listens for callers. @return an Unreachable error on failure. */
  auto listen() -> result<done>;
  /** Handles the outcome of a call that another node ran. */
  void handleReply(const node_id &Node, const inner::reply_message &Reply);
  /** Handles the end of the connection to another node. */
  void handleLinkLost(const node_id &Node, bool Established);
  /** Ends the connections of callers that are idle, as part of a stop. */
  void closeIdle();
  /** Refuses all further calls, as part of a stop. */
  void refuseNew();
  /** @return calls in progress. */
  auto openCalls() const -> std::size_t;

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::sidecar
