/** @file peer_links.h Connections to other nodes. */
#pragma once

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
  /** Least difference between the clocks of the two nodes that was seen; what
   * a message shows beyond it is the time that it waited on the way. */
  std::optional<micros> LeastOffset;
};

/** @return how long a message waited on the way, from the clocks of both ends;
 * remembers the least difference. */
auto transitDelay(peer_session &Session, steady_time SentAt, steady_time Now)
    -> micros;

/** Sends a message; dropped if the connection has ended. */
void sendOn(const peer_session &Session, const inner::mesh_message &Message,
            steady_time Now);

/** Receives what arrives on connections to and from other nodes. */
struct peer_events {
  /** A message on a connection that this node opened. */
  std::function<void(const node_id &, inner::mesh_message)> OnLinkMessage;
  /** A connection that this node opened has ended.
   * @param Established it had been established. */
  std::function<void(const node_id &, bool Established)> OnLinkLost;
  /** A message on a connection that another node opened. */
  std::function<void(const std::shared_ptr<peer_session> &,
                     inner::mesh_message)>
      OnSessionMessage;
  /** A connection that another node opened has ended. */
  std::function<void(const std::shared_ptr<peer_session> &)> OnSessionLost;
};

/** All connections of this node with others. */
class peer_links {
public:
  peer_links(node_state &State, peer_events Events);
  ~peer_links();
  peer_links(const peer_links &) = delete;
  auto operator=(const peer_links &) -> peer_links & = delete;

  /** Listens for other nodes. @return an Unreachable error on failure. */
  auto listen() -> result<done>;
  /** Sends a message, connecting first if necessary.
   * @return whether the host is known and may be connected to now. */
  auto send(const node_id &Node, const inner::mesh_message &Message) -> bool;
  /** Notes that an answer from the host is awaited (Change 1) or not any more
   * (-1); a silent connection is then found and ended. */
  void noteAwaited(const node_id &Node, int Change);
  /** Ends all connections. */
  void close();

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::sidecar
