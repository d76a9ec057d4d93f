/** @file entry_state.h Internal state of entry, for its sources only. */
#pragma once

#include "sidecar/caller_relief.h"
#include "sidecar/entry.h"
#include "sidecar/target_board.h"
#include "sycamorelb/http/server_connection.h"
#include "sycamorelb/mesh/route_table.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace sycamorelb::sidecar {

/** Retry delay sent to callers if no target is known; otherwise the upper bound
 * of the expected wait. */
inline constexpr auto DefaultRetryDelay = micros(300'000);

/** A call in progress from a caller on this host. */
struct open_call {
  std::uint64_t Serial = 0;   // Key in implementation::Calls.
  inner::call_number Attempt; // Number of the attempt at Host.
  std::weak_ptr<http::server_connection> Caller;
  http::exchange_number Exchange; // Number of the request at Caller.
  request_id Id;
  http::request Request;
  const mesh::route_rule *Route = nullptr;
  std::shared_ptr<const mesh::route_table> Routes; // Owns Route.
  service_id Service;
  customer_id Customer;       // Empty if none was named by a key.
  std::uint32_t Priority = 0; // Of the customer, or else of the route.
  steady_time ArrivedAt{};
  steady_time ObjectiveAt{}; // Latest time that meets the latency objective.
  steady_time DeadlineAt{};  // Time at which the caller gets a timeout.
  steady_time SentAt{};      // When it was sent to Host.
  /** Process of Host that it was sent to, 0 if unknown; set once the connection
   * that carried it is lost. */
  std::optional<process_id> SentTo;
  event::timer_id Timer{0};
  std::set<node_id> TriedHosts; // Hosts that are not tried again.
  node_id Host;                 // Host of the attempt in progress, if any.
  node_id LastHost;             // Host of the last attempt that ended.
  std::uint32_t Arrivals = 0;   // Number of attempts that reached a target.
  std::uint32_t Bounces = 0;    // Number of attempts that were not run.
  std::uint32_t Resumes = 0;    // Number of times that it was resumed.
  bool ObjectiveMissed = false; // No target is expected to meet it.
  bool MayHaveRun = false;      // A target may have run it.
  bool PrefersCanary = false;   // Sent to the canary version if possible.
  std::optional<http::response> Failure; // Last 5xx response of a target.
};

using call_ref = std::shared_ptr<open_call>;

struct entry::implementation {
  implementation(node_state &State, admission &Admission, peer_links &Links)
      : State(State), Admission(Admission), Links(Links) {
    Pipelining->MaxHeldBytes = State.Settings.MaxHeldBytes;
  }

  ~implementation() { State.Loop.memory()->OnPressure = nullptr; }
  implementation(const implementation &) = delete;
  auto operator=(const implementation &) -> implementation & = delete;

  node_state &State;
  admission &Admission;
  peer_links &Links;
  balancer_state Balancer;
  std::unique_ptr<event::listener> Listener;
  /** The connections of callers, with the serials of their open calls. */
  std::map<std::shared_ptr<http::server_connection>, std::set<std::uint64_t>>
      Connections;
  /** Shared by all connections. */
  std::shared_ptr<http::pipeline_budget> Pipelining =
      std::make_shared<http::pipeline_budget>();
  std::unordered_map<std::uint64_t, call_ref> Calls;    // By Serial.
  std::unordered_map<std::uint64_t, call_ref> Attempts; // By Attempt.
  std::map<route_id, mesh::round_robin_state> RoundRobinStates;
  std::uint64_t NextNumber = 1;
  bool IsReliefDeferred = false; // relieveIfFull() has deferred one.

  void accept(std::shared_ptr<event::stream> Stream);
  /** @return whether a request may run beside others of its connection. */
  auto mayRunBeside(const http::request &Request) const -> bool;
  /** @return the decision on a call by its key. */
  auto decideCaller(const http::request &Request,
                    const mesh::route_rule &Route) const -> mesh::key_decision;
  /** @return the response to a request that is refused before its body is read,
   * or nothing. */
  auto checkHead(const http::request &Request) -> std::optional<http::response>;
  /** Counts and logs a request that is refused by its key.
   * @return the response. */
  auto refuseKey(const request_id &Id, mesh::key_verdict Verdict)
      -> http::response;
  /** Counts and logs a request for which no call is created.
   * @return the response. */
  auto rejection(const request_id &Id, int Status,
                 std::optional<micros> RetryDelay, const char *Reason)
      -> http::response;
  void beginCall(const std::shared_ptr<http::server_connection> &Caller,
                 http::exchange_number Exchange, http::request Request);
  /** Responds with an error to a request for which no call is created. */
  void rejectRequest(const std::shared_ptr<http::server_connection> &Caller,
                     http::exchange_number Exchange, const request_id &Id,
                     int Status, std::optional<micros> RetryDelay,
                     const char *Reason);
  void dispatchCall(const call_ref &Call);
  auto pickHost(const call_ref &Call) -> const mesh::host_record *;
  void sendAttempt(const call_ref &Call, const mesh::host_record &Host);
  auto makeForward(const open_call &Call, const mesh::host_record &Host) const
      -> inner::forward_message;
  /** Removes the attempt in progress, if any, from the call and its host's
   * view. */
  void releaseHost(open_call &Call);
  /** Takes the response out of the reply. */
  void handleOutcome(const call_ref &Call, const node_id &Node,
                     inner::reply_message &Reply);
  void handleNotRun(const call_ref &Call, const inner::reply_message &Reply);
  void handleFailed(const call_ref &Call, const inner::reply_message &Reply);
  auto mayRetry(const open_call &Call, retry_cause Cause) -> bool;
  /** Ends a call that can't be run: with 503 if no target may have run it. */
  void refuseCall(const call_ref &Call, const char *Reason);
  /** Ends a call with the last 5xx response of a target, or else with Status.
   */
  void failCall(const call_ref &Call, int Status, const char *Reason);
  /** Logs the customer of a call that ends, if it has one. */
  void logCustomer(const open_call &Call, int Status);
  void answerCall(const call_ref &Call, http::response Response,
                  const char *Outcome);
  void handleTimeout(const call_ref &Call);
  void handleConnectionClosed(
      const std::shared_ptr<http::server_connection> &Connection);
  void handleCallerDisconnect(const call_ref &Call);
  /** Removes a call that ends. */
  void removeCall(const open_call &Call);
  /** Cancels the attempt in progress, if any, at its node. */
  void cancelAttempt(const call_ref &Call);
  auto retryDelay(const open_call &Call) -> micros;
  /** Closes connections that exceed their timeouts, from time to time. */
  void closeExpiredConnections();
  /** Makes connections of callers give way while memory is under pressure. */
  void watchMemory();
  void relieveCallers();
  /** Updates the charges of bytes of callers that wait in the kernel. */
  void chargeUnread();
  /** Carries out the decisions about memory now. */
  void relieveOnce();
  /** Does so at the end of this iteration if nearly all memory is used. */
  void relieveIfFull();
  /** @return whether there is a descriptor for another caller; an idle
   * connection gives way if there is none. */
  auto makeRoomForCaller() -> bool;
  /** Carries out decisions about connections. */
  void applyRelief(
      const std::vector<std::shared_ptr<http::server_connection>> &Callers,
      const std::vector<relief_decision> &Decisions);
};

} // namespace sycamorelb::sidecar
