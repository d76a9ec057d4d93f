/** @file peer_links.h Connections between nodes. */
#pragma once

#include "sidecar/message_intake.h"
#include "sidecar/node_state.h"
#include "sycamorelb/inner/mesh_message_type.h"

#include <functional>
#include <memory>
#include <optional>

namespace sycamorelb::sidecar {

/** A connection that another node opened to this one. */
struct peer_session {
  std::shared_ptr<event::stream> Stream; ///< The connection.
  mesh::host_record Peer;                ///< The node that opened it.
  /** Smallest observed difference between receive time here and send time at
   * the peer. Anything above it counts as transit delay. */
  std::optional<micros> MinClockOffset;
  message_intake Intake;    ///< Of large messages on Stream.
  steady_time AcceptedAt{}; ///< When it was opened.
};

/** Estimates the transit delay of a message from the clocks of both nodes and
 * updates MinClockOffset.
 * @return the delay above the smallest observed offset. */
auto transitDelay(peer_session &Session, steady_time SentAt, steady_time Now)
    -> micros;

/** Sends a message on a session; it is dropped if the connection has closed. */
void sendOnSession(node_state &State, const peer_session &Session,
                   const inner::mesh_message &Message);

/** Callbacks for events on connections to and from other nodes. */
struct peer_events {
  /** A message arrived on a connection that this node opened. */
  std::function<void(const node_id &, inner::mesh_message)> OnLinkMessage;
  /** A connection that this node opened was lost.
   * @param Established whether it had been established before.
   * @param Process process that it led to, if that has told. */
  std::function<void(const node_id &, bool Established, process_id Process)>
      OnLinkLost;
  /** A message arrived on a connection that another node opened. */
  std::function<void(const std::shared_ptr<peer_session> &,
                     inner::mesh_message)>
      OnSessionMessage;
  /** There is no memory for a large reply to a call; the rest of it is dropped.
   */
  std::function<void(const node_id &, inner::call_number)> OnReplyWithoutMemory;
  /** There is no memory for a large call; the rest of it is dropped. */
  std::function<void(const std::shared_ptr<peer_session> &, inner::call_number)>
      OnCallWithoutMemory;
  /** A connection that another node opened was lost. */
  std::function<void(const std::shared_ptr<peer_session> &)> OnSessionLost;
};

/** Connections to and from all other nodes. */
class peer_links {
public:
  peer_links(node_state &State, peer_events Events);
  ~peer_links();
  peer_links(const peer_links &) = delete;
  auto operator=(const peer_links &) -> peer_links & = delete;

  /** Listens for other nodes. @return an Unreachable error on failure. */
  auto listen() -> result<done>;
  /** Sends a message, connecting first if necessary.
   * @return false if the host is unknown or its reconnect delay has not passed.
   */
  auto send(const node_id &Node, const inner::mesh_message &Message) -> bool;
  /** Changes the number of replies awaited from a host by Change (1 or -1).
   * While replies are awaited, a silent connection is detected and closed. */
  void adjustAwaitedReplies(const node_id &Node, int Change);
  /** Stops listening and closes all connections. */
  void close();

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::sidecar
