/** @file admission_type.h Work offered to an upstream and its queue. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace sycamorelb::limits {

/** Priority of work; greater goes first. */
enum class work_priority : std::uint8_t {
  Speculative,   ///< A hedge.
  Idempotent,    ///< May run again elsewhere.
  NonIdempotent, ///< Has a single attempt that may start.
};

/** Reason for a refusal; every refusal means "not run". */
enum class refuse_reason : std::uint8_t {
  QueueFull,        ///< No place for work of this priority.
  Displaced,        ///< Gave its place to newer or more important work.
  DeadlineTooShort, ///< Would not finish by its deadline.
  NodeDraining,     ///< The node is stopping.
  UpstreamDraining, ///< The upstream is leaving.
  VersionBraked,    ///< The version of the upstream is braked.
  ZoneOutOfService, ///< The zone is taken out of service.
};

/** @return the name of a reason as used in logs and metrics. */
auto refuseReasonName(refuse_reason Reason) -> const char *;

/** Conditions under which an upstream receives no new work. */
struct admission_gate {
  bool NodeDraining = false;     ///< The node is stopping.
  bool UpstreamDraining = false; ///< The upstream is leaving.
  bool VersionBraked = false;    ///< The version is braked.
  bool ZoneOutOfService = false; ///< The zone is out of service.
  auto operator==(const admission_gate &) const -> bool = default;
};

/** Work offered by a caller. */
struct work_offer {
  work_priority Priority = work_priority::Idempotent; ///< Priority.
  steady_time Deadline{}; ///< Time by which it must be finished.
};

/** Names one piece of queued work. */
using ticket_id = strong_id<struct ticket_tag, std::uint64_t>;

/** Work that waits for a slot. */
struct queued_work {
  ticket_id Ticket;       ///< Ascending in order of arrival.
  work_offer Work;        ///< What was offered.
  steady_time QueuedAt{}; ///< Time of arrival.
};

/** Queue in front of one upstream. */
struct admission_queue {
  std::uint32_t InFlight = 0;      ///< Slots taken.
  std::vector<queued_work> Queued; ///< In order of arrival.
  std::uint64_t LastTicket = 0;    ///< Last ticket given out.
  admission_gate Gate;             ///< Conditions that stop new work.
  steady_time NonEmptySince{};     ///< Since when work has been waiting.
};

/** What the upstream can do at the time of a decision. */
struct admission_capacity {
  std::uint32_t Limit = 1; ///< Current concurrency limit.
  micros ServiceTime{0};   ///< Expected time of one call; 0 if unknown.
};

/** The work holds a slot and may start. */
struct run_now {};
/** The work waits under a ticket. */
struct queued {
  ticket_id Ticket; ///< Named by a later queue_step.
};
/** The work did not and will not run. */
struct refused {
  refuse_reason Reason = refuse_reason::QueueFull; ///< Why.
};

/** Queued work that is refused. */
struct refused_ticket {
  ticket_id Ticket;                                ///< Which.
  refuse_reason Reason = refuse_reason::QueueFull; ///< Why.
};

/** Decision about offered work. */
struct offer_result {
  std::variant<run_now, queued, refused> Decision; ///< About the work offered.
  std::vector<refused_ticket> Refuse; ///< Queued work refused in its favour.
};

/** Queued work that starts or is refused. */
struct queue_step {
  std::vector<ticket_id> Run;         ///< Each of these holds a slot now.
  std::vector<refused_ticket> Refuse; ///< None of these has run.
};

/** Smallest capacity of the queue. */
inline constexpr std::uint32_t MinQueueCapacity = 4;

/** Waiting time without an empty queue after which it counts as overloaded and
 * serves the newest work first: older work is likelier to miss its deadline. */
inline constexpr micros OverloadAfter{50'000};

} // namespace sycamorelb::limits
