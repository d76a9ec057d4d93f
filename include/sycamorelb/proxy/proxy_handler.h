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
  /** Resolves a request; nothing is answered with 404. */
  std::function<std::optional<route_info>(std::string_view Method,
                                          std::string_view Path,
                                          const header_list &Headers)>
      Resolve;
  /** Picks a target for the attempt (from 1); nothing ends the attempts.
   * Excluded holds the targets of the earlier attempts. */
  std::function<std::optional<call_target>(
      const route_info &Route, std::uint32_t Attempt,
      const std::vector<call_target> &Excluded)>
      Pick;
  /** Reports each attempt that Pick returned a target for, exactly once. The
   * latency of a hedge that was not sent is 0 and Started is false. */
  std::function<void(const route_info &Route, const call_target &Target,
                     const call_outcome &Outcome,
                     const header_list &ResponseHeaders)>
      OnAttemptFinished;
  /** Takes a retry from the budget of the route. */
  std::function<bool(const route_info &Route)> MayRetry;
  /** Takes a hedge from the budget of the route. */
  std::function<bool(const route_info &Route)> MayHedge;
};

/** Decisions that the admission node makes; called from worker threads. */
struct admission_hooks {
  /** Waits for a slot, until the deadline or until Cancel is raised. */
  std::function<std::variant<admission_ticket, admission_refusal>(
      const admission_request &Request, cancellation &Cancel)>
      Admit;
  /** Claims an idempotency key after a slot was obtained. */
  std::function<claim_decision(
      std::uint64_t KeyHash, const admission_request &Request,
      const admission_ticket &Ticket, cancellation &Cancel)>
      Claim;
  /** Returns the slot; called exactly once for each ticket. KeyHash is set if a
   * claim was granted; the claim is to be released if the outcome is NotRun, or
   * if no byte was sent to the upstream (Outcome.Started is false). */
  std::function<void(
      const admission_request &Request, const admission_ticket &Ticket,
      const call_outcome &Outcome, std::optional<std::uint64_t> KeyHash)>
      Release;
  /** Checks x-sycamore-auth of a request at the peer port. */
  std::function<bool(const header_list &Headers)> Authenticate;
};

/** Limits and deadlines of forwarding. */
struct proxy_options {
  millis ConnectTimeout{500};         ///< Longest time to open a connection.
  millis ProgressTimeout{5000};       ///< Longest pause within a body.
  millis PoolIdleTimeout{30000};      ///< Kept connections are closed after it.
  std::uint32_t PoolIdlePerPeer = 64; ///< Kept idle connections per address.
  std::uint32_t BufferedBodyBytes = 64 * 1024; ///< Bodies up to this size can
                                               ///< be sent again.
  millis HopMargin{1};           ///< Subtracted from the deadline per hop.
  std::uint32_t MaxAttempts = 4; ///< Attempts allowed to a call that carries
                                 ///< no x-sycamore-attempts.
};

/** Counts of a proxy since its start. */
struct proxy_stats {
  std::uint64_t Opened = 0;    ///< Outgoing connections opened.
  std::uint64_t Reused = 0;    ///< Attempts on a kept connection.
  std::uint64_t Dropped = 0;   ///< Kept connections dropped in doubt.
  std::uint64_t Retries = 0;   ///< Attempts after the first, hedges excluded.
  std::uint64_t Hedges = 0;    ///< Speculative attempts.
  std::uint64_t Cancelled = 0; ///< Calls whose caller left.
  std::uint64_t Silent = 0;    ///< Connections found to be silent.
  std::uint64_t Truncated = 0; ///< Answers that ended early.
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

  /** @return the handler for the peer port: calls forwarded by other nodes. */
  auto admission() -> call_handler;

  /** Closes the kept connections to Address. */
  void dropConnections(const std::string &Address);

  /** @return the counts. */
  auto stats() const -> proxy_stats;

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::proxy
