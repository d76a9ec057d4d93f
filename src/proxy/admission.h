/** @file admission.h Admits a call to an upstream beside this node. */
#pragma once

#include "proxy/attempt.h"

#include <functional>
#include <optional>

namespace sycamorelb::proxy {

/** Decides, when the head of an answer has arrived, whether the answer is held
 * back because the call is tried again. */
using answer_filter = std::function<bool(const response_head &)>;

/** What the admission step needs to know of a call. */
struct admitted_call {
  admission_request Request;  ///< What is admitted.
  std::uint32_t Attempts = 1; ///< Attempts that the upstream may make.
  std::optional<std::uint64_t> KeyHash; ///< Hash of the idempotency key.
};

/** Result of an attempt whose answer may have been passed on. */
struct attempt_result {
  call_outcome Outcome;        ///< What is known.
  header_list ResponseHeaders; ///< Of the answer; empty for none.
  bool Answered = false;       ///< The caller got an answer, or was aborted.
  body_refusal Refusal;        ///< The caller's body could not be read.
};

/** Waits for a slot, claims the key, forwards the call and releases the slot.
 * A refusal is not answered but returned. */
auto runAdmitted(proxy_core &Core, exchange &Exchange, call_body &Body,
                 const admitted_call &Call, const answer_filter &Hold)
    -> attempt_result;

/** Awaits the answer of a started attempt and passes it on, unless Hold keeps
 * it back. */
auto finishAttempt(attempt &Attempt, const answer_filter &Hold)
    -> attempt_result;

/** Answers a call whose attempts ended without an answer that was passed on. */
void answerResult(exchange &Exchange, const attempt_result &Result,
                  const body_refusal &Refusal);

/** @return the hash under which the key of a call to the service is claimed. */
auto claimKey(const request_head &Head, const service_id &Service)
    -> std::optional<std::uint64_t>;

/** Handles a call at the peer port. */
void handleAdmission(proxy_core &Core, exchange &Exchange);

} // namespace sycamorelb::proxy
