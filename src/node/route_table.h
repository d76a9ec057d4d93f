/** @file route_table.h Routes and upstream candidates for calls. */
#pragma once

#include "node/mesh_view.h"
#include "sycamorelb/config/snapshot_type.h"
#include "sycamorelb/proxy/call_type.h"
#include "sycamorelb/routing/route_func.h"

#include <optional>

namespace sycamorelb::node {

/** Routes of one snapshot. */
struct route_table {
  config::snapshot_ptr Snapshot; ///< Snapshot it was built from.
  routing::route_index Index;    ///< Routes by prefix.
  std::unordered_map<route_id, std::size_t> ByName; ///< Routes by name.
};

/** @return the route table of a snapshot. */
auto buildRouteTable(config::snapshot_ptr Snapshot)
    -> std::shared_ptr<const route_table>;

/** Whether a zone is in service, and since when. */
struct zone_history {
  bool InService = true; ///< As of the last snapshot.
  steady_time Since{};   ///< When it returned; the epoch if it never left.
};

/** @return whether a zone is in service; undeclared zones count as in service.
 */
auto isZoneInService(const config::snapshot &Snapshot, const zone_id &Zone)
    -> bool;

/** Updates the history with the zones of a snapshot. */
void updateZoneHistory(std::map<zone_id, zone_history> &History,
                       const config::snapshot &Snapshot, steady_time Now);

/** Candidates of one service; both lists have the same order. */
struct service_group {
  std::vector<routing::candidate> Candidates; ///< For load balancing.
  std::vector<mesh_upstream> Upstreams;       ///< Their nodes and addresses.

  /** @return the index of the upstream that a target refers to. */
  auto find(const proxy::call_target &Target) const
      -> std::optional<std::size_t>;
};

/** Candidates of all services. */
struct candidate_table {
  config::snapshot_ptr Snapshot; ///< Snapshot it was built from.
  mesh_view_ptr View;            ///< View it was built from.
  std::unordered_map<service_id, service_group> Services; ///< By service.
};

/** Statistics by upstream; entries have stable addresses. */
using stats_map = std::unordered_map<routing::upstream_id,
                                     std::unique_ptr<routing::upstream_stats>>;

/**
 * Builds the candidates of all services.
 * @param Stats is updated: entries are added for new upstreams and removed for
 * upstreams that are gone, and the load reports of the view are applied.
 */
auto buildCandidateTable(config::snapshot_ptr Snapshot, mesh_view_ptr View,
                         const std::map<zone_id, zone_history> &Zones,
                         stats_map &Stats, steady_time Now)
    -> std::shared_ptr<const candidate_table>;

} // namespace sycamorelb::node
