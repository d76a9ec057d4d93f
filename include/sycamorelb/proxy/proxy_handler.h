/** @file proxy_handler.h Forwards calls at the entry node and at the admission
 * node. */
#pragma once

#include "sycamorelb/proxy/call_type.h"
#include "sycamorelb/proxy/cancellation.h"
#include "sycamorelb/proxy/http_server.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace sycamorelb::proxy {

/** Decisions that the entry node makes; called from worker threads. */
struct entry_hooks {
  /** Resolves the route of a request; the caller gets 404 if there is none. */
  std::function<std::optional<route_info>(std::string_view Method,
                                          std::string_view Path,
                                          const header_list &Headers)>
      Resolve;
  /** Picks a target for an attempt, numbered from 1; no target ends the call.
   * Excluded holds the targets of earlier attempts. */
  std::function<std::optional<call_target>(
      const route_info &Route, std::uint32_t Attempt,
      const std::vector<call_target> &Excluded)>
      Pick;
  /** Called exactly once for each target that Pick returned. For a hedged
   * attempt that was not sent, Latency is 0 and Started is false. */
  std::function<void(const route_info &Route, const call_target &Target,
                     const call_outcome &Outcome,
                     const header_list &ResponseHeaders)>
      OnAttemptFinished;
  /** Takes a retry from the retry budget of the route, if it has one left. */
  std::function<bool(const route_info &Route)> MayRetry;
  /** Takes a hedged attempt from the hedge budget of the route, if it has one
   * left. */
  std::function<bool(const route_info &Route)> MayHedge;
};

/** Decisions that the admission node makes; called from worker threads. */
struct admission_hooks {
  /** Waits for a slot, until the deadline or until Cancel is raised. */
  std::function<std::variant<admission_ticket, admission_refusal>(
      const admission_request &Request, cancellation &Cancel)>
      Admit;
  /** Claims an idempotency key once a slot was granted. */
  std::function<claim_decision(
      std::uint64_t KeyHash, const admission_request &Request,
      const admission_ticket &Ticket, cancellation &Cancel)>
      Claim;
  /** Returns the slot; called exactly once for each ticket. KeyHash is set if a
   * claim was granted. The hook must release the claim if the outcome is NotRun
   * or no byte was sent to the upstream (Outcome.Started is false). */
  std::function<void(
      const admission_request &Request, const admission_ticket &Ticket,
      const call_outcome &Outcome, std::optional<std::uint64_t> KeyHash)>
      Release;
  /** Verifies x-sycamore-auth of a request at the peer port. */
  std::function<bool(const header_list &Headers)> Authenticate;
};

/** Limits and timeouts of forwarding. */
struct proxy_options {
  millis ConnectTimeout{500};    ///< Maximum time to open a connection.
  millis ProgressTimeout{5000};  ///< Maximum pause between bytes of a message.
  millis PoolIdleTimeout{30000}; ///< Maximum idle time of a pooled connection.
  std::uint32_t PoolIdlePerPeer = 64; ///< Idle connections kept per address.
  std::uint32_t BufferedBodyBytes = 64 * 1024; ///< Bodies up to this size are
                                               ///< buffered for retries.
  millis HopMargin{1}; ///< Time subtracted from the deadline at each hop.
  std::uint32_t MaxAttempts = 4; ///< Maximum attempts of a call;
                                 ///< x-sycamore-attempts can only lower it.
};

/** Counters of a proxy since its start. */
struct proxy_stats {
  std::uint64_t Opened = 0;  ///< Outgoing connections opened.
  std::uint64_t Reused = 0;  ///< Attempts that used a pooled connection.
  std::uint64_t Dropped = 0; ///< Pooled connections closed as unreliable.
  std::uint64_t Retries = 0; ///< Attempts after the first, without hedged ones.
  std::uint64_t Hedges = 0;  ///< Hedged attempts.
  std::uint64_t Cancelled = 0; ///< Attempts ended by the caller's disconnect.
  std::uint64_t Silent = 0;    ///< Connections silent for FirstByteTimeout.
  std::uint64_t Truncated = 0; ///< Responses that ended early.
};

/** Forwards calls; must outlive the servers that use its handlers. */
class proxy_handler {
public:
  proxy_handler(proxy_options Options, entry_hooks Entry,
                admission_hooks Admission);
  ~proxy_handler();
  proxy_handler(const proxy_handler &) = delete;
  auto operator=(const proxy_handler &) -> proxy_handler & = delete;

  /** @return the handler for calls from callers. */
  auto entry() -> call_handler;

  /** @return the handler for calls that other nodes forward to the peer port.
   */
  auto admission() -> call_handler;

  /** Closes the pooled connections to Address. */
  void dropConnections(const std::string &Address);

  /** @return the counters. */
  auto stats() const -> proxy_stats;

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::proxy
