/** @file call_header.h HTTP headers that nodes add, read and remove. */
#pragma once

#include "proxy/call_body.h"
#include "proxy/message_head.h"

#include "sycamorelb/core/result_type.h"
#include "sycamorelb/proxy/header_name.h"

#include <string>

namespace sycamorelb::proxy {

/** Values that this node sets in an outgoing request head. */
struct outgoing_head {
  header_list Added;           ///< Headers added by this node.
  millis Remaining{0};         ///< Time left for the call.
  std::uint32_t Attempts = 1;  ///< Attempts that the receiver may make.
  bool ExpectContinue = false; ///< Send the body only after 100 Continue.
};

/** @return the request head to forward. Headers that only nodes may set come
 * from Outgoing, never from the caller. */
auto writeRequestHead(const request_head &Head, const call_body &Body,
                      const outgoing_head &Outgoing) -> std::string;

/** @return the time left according to the request, at most Limit. */
auto remainingTime(const header_list &Headers, millis Limit) -> millis;

/** @return the attempts that the request allows, from 1 to Default; Default if
 * it does not say. */
auto allowedAttempts(const header_list &Headers, std::uint32_t Default)
    -> std::uint32_t;

/**
 * Splits the allowed attempts between the attempts of one node, so that nested
 * calls at all levels together never exceed them: each possible retry reserves
 * one, and the first attempt passes on the rest.
 * @param Attempt number of the attempt, from 1.
 */
auto attemptShare(std::uint32_t Allowance, std::uint32_t OwnAttempts,
                  std::uint32_t Attempt) -> std::uint32_t;

/** @return the outcome of a call according to the response. */
auto classifyResponse(const response_head &Head) -> outcome_kind;

/** Responds to a call that has no response to forward. */
void respondWithFailure(exchange &Exchange, const call_outcome &Outcome);

} // namespace sycamorelb::proxy
