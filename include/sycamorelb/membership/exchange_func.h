/** @file exchange_func.h Full exchange of member tables by digest.
 *
 * Sending 880 whole records twice in 30 s would cost about 12 KB/s, so the
 * peers compare hashes of buckets first.
 */
#pragma once

#include "sycamorelb/membership/membership_func.h"

namespace sycamorelb::membership {

/** @return the first request of an exchange: the digest of the table. */
auto beginExchange(const member_table &Table) -> member_exchange;

/** An answer, and the effects of the request. */
struct exchange_answer {
  member_exchange Answer; ///< What to send back.
  effects Effects;        ///< What else to do.
};

/**
 * Answers a request: merges its records and, when it carries a digest, returns
 * the records of all buckets that differ together with the own digest.
 */
auto answerExchange(member_table &Table, const member_exchange &Request,
                    instant Now) -> exchange_answer;

/** What remains to do after the answer of a peer was merged. */
struct exchange_end {
  std::optional<member_exchange> FollowUp; ///< Second request, if one is due.
  effects Effects;                         ///< What else to do.
};

/** Merges the answer of the peer and lists the records it lacks. */
auto finishExchange(member_table &Table, const member_exchange &Answer,
                    instant Now) -> exchange_end;

} // namespace sycamorelb::membership
