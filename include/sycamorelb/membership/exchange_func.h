/** @file exchange_func.h Anti-entropy exchange of member tables by digest.
 *
 * Sending all 880 records twice in 30 s would cost about 12 KB/s, so the peers
 * first compare one hash per bucket and send only the buckets that differ.
 */
#pragma once

#include "sycamorelb/membership/membership_func.h"

namespace sycamorelb::membership {

/** @return the first request of an exchange: the digest of the table. */
auto beginExchange(const member_table &Table) -> member_exchange;

/** Answer to an exchange request, and the effects of handling it. */
struct exchange_answer {
  member_exchange Answer; ///< What to send back.
  effects Effects;        ///< What else to do.
};

/**
 * Answers a request: merges its records and, when it carries a digest, returns
 * this node's digest and its records of all buckets that differ.
 */
auto answerExchange(member_table &Table, const member_exchange &Request,
                    instant Now) -> exchange_answer;

/** Result of merging a peer's answer. */
struct exchange_result {
  std::optional<member_exchange> FollowUp; ///< Second request, if needed.
  effects Effects;                         ///< What else to do.
};

/** Merges the answer of the peer and collects the records that it lacks or
 * holds in an older state. */
auto finishExchange(member_table &Table, const member_exchange &Answer,
                    instant Now) -> exchange_result;

} // namespace sycamorelb::membership
