/** @file admin_type.h Requests and responses of the admin RPC. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"

#include <string>
#include <vector>

namespace sycamorelb::admin {

/** Result of a mutation, as far as it is known. */
enum class outcome_kind : std::uint8_t {
  Accepted,    ///< In force on the answering node.
  Rejected,    ///< Nothing changed; the messages say why.
  NotAccepted, ///< The log did not store it; nothing changed.
  Unknown,     ///< Not known; ask again with the same request id.
};

/** Result of a mutation, and which nodes have applied it. */
struct outcome {
  outcome_kind Kind = outcome_kind::Unknown; ///< Result.
  log_offset Version; ///< Offset of the deciding record; 0 if none.
  std::vector<std::string>
      Messages;                     ///< Reasons for a rejection, one per error.
  std::uint32_t NodesInForce = 0;   ///< Live nodes that have applied it.
  std::uint32_t NodesTotal = 0;     ///< Live nodes.
  std::vector<std::string> Lagging; ///< Live nodes that have not applied it.
};

/** Status of an upstream. */
struct upstream_status {
  std::string Service, Version, Address, State; ///< As announced.
  std::uint32_t Limit = 0;                      ///< Concurrency limit.
  std::uint32_t InFlight = 0;                   ///< Calls in progress.
  std::uint32_t Slots = 0; ///< Concurrent calls, as announced.
};

/** Status of a node. */
struct node_status {
  std::string Id, Zone, Region, State;    ///< As known to membership.
  log_offset ConfigPosition;              ///< Last reported position.
  std::string AdminAddress;               ///< Address of its admin port.
  std::vector<upstream_status> Upstreams; ///< Upstreams on its host.
};

/** Status of a traffic move. */
struct move_status {
  std::string Id, Service, From, To, Phase; ///< As recorded.
  share_ppm Share;        ///< Traffic share of the new version.
  wall_ms By;             ///< Deadline of the move.
  std::string Reason;     ///< Why it was rolled back, if it was.
  std::uint32_t Step = 0; ///< Number of steps recorded.
};

/** Status of an availability zone. */
struct zone_status {
  std::string Id, Region; ///< As declared.
  bool InService = true;  ///< Whether it receives new calls.
};

/** Status of the mesh as one node knows it. */
struct status {
  std::string Node;               ///< Node that reports the status.
  log_offset ConfigVersion;       ///< Version in force there.
  log_offset ConfigPosition;      ///< Position replayed there.
  std::vector<node_status> Nodes; ///< Live members.
  std::vector<move_status> Moves; ///< Running and ended moves.
  std::vector<zone_status> Zones; ///< Declared zones.
};

/** Request to move the traffic of a service to another version. */
struct move_request {
  service_id Service;              ///< Service.
  version_id From;                 ///< Old version; empty for the active one.
  version_id To;                   ///< New version.
  wall_ms By;                      ///< Deadline for the decision.
  share_ppm MaxEarlyShare{50'000}; ///< Limit on the share before evidence.
};

/** Declaration in force. */
struct declaration_text {
  log_offset Version; ///< Version of the configuration.
  std::string Text;   ///< Declaration as JSON.
};

/** @return the name of an outcome in the output of the command line. */
auto outcomeName(outcome_kind Kind) -> const char *;

} // namespace sycamorelb::admin
