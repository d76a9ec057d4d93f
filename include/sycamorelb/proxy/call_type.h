/** @file call_type.h Types of calls, targets, outcomes and admission decisions.
 */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorelb::proxy {

/** One HTTP header field as received. */
struct header_field {
  std::string Name;  ///< Name, compared without regard to case.
  std::string Value; ///< Value without leading and trailing whitespace.
  auto operator==(const header_field &) const -> bool = default;
};

/** Header fields in message order. */
using header_list = std::vector<header_field>;

/** @return the first value of the header, or nothing. */
auto findHeader(const header_list &Headers, std::string_view Name)
    -> std::optional<std::string_view>;

/** Whether the upstream executed a call or an attempt. */
enum class outcome_kind : std::uint8_t {
  NotRun,    ///< The upstream did not start it.
  Unknown,   ///< It may have run; no complete response arrived.
  Answered,  ///< A complete response arrived.
  Cancelled, ///< The caller disconnected, or another attempt was answered
             ///< first.
};

/** Result of an attempt, with its last step and peer. */
struct call_outcome {
  outcome_kind Kind = outcome_kind::NotRun; ///< Whether it was executed.
  int Status = 0;             ///< HTTP status of the response; 0 for none.
  std::string Step;           ///< Last step, such as "connect" or "read_head".
  std::string Peer;           ///< Address of the peer.
  std::string Reason;         ///< Human-readable cause of a failure.
  micros Latency{0};          ///< Duration of the attempt.
  micros FirstByte{0};        ///< Time to the first response byte; 0 for none.
  std::uint64_t BytesOut = 0; ///< Bytes written to the peer.
  std::uint64_t BytesIn = 0;  ///< Body bytes received from the peer.
  bool Started = false;       ///< At least one byte of the request was written.
};

/** Kind of endpoint that a target refers to. */
enum class target_kind : std::uint8_t {
  AdmissionNode, ///< The peer port of another node.
  LocalUpstream, ///< An upstream attached to this node.
};

/** Where an attempt is sent. */
struct call_target {
  target_kind Kind = target_kind::AdmissionNode; ///< Kind of endpoint.
  std::string Address; ///< "ip:port" of the peer port; for a local upstream,
                       ///< any unique name.
  service_id Service;  ///< Requested service.
  version_id Version;  ///< Requested version.
  header_list ExtraHeaders;   ///< Headers to add, such as x-sycamore-auth.
  millis FirstByteTimeout{0}; ///< Expected upper bound on the time to the first
                              ///< response byte; 0 for none. When it passes,
                              ///< the pooled connections to the address are
                              ///< dropped as silent.
};

/** Route that the node resolved for a call. */
struct route_info {
  route_id Name;           ///< Name of the route.
  service_id Service;      ///< Service that handles the call.
  millis Timeout{1000};    ///< Time limit for the whole call.
  bool Idempotent = false; ///< Whether a call may be executed more than once.
  std::uint32_t MaxAttempts = 1; ///< Maximum attempts per call, at least 1.
  millis HedgeAfter{0}; ///< Delay before a hedged attempt; 0 for no hedging.
};

/** Queue priority of a call at admission; lower values are admitted first. */
enum class call_priority : std::uint8_t {
  NonIdempotent, ///< The call cannot be retried on another node.
  Idempotent,    ///< The call can be retried.
  Speculative,   ///< The call is a hedged attempt.
};

/** Call for which a slot is requested from the admission node. */
struct admission_request {
  service_id Service; ///< Requested service.
  version_id Version; ///< Requested version.
  route_id Route;     ///< Route, recorded as evidence for traffic moves.
  call_priority Priority = call_priority::NonIdempotent; ///< Queue priority.
  steady_time Deadline{}; ///< Deadline of the call.
};

/** Slot granted at an upstream. */
struct admission_ticket {
  std::string UpstreamAddress; ///< "ip:port" of the upstream.
  std::uint64_t Id = 0;        ///< Opaque; returned to the node on release.
  millis FirstByteTimeout{0};  ///< As in call_target.
};

/** Refusal of a call before anything was sent to the upstream. */
struct admission_refusal {
  std::string Reason; ///< Human-readable cause, also sent in x-sycamore-reason.
};

/** Decision on the claim of an idempotency key. */
struct claim_decision {
  /** Kind of decision. */
  enum class kind : std::uint8_t {
    Granted, ///< Only this call may run.
    Held,    ///< Another call holds the key; the caller gets 409.
    Refused, ///< No decision was reached; the call does not run.
  };
  kind Kind = kind::Refused; ///< The decision.
  bool Completed = false; ///< Held: the first call is known to have completed.
  int Status = 0;         ///< Held: status of the first call; 0 if unknown.
  std::string Reason;     ///< Refused: human-readable cause.
};

} // namespace sycamorelb::proxy
