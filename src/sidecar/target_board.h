/** @file target_board.h Load balancing state of an entry node. */
#pragma once

#include "sidecar/node_state.h"
#include "sycamorelb/dispatch/pick.h"
#include "sycamorelb/inner/mesh_message_type.h"
#include "sycamorelb/limits/budget_func.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace sycamorelb::sidecar {

/** Why a call is to be retried at another target. */
enum class retry_cause : std::uint8_t {
  Failed,  ///< The target failed; a retry also repeats the calls it made.
  Refused, ///< The target refused the call, and made no calls for it.
};

/** Run time statistics of a route. */
struct route_stats {
  micros MeanRun{0}; ///< Mean run time over all targets; 0 if unknown.
};

/** Load balancing state of an entry node, updated from its calls. */
struct balancer_state {
  std::map<node_id, dispatch::target_view> Views; ///< By host.
  std::map<node_id, mesh::target_id> ViewTargets; ///< Target of each view.
  /** What the target of each host says of itself; empty if nothing special. */
  std::map<node_id, mesh::target_notice> Notices;
  std::unordered_map<route_id, route_stats> Routes; ///< By route.
  /** Retry budgets by service and cause. */
  std::map<std::pair<service_id, retry_cause>, limits::attempt_budget>
      RetryBudgets;
  std::map<service_id, std::uint32_t> CanaryCredit; ///< Percent of a call.
};

/** Restricts the targets that may get a call. */
struct target_filter {
  service_id Service;      ///< Service that runs the call.
  bool CanaryOnly = false; ///< Only targets of the canary version.
  const std::set<node_id> *TriedHosts = nullptr; ///< Hosts to leave out.
};

/** Targets that may get a call, with their hosts. */
struct eligible_targets {
  std::vector<dispatch::candidate> Candidates;  ///< Index refers to Hosts.
  std::vector<const mesh::host_record *> Hosts; ///< Valid until a merge.
};

/** @return the targets that may get a call; resets the view of a host whose
 * target has been replaced. */
auto findEligibleTargets(const node_state &State, balancer_state &Balancer,
                         const target_filter &Filter) -> eligible_targets;

/** In the canary stage of a rollout, adds the canary share of one call to the
 * credit of the service, and spends the credit of a whole call once there is
 * enough. @return whether the call goes to the canary version. */
auto takeCanaryTurn(const node_state &State, balancer_state &Balancer,
                    const service_id &Service) -> bool;

/** @return the mean run time of a route, or an estimate from its latency
 * objective. */
auto expectedRunTime(const balancer_state &Balancer,
                     const mesh::route_rule &Route) -> micros;

/** Counts a call that was sent to a host. */
void recordCallSent(balancer_state &Balancer, const node_id &Node,
                    std::size_t Bytes);
/** Removes a call that is no longer in progress at a host from its count. */
void recordCallReleased(balancer_state &Balancer, const node_id &Node,
                        std::size_t Bytes);
/** Updates the view of a host and the route statistics from a reply. */
void recordReply(balancer_state &Balancer, const node_id &Node,
                 const route_id &Route, const inner::reply_message &Reply,
                 steady_time Now);
/** Avoids a host for a while after a connection to it failed or timed out. */
void recordUnreachableHost(balancer_state &Balancer, const node_id &Node,
                           steady_time Now);

/** Credits the retry budgets of a service for one call. */
void earnRetryTokens(const node_state &State, balancer_state &Balancer,
                     const service_id &Service);
/** Takes a token from the retry budget of a service. The budgets of all nodes
 * together stay within the retry limit of the deployment.
 * @return whether the retry is allowed. */
auto takeRetryToken(const node_state &State, balancer_state &Balancer,
                    const service_id &Service, retry_cause Cause) -> bool;

} // namespace sycamorelb::sidecar
