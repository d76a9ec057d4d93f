/** @file admin_type.h Requests and answers of the operators' RPC. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"

#include <string>
#include <vector>

namespace sycamorelb::admin {

/** What is known about the fate of a mutation. */
enum class outcome_kind : std::uint8_t {
  Accepted,    ///< In force on the answering node.
  Rejected,    ///< Nothing changed; the messages say why.
  NotAccepted, ///< The log did not take it; nothing changed.
  Unknown,     ///< Ask again with the same request id.
};

/** Fate of a mutation and how far it has spread. */
struct outcome {
  outcome_kind Kind = outcome_kind::Unknown; ///< Fate.
  log_offset Version;                        ///< Deciding record, if known.
  std::vector<std::string> Messages;         ///< Reasons, one per fault.
  std::uint32_t NodesInForce = 0;            ///< Nodes that hold the version.
  std::uint32_t NodesTotal = 0;              ///< Live nodes.
  std::vector<std::string> Lagging;          ///< Nodes that do not hold it.
};

/** Upstream in a status. */
struct upstream_status {
  std::string Service, Version, Address, State; ///< As announced.
  std::uint32_t Limit = 0;                      ///< Concurrency limit.
  std::uint32_t InFlight = 0;                   ///< Calls admitted.
  std::uint32_t Slots = 0;                      ///< Slots announced.
};

/** Node in a status. */
struct node_status {
  std::string Id, Zone, Region, State;    ///< As known by membership.
  log_offset ConfigPosition;              ///< Position last heard of.
  std::string AdminAddress;               ///< Where operators reach it.
  std::vector<upstream_status> Upstreams; ///< Upstreams beside it.
};

/** Traffic move in a status. */
struct move_status {
  std::string Id, Service, From, To, Phase; ///< As recorded.
  share_ppm Share;                          ///< Share of the new version.
  wall_ms By;                               ///< Time of the move.
  std::string Reason;                       ///< Why it was taken back.
  std::uint32_t Step = 0;                   ///< Recorded steps.
};

/** Zone in a status. */
struct zone_status {
  std::string Id, Region; ///< As declared.
  bool InService = true;  ///< Whether it receives new work.
};

/** State of the mesh as one node knows it. */
struct status {
  std::string Node;               ///< Answering node.
  log_offset ConfigVersion;       ///< Version in force there.
  log_offset ConfigPosition;      ///< Position replayed there.
  std::vector<node_status> Nodes; ///< Live members.
  std::vector<move_status> Moves; ///< Running and ended moves.
  std::vector<zone_status> Zones; ///< Declared zones.
};

/** Order to move the traffic of a service. */
struct move_request {
  service_id Service;              ///< Service.
  version_id From;                 ///< Old version; empty for the active one.
  version_id To;                   ///< New version.
  wall_ms By;                      ///< Time by which the move is decided.
  share_ppm MaxEarlyShare{50'000}; ///< Largest share before evidence exists.
};

/** Accepted declaration. */
struct declaration_text {
  log_offset Version; ///< Version of the configuration.
  std::string Text;   ///< Declaration as JSON.
};

/** @return the name of an outcome as used in output. */
auto outcomeName(outcome_kind Kind) -> const char *;

} // namespace sycamorelb::admin
