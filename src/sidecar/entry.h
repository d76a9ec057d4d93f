/** @file entry.h Accepts calls from the callers on this host. */
#pragma once

#include "sidecar/admission.h"
#include "sidecar/node_state.h"
#include "sidecar/peer_links.h"

#include <memory>

namespace sycamorelb::sidecar {

/**
 * Finds the route and the target of each call, forwards the call to the
 * target's node and returns the response to the caller. Responds at once with
 * an error if no target is expected to respond in time.
 */
class entry {
public:
  entry(node_state &State, admission &Admission, peer_links &Links);
  ~entry();
  entry(const entry &) = delete;
  auto operator=(const entry &) -> entry & = delete;

  /** Starts to listen for callers. @return Unreachable on failure. */
  auto listen() -> result<done>;
  /** Handles the reply of another node to a forwarded call. */
  void handleReply(const node_id &Node, inner::reply_message &Reply);
  /** Handles the loss of the connection to another node, or a failed attempt to
   * connect.
   * @param Established whether the connection had been established.
   * @param Process process that it led to, if known. */
  void handleLinkLost(const node_id &Node, bool Established,
                      process_id Process);
  /** Closes idle connections of callers, as part of a shutdown. */
  void closeIdleConnections();
  /** Ends all calls in progress, as the last step of a shutdown. */
  void endCalls();
  /** @return the number of calls in progress. */
  auto openCalls() const -> std::size_t;
  /** @return the number of connections of callers. */
  auto callerConnections() const -> std::size_t;
  /** @return whether a part of an answer to a caller waits to be written. */
  auto hasUnsentOutput() const -> bool;
  /** @return counts of the pipelined requests of callers. */
  auto pipelining() const -> const http::pipeline_budget &;

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::sidecar
