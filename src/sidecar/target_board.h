/** @file target_board.h What an entry node believes of all targets. */
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

/** Why a call is to reach a second target. */
enum class repeat_cause : std::uint8_t {
  Failed,  ///< The first one failed it; what it called is called again.
  Refused, ///< The first one refused it and called nothing.
};

/** Run times and deadlines of a route. */
struct route_stats {
  micros MeanRun{0}; ///< Mean run time over all targets; 0 if unknown.
};

/** Beliefs of an entry node, fed by the outcomes of its calls. */
struct target_board {
  std::map<node_id, dispatch::target_view> Views; ///< By host.
  std::map<node_id, mesh::target_id> Seen;        ///< Target that a view is of.
  std::unordered_map<route_id, route_stats> Routes; ///< By route.
  /** By service and cause. */
  std::map<std::pair<service_id, repeat_cause>, limits::attempt_budget> Repeats;
  std::map<service_id, std::uint32_t> TrialCredit; ///< For the trial share.
};

/** Which targets of a service may get a call. */
struct target_filter {
  service_id Service;                       ///< Service that runs it.
  bool Trial = false;                       ///< Those of the version on trial.
  const std::set<node_id> *Tried = nullptr; ///< Hosts that are left out.
};

/** Candidates with the hosts that they stand for. */
struct target_choice {
  std::vector<dispatch::candidate> Candidates;  ///< Index counts Hosts.
  std::vector<const mesh::host_record *> Hosts; ///< Valid until a merge.
};

/** @return the targets that may get a call. */
auto chooseTargets(const node_state &State, target_board &Board,
                   const target_filter &Filter) -> target_choice;

/** @return whether the next call of the service goes to a version on trial. */
auto takeTrialTurn(const node_state &State, target_board &Board,
                   const service_id &Service) -> bool;

/** @return the mean run time of a route, or a guess from its objective. */
auto expectedRun(const target_board &Board, const mesh::route_rule &Route)
    -> micros;

/** Notes that a call was sent to a host. */
void noteSent(target_board &Board, const node_id &Node, std::size_t Bytes);
/** Notes that a call has left a host, with or without outcome. */
void noteLeft(target_board &Board, const node_id &Node, std::size_t Bytes);
/** Notes the outcome of a call. */
void noteReply(target_board &Board, const node_id &Node, const route_id &Route,
               const inner::reply_message &Reply, steady_time Now);
/** Notes that a connection to a host failed or went silent. */
void noteSilence(target_board &Board, const node_id &Node, steady_time Now);

/** Notes a first attempt, which earns a part of a repeat. */
void earnRepeat(const node_state &State, target_board &Board,
                const service_id &Service);
/** @return whether a call may reach a second target; takes the right to it.
 * The rights of all nodes together stay within the deployment's bound. */
auto takeRepeat(const node_state &State, target_board &Board,
                const service_id &Service, repeat_cause Cause) -> bool;

} // namespace sycamorelb::sidecar
