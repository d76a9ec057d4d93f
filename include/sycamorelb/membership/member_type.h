/** @file member_type.h Members of the mesh and their local upstreams. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"

#include <map>
#include <string>
#include <vector>

namespace sycamorelb::membership {

/** Liveness of a member; a later state wins within one incarnation. */
enum class member_state : std::uint8_t { Alive, Suspect, Leaving, Dead };

/** Warm-up and drain state of an upstream as known to its node. */
enum class upstream_state : std::uint8_t { Cold, Warm, Draining };

/** An upstream that announced itself to its node. */
struct upstream_info {
  service_id Service;                          ///< Service it provides.
  version_id Version;                          ///< Version it runs.
  std::string Address;                         ///< Its HTTP address, "ip:port".
  std::uint32_t Slots = 0;                     ///< Calls it runs concurrently.
  std::uint32_t Connections = 0;               ///< Connections it accepts.
  upstream_state State = upstream_state::Cold; ///< Warm-up or drain state.
  std::uint32_t Limit = 0;    ///< Current concurrency limit of its node.
  std::uint32_t InFlight = 0; ///< Calls admitted at the time of the report.
  auto operator==(const upstream_info &) const -> bool = default;
};

/** Addresses of a node, each "ip:port". */
struct node_addresses {
  std::string Inner;  ///< UDP gossip and TCP RPC between nodes.
  std::string Peer;   ///< HTTP for calls forwarded by other nodes.
  std::string Caller; ///< HTTP for calls from callers.
  std::string Admin;  ///< RPC for operators.
  auto operator==(const node_addresses &) const -> bool = default;
};

/** Membership record of one node, distributed to all nodes. */
struct member {
  node_id Id;               ///< Name from the settings.
  incarnation Incarnation;  ///< Incarnation number of the process.
  node_addresses Addresses; ///< Where it listens.
  zone_id Zone;             ///< Its availability zone.
  region_id Region;         ///< Its region.
  member_state State = member_state::Alive; ///< Liveness.
  std::vector<upstream_info> Upstreams;     ///< Its local upstreams.
  std::uint32_t Revision = 0; ///< Incremented by the node with each change
                              ///< of its data within one incarnation.
  log_offset ConfigPosition;  ///< Log position of its configuration.
  auto operator==(const member &) const -> bool = default;
};

} // namespace sycamorelb::membership
