/** @file header_name.h Names of the HTTP headers that nodes add and read. */
#pragma once

#include <string_view>

namespace sycamorelb::proxy {

/** Time left until the deadline of the call, in ms. */
inline constexpr std::string_view DeadlineHeader = "x-sycamore-deadline-ms";
/** Attempts left, shared with nested calls. */
inline constexpr std::string_view AttemptsHeader = "x-sycamore-attempts";
/** "not-run" or "unknown" on failed calls; on a 409 for a claimed key
 * "completed" or "unknown". */
inline constexpr std::string_view OutcomeHeader = "x-sycamore-outcome";
/** Human-readable cause of a refusal. */
inline constexpr std::string_view ReasonHeader = "x-sycamore-reason";
/** Timestamp and HMAC that authenticate a request between nodes. */
inline constexpr std::string_view AuthHeader = "x-sycamore-auth";
/** Requested service, between nodes. */
inline constexpr std::string_view ServiceHeader = "x-sycamore-service";
/** Requested version, between nodes. */
inline constexpr std::string_view VersionHeader = "x-sycamore-version";
/** Route name, between nodes. */
inline constexpr std::string_view RouteHeader = "x-sycamore-route";
/** Numeric call_priority, between nodes. */
inline constexpr std::string_view PriorityHeader = "x-sycamore-priority";
/** Key under which a non-idempotent call is executed at most once. */
inline constexpr std::string_view IdempotencyKeyHeader = "idempotency-key";

} // namespace sycamorelb::proxy
