/** @file header_name.h Names of the header fields that nodes add and read. */
#pragma once

#include <string_view>

namespace sycamorelb::proxy {

/** Remaining time of the call in ms. */
inline constexpr std::string_view DeadlineHeader = "x-sycamore-deadline-ms";
/** Remaining attempts, shared by nested calls. */
inline constexpr std::string_view AttemptsHeader = "x-sycamore-attempts";
/** "not-run" or "unknown" on refusals; "completed" on repeated calls. */
inline constexpr std::string_view OutcomeHeader = "x-sycamore-outcome";
/** Cause of a refusal, for people. */
inline constexpr std::string_view ReasonHeader = "x-sycamore-reason";
/** Timestamp and HMAC of a request between nodes. */
inline constexpr std::string_view AuthHeader = "x-sycamore-auth";
/** Service asked for, between nodes. */
inline constexpr std::string_view ServiceHeader = "x-sycamore-service";
/** Version asked for, between nodes. */
inline constexpr std::string_view VersionHeader = "x-sycamore-version";
/** Name of the route, between nodes. */
inline constexpr std::string_view RouteHeader = "x-sycamore-route";
/** Number of call_priority, between nodes. */
inline constexpr std::string_view PriorityHeader = "x-sycamore-priority";
/** Key under which a non-idempotent call runs at most once. */
inline constexpr std::string_view IdempotencyKeyHeader = "idempotency-key";

} // namespace sycamorelb::proxy
