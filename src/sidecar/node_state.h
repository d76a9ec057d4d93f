/** @file node_state.h State that the parts of a node share. One thread uses
 * it. */
#pragma once

#include "platform/config_document.h"
#include "sidecar/decision_log.h"
#include "sidecar/node_counters.h"
#include "sycamorelb/core/random_func.h"
#include "sycamorelb/event/loop.h"
#include "sycamorelb/mesh/host_table.h"
#include "sycamorelb/mesh/operator_table.h"
#include "sycamorelb/mesh/route_table.h"
#include "sycamorelb/rollout/rollout_type.h"
#include "sycamorelb/sidecar/settings_type.h"

#include <map>
#include <memory>
#include <set>

namespace sycamorelb::sidecar {

/** What a node knows and believes. */
struct node_state {
  node_state(event::loop &Loop, node_settings Settings, std::uint64_t Seed);

  event::loop &Loop;      ///< Loop of the only thread.
  node_settings Settings; ///< Settings in force.
  random_source Random;   ///< For all random choices.
  decision_log Log;       ///< Log of decisions.
  node_counters Counters; ///< Counters for the metrics.

  mesh::host_record Own;         ///< Record of this node, also in Hosts.
  mesh::host_table Hosts;        ///< All hosts.
  mesh::operator_table Operator; ///< What operators wrote.
  std::shared_ptr<const mesh::route_table> Routes; ///< Null before the first.
  platform::config_cache ConfigCache; ///< Parsed parts of the last document.
  steady_time ConfigAt{};             ///< When Routes were applied.
  std::set<zone_id> Evacuated;        ///< Zones whose targets get nothing.
  std::map<service_id, rollout::rollout_state> Rollouts; ///< Newest orders.
  /** Progress of orders that was told before the order itself was known. */
  std::map<service_id, rollout::rollout_state> ToldProgress;
  steady_time StartedAt{};  ///< Start of this process.
  bool Stopping = false;    ///< SIGTERM came.
  double LinkBusy = 0;      ///< Share of the link in use lately.
  double BulkShare = 1;     ///< Share of large requests that it bears.
  bool StoreListed = false; ///< The store or a peer told what it holds.
};

/** @return the newest order of a service, or null. */
auto findRollout(const node_state &State, const service_id &Service)
    -> const rollout::rollout_state *;

/** @return the oldest version among the targets of a service. */
auto baseVersion(const node_state &State, const service_id &Service)
    -> version_id;

/** @return how a target may be used under the orders known. */
auto useOfTarget(const node_state &State, const mesh::target_record &Target)
    -> rollout::version_use;

/** Applies the operators' records of the given keys: configuration, orders,
 * evacuations. Faulty ones are logged and leave everything as it was.
 * @return whether anything changed. */
auto applyOperatorKeys(node_state &State, const std::vector<std::string> &Keys)
    -> bool;

} // namespace sycamorelb::sidecar
