/** @file call_header.h Headers that nodes add, read and remove. */
#pragma once

#include "proxy/call_body.h"
#include "proxy/message_head.h"

#include "sycamorelb/core/result_type.h"
#include "sycamorelb/proxy/header_name.h"

#include <string>

namespace sycamorelb::proxy {

/** Inputs of an outgoing request head. */
struct outgoing_head {
  header_list Added;           ///< Headers added by this node.
  millis Remaining{0};         ///< Remaining time of the call.
  std::uint32_t Attempts = 1;  ///< Attempts that the receiver may make.
  bool ExpectContinue = false; ///< The body waits for 100 Continue.
};

/** @return the request line and headers to forward. Headers that only nodes may
 * set are taken from Out, never from the caller. */
auto writeRequestHead(const request_head &Head, const call_body &Body,
                      const outgoing_head &Out) -> std::string;

/** @return the smaller of the time the request carries and Limit. */
auto remainingTime(const header_list &Headers, millis Limit) -> millis;

/** @return the attempts that the request carries, at least 1, or Default. */
auto allowedAttempts(const header_list &Headers, std::uint32_t Default)
    -> std::uint32_t;

/**
 * Splits an allowance between the attempts of one node, so that the attempts
 * over all levels below never exceed it: the first attempt passes on all but
 * one for each possible retry, and a retry passes on one.
 * @param Attempt number of the attempt, from 1.
 */
auto attemptShare(std::uint32_t Allowance, std::uint32_t OwnAttempts,
                  std::uint32_t Attempt) -> std::uint32_t;

/** @return what an answer says about the effect of the call. */
auto classifyAnswer(const response_head &Head) -> outcome_kind;

/** Answers a call that ended without an answer to pass on. */
void answerFailure(exchange &Exchange, const call_outcome &Outcome);

} // namespace sycamorelb::proxy
