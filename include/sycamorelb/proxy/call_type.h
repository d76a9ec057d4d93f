/** @file call_type.h Calls, their targets and their outcomes. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorelb::proxy {

/** One header field as it was received. */
struct header_field {
  std::string Name;  ///< Name, compared without regard to case.
  std::string Value; ///< Value without surrounding blanks.
  auto operator==(const header_field &) const -> bool = default;
};

/** Header fields in the order of the message. */
using header_list = std::vector<header_field>;

/** @return the first value of the header, or nothing. */
auto findHeader(const header_list &Headers, std::string_view Name)
    -> std::optional<std::string_view>;

/** What is known about the effect of a call or an attempt. */
enum class outcome_kind : std::uint8_t {
  NotRun,    ///< Certainly not started by the upstream.
  Unknown,   ///< May have run; no whole answer arrived.
  Answered,  ///< The upstream answered in full.
  Cancelled, ///< The caller left, or another attempt answered first.
};

/** Result of an attempt, with the step and the peer at which it ended. */
struct call_outcome {
  outcome_kind Kind = outcome_kind::NotRun; ///< What is known.
  int Status = 0;      ///< HTTP status of the answer; 0 for none.
  std::string Step;    ///< Last step, such as "connect" or "read_head".
  std::string Peer;    ///< Address of the peer.
  std::string Reason;  ///< Cause of a failure, for people.
  micros Latency{0};   ///< Time from the start to the end of the attempt.
  micros FirstByte{0}; ///< Time to the first byte of the answer; 0 for none.
  std::uint64_t BytesOut = 0; ///< Bytes written to the peer.
  std::uint64_t BytesIn = 0;  ///< Body bytes received from the peer.
  bool Started = false;       ///< A byte of the request was written.
};

/** What stands behind the address of a target. */
enum class target_kind : std::uint8_t {
  AdmissionNode, ///< The peer port of another node.
  LocalUpstream, ///< An upstream beside this node.
};

/** Where an attempt is sent. */
struct call_target {
  target_kind Kind = target_kind::AdmissionNode; ///< Sort of the peer.
  std::string Address;      ///< "ip:port" of the peer port; for a local
                            ///< upstream any name that identifies it.
  service_id Service;       ///< Service asked for.
  version_id Version;       ///< Version asked for.
  header_list ExtraHeaders; ///< Added to the request, such as x-sycamore-auth.
  millis FirstByteTimeout{0}; ///< Longest usual wait for the first byte of the
                              ///< answer; 0 for none. Exceeding it marks the
                              ///< connections to the address as silent.
};

/** The route of a call, as resolved by the node. */
struct route_info {
  route_id Name;                 ///< Name of the route.
  service_id Service;            ///< Service that answers.
  millis Timeout{1000};          ///< Whole time for the call.
  bool Idempotent = false;       ///< Whether a call may run more than once.
  std::uint32_t MaxAttempts = 1; ///< Attempts for one call, at least 1.
  millis HedgeAfter{0};          ///< Delay before a hedge; 0 for none.
};

/** Importance of a call at admission; a lesser value is served first. */
enum class call_priority : std::uint8_t {
  NonIdempotent, ///< Cannot be repeated elsewhere.
  Idempotent,    ///< Can be repeated.
  Speculative,   ///< A hedge.
};

/** What the admission node is asked to admit. */
struct admission_request {
  service_id Service; ///< Service asked for.
  version_id Version; ///< Version asked for.
  route_id Route;     ///< Route, for the evidence of moves.
  call_priority Priority = call_priority::NonIdempotent; ///< Queue order.
  steady_time Deadline{}; ///< Time by which the call must be finished.
};

/** A slot at an upstream. */
struct admission_ticket {
  std::string UpstreamAddress; ///< "ip:port" of the upstream.
  std::uint64_t Id = 0;        ///< Chosen by the node; passed back to it.
  millis FirstByteTimeout{0};  ///< As in call_target.
};

/** A refusal before anything was sent to the upstream. */
struct admission_refusal {
  std::string Reason; ///< For people and for x-sycamore-reason.
};

/** Decision about a claim for an idempotency key. */
struct claim_decision {
  /** Kind of decision. */
  enum class kind : std::uint8_t {
    Granted, ///< This call alone may run.
    Held,    ///< Another call holds the key; answered with 409.
    Refused, ///< No decision was reached; nothing runs.
  };
  kind Kind = kind::Refused; ///< The decision.
  bool Completed = false;    ///< Held: the first call is known to be completed.
  int Status = 0;            ///< Held: status of the first call; 0 if unknown.
  std::string Reason;        ///< Refused: the cause, for people.
};

} // namespace sycamorelb::proxy
