/** @file node_state.h State shared by the components of a node.
 * Single-threaded. */
#pragma once

#include "platform/config_document.h"
#include "platform/log_store.h"
#include "sidecar/decision_log.h"
#include "sidecar/node_counters.h"
#include "sycamorelb/core/random_func.h"
#include "sycamorelb/event/loop.h"
#include "sycamorelb/inner/frame_compression.h"
#include "sycamorelb/mesh/host_table.h"
#include "sycamorelb/mesh/operator_table.h"
#include "sycamorelb/mesh/route_table.h"
#include "sycamorelb/rollout/rollout_type.h"
#include "sycamorelb/sidecar/settings_type.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace sycamorelb::sidecar {

/** Where the operator records of a node come from and how current they are. */
struct record_source {
  std::string LastChange = "none"; ///< "list", "poll", or the node that sent
                                   ///< the last new record.
  /** Latest time at which answers of the store proved that this node had all
   * records. */
  steady_time ConfirmedAt{};
  node_id Reader; ///< Reader of the zone with the latest such time.
  steady_time ReaderConfirmedAt{}; ///< That time.
};

/** Shared state of a node: settings, known hosts, configuration and rollouts.
 */
struct node_state {
  node_state(event::loop &Loop, node_settings Settings, std::uint64_t Seed);

  event::loop &Loop;      ///< Event loop of the node's only thread.
  node_settings Settings; ///< Current settings.
  random_source Random;   ///< Source of all random choices.
  decision_log Log;       ///< Decision log.
  node_counters Counters; ///< Counters exported as metrics.

  inner::frame_compressor Compressor; ///< For messages to other zones.
  mesh::host_record Own;  ///< Record of this host; published to Hosts.
  mesh::host_table Hosts; ///< Known hosts.
  /** Records written by operators. */
  mesh::operator_table Operator{platform::recordRank};
  store_era StoreEra;           ///< Newest era of the store seen; 0 if unknown.
  steady_time StoreEraSeenAt{}; ///< When it was first seen.
  /** Routes of the current configuration; null before the first one. */
  std::shared_ptr<const mesh::route_table> Routes;
  mesh::key_salt KeySalt{}; ///< For the hashes of the customers' keys.
  mesh::key_hold KeyHold;   ///< Set after a pause of the process.
  steady_time CheckDueAt{}; ///< When the next periodic check is due.
  /** Parsed parts of the last configuration document. */
  platform::config_cache ConfigCache;
  steady_time ConfigAppliedAt{};    ///< When Routes were applied.
  record_source RecordSource;       ///< Origin and age of Operator.
  std::set<zone_id> EvacuatedZones; ///< Zones whose targets get no calls.
  /** Newest rollout of each service. */
  std::map<service_id, rollout::rollout_state> Rollouts;
  /** Rollouts that newer ones of their services replaced, oldest first. */
  std::map<service_id, std::vector<rollout::rollout_state>> PastRollouts;
  /** When a target of each version was last seen ready, see version_view.h. */
  std::map<service_id, std::map<version_id, steady_time>> VersionReadyAt;
  /** Rollout progress received from peers before the order itself. */
  std::map<service_id, rollout::rollout_state> EarlyProgress;
  steady_time StartedAt{}; ///< Start of this process.
  bool Stopping = false;   ///< A stop signal arrived.
  /** While stopping: when the process ends at the latest. */
  steady_time StopEndsAt = steady_time::max();
  double LinkUtilization = 0;   ///< Moving average of link utilization, 0 to 1.
  double BulkShare = 1;         ///< Share of large requests this host accepts.
  bool MeshTopicListed = false; ///< The mesh topic was listed once.
};

/** Time after the first sight of a new era of the store in which operators
 * write their records again. Until then records that the store lacks stay in
 * force. */
inline constexpr auto StoreRewriteTime = micros(5'000'000);

/** @return whether a call with this deadline gets its answer before a stop in
 * progress ends the process; true without one. */
auto endsBeforeStop(const node_state &State, steady_time DeadlineAt) -> bool;

/** Delay of a periodic check above which the process counts as having been
 * suspended. */
inline constexpr auto PauseThreshold = micros(1'500'000);

/** @return whether a pause of the process ended, noticed or not, after which
 * the customers' keys are not confirmed yet. */
auto areKeysHeld(const node_state &State) -> bool;

/** Logs a call that matched no route, with the configuration that decided and
 * what this node knows of its age. */
void logMissingRoute(node_state &State, const request_id &Id);

/** Applies the operator records with the given keys: configuration, rollout
 * orders, zone evacuations. Invalid records are logged and change nothing.
 * @return whether anything changed. */
auto applyOperatorRecords(node_state &State,
                          const std::vector<std::string> &Keys) -> bool;

} // namespace sycamorelb::sidecar
