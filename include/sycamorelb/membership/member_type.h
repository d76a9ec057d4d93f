/** @file member_type.h Members of the mesh and the upstreams beside them. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"

#include <map>
#include <string>
#include <vector>

namespace sycamorelb::membership {

/** Liveness of a member; a later state wins within one incarnation. */
enum class member_state : std::uint8_t { Alive, Suspect, Leaving, Dead };

/** Load state of an upstream as known to its node. */
enum class upstream_state : std::uint8_t { Cold, Warm, Draining };

/** An upstream announced to a node. */
struct upstream_info {
  service_id Service;            ///< Service it answers for.
  version_id Version;            ///< Version it runs.
  std::string Address;           ///< Its HTTP address, "ip:port".
  std::uint32_t Slots = 0;       ///< Calls it can work on at once.
  std::uint32_t Connections = 0; ///< Connections it accepts.
  upstream_state State = upstream_state::Cold; ///< Load state.
  std::uint32_t Limit = 0;    ///< Current concurrency limit of its node.
  std::uint32_t InFlight = 0; ///< Calls admitted at the time of the report.
  auto operator==(const upstream_info &) const -> bool = default;
};

/** Addresses of a node, each "ip:port". */
struct node_addresses {
  std::string Inner;  ///< UDP gossip and TCP RPC between nodes.
  std::string Peer;   ///< HTTP calls forwarded by other nodes.
  std::string Caller; ///< HTTP calls from callers.
  std::string Admin;  ///< Operators' RPC.
  auto operator==(const node_addresses &) const -> bool = default;
};

/** What the fleet knows about one node. */
struct member {
  node_id Id;                               ///< Name from the settings.
  incarnation Incarnation;                  ///< Generation of the process.
  node_addresses Addresses;                 ///< Where it listens.
  zone_id Zone;                             ///< Its availability zone.
  region_id Region;                         ///< Its region.
  member_state State = member_state::Alive; ///< Liveness.
  std::vector<upstream_info> Upstreams;     ///< Upstreams beside it.
  std::uint32_t Revision = 0; ///< Grows with each change of its own data
                              ///< within one incarnation.
  log_offset ConfigPosition;  ///< Log position of its snapshot.
  auto operator==(const member &) const -> bool = default;
};

} // namespace sycamorelb::membership
