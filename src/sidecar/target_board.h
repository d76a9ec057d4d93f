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
  std::map<node_id, dispatch::target_view> Views;   ///< By host.
  std::map<node_id, mesh::target_id> ViewTargets;   ///< Target of each view.
  std::unordered_map<route_id, route_stats> Routes; ///< By route.
  /** Retry budgets by service and cause. */
  std::map<std::pair<service_id, retry_cause>, limits::attempt_budget>
      RetryBudgets;
  std::map<service_id, std::uint32_t> TrialCredit; ///< Percent of a call.
};

/** Restricts the targets that may get a call. */
struct target_filter {
  service_id Service;                       ///< Service that runs the call.
  bool Trial = false;                       ///< Only the version on trial.
  const std::set<node_id> *Tried = nullptr; ///< Hosts to leave out.
};

/** Candidates for a call with their hosts. */
struct target_choice {
  std::vector<dispatch::candidate> Candidates;  ///< Index refers to Hosts.
  std::vector<const mesh::host_record *> Hosts; ///< Valid until a merge.
};

/** @return the targets that may get a call; resets the view of a host whose
 * target has been replaced. */
auto chooseTargets(const node_state &State, balancer_state &Balancer,
                   const target_filter &Filter) -> target_choice;

/** @return whether the next call of the service goes to the version on trial;
 * accrues and spends trial credit. */
auto takeTrialTurn(const node_state &State, balancer_state &Balancer,
                   const service_id &Service) -> bool;

/** @return the mean run time of a route, or an estimate from its latency
 * objective. */
auto expectedRun(const balancer_state &Balancer, const mesh::route_rule &Route)
    -> micros;

/** Counts a call that was sent to a host. */
void noteSent(balancer_state &Balancer, const node_id &Node, std::size_t Bytes);
/** Discounts a call that is no longer in progress at a host. */
void noteReleased(balancer_state &Balancer, const node_id &Node,
                  std::size_t Bytes);
/** Updates the view of a host and the route statistics from a reply. */
void noteReply(balancer_state &Balancer, const node_id &Node,
               const route_id &Route, const inner::reply_message &Reply,
               steady_time Now);
/** Avoids a host for a while after a connection to it failed or timed out. */
void noteUnreachable(balancer_state &Balancer, const node_id &Node,
                     steady_time Now);

/** Adds the share of one call to the retry budgets of a service. */
void earnRetryTokens(const node_state &State, balancer_state &Balancer,
                     const service_id &Service);
/** Takes a token from the retry budget of a service. The budgets of all nodes
 * together stay within the retry limit of the deployment.
 * @return whether the retry is allowed. */
auto takeRetryToken(const node_state &State, balancer_state &Balancer,
                    const service_id &Service, retry_cause Cause) -> bool;

} // namespace sycamorelb::sidecar
