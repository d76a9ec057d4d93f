/** @file admission.h Admission of calls to an upstream attached to this node.
 */
#pragma once

#include "proxy/attempt.h"

#include <functional>
#include <optional>

namespace sycamorelb::proxy {

/** Decides, once the head of a response has arrived, whether to discard the
 * response and retry the call. */
using retry_predicate = std::function<bool(const response_head &)>;

/** Call as the admission step needs it. */
struct admitted_call {
  admission_request Request;            ///< Request for a slot.
  std::uint32_t Attempts = 1;           ///< Attempts left for nested calls.
  std::optional<std::uint64_t> KeyHash; ///< Hash of the idempotency key.
};

/** Result of an attempt whose response may have been forwarded. */
struct attempt_result {
  call_outcome Outcome;        ///< Outcome of the attempt.
  header_list ResponseHeaders; ///< Headers of the response; empty for none.
  bool Responded = false;      ///< The caller got a response or a reset.
  body_refusal Refusal;        ///< Set if the caller's body could not be read.
};

/** Waits for a slot, claims the key, forwards the call and releases the slot.
 * A refusal is returned, not sent to the caller, except for a claimed key,
 * which is answered with 409. */
auto runAdmitted(proxy_core &Core, exchange &Exchange, call_body &Body,
                 const admitted_call &Call, const retry_predicate &ShouldRetry)
    -> attempt_result;

/** Waits for the response to a started attempt and forwards it, unless
 * ShouldRetry returns true; then discards it. */
auto finishAttempt(attempt &Attempt, const retry_predicate &ShouldRetry)
    -> attempt_result;

/** Responds to a call if none of its attempts forwarded a response. */
void respondWithResult(exchange &Exchange, const attempt_result &Result,
                       const body_refusal &Refusal);

/** @return the hash that identifies the idempotency key of a call to Service,
 * or nothing if it has no key. */
auto claimKeyHash(const request_head &Head, const service_id &Service)
    -> std::optional<std::uint64_t>;

/** Handles a call that arrived at the peer port. */
void handleAdmission(proxy_core &Core, exchange &Exchange);

} // namespace sycamorelb::proxy
