/** @file admission_type.h Types of admission control. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace sycamorelb::limits {

/** Priority of work; higher values run first. */
enum class work_priority : std::uint8_t {
  Speculative,   ///< A hedged attempt.
  Idempotent,    ///< Safe to retry on another upstream.
  NonIdempotent, ///< Must not start more than once.
};

/** Reason for a refusal. Refused work has never been started. */
enum class refuse_reason : std::uint8_t {
  QueueFull,        ///< Queue full of work of higher priority.
  Displaced,        ///< Replaced by newer or more important work.
  DeadlineTooShort, ///< Cannot finish by its deadline.
  NodeDraining,     ///< The node is stopping.
  UpstreamDraining, ///< The upstream is leaving.
  VersionBraked,    ///< The version of the upstream is braked.
  ZoneOutOfService, ///< The zone is taken out of service.
};

/** @return the name of the reason in logs and metrics. */
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

/** Identifies queued work. */
using ticket_id = strong_id<struct ticket_tag, std::uint64_t>;

/** Work that waits for a slot. */
struct queued_work {
  ticket_id Ticket;       ///< Ascending in order of arrival.
  work_offer Work;        ///< What was offered.
  steady_time QueuedAt{}; ///< Time of arrival.
};

/** Admission state of one upstream. */
struct admission_queue {
  std::uint32_t InFlight = 0;      ///< Slots in use.
  std::vector<queued_work> Queued; ///< In order of arrival.
  std::uint64_t LastTicket = 0;    ///< Last ticket issued.
  admission_gate Gate;             ///< Conditions that stop new work.
  steady_time NonEmptySince{};     ///< When the queue last became non-empty.
};

/** Capacity of the upstream at the time of a decision. */
struct admission_capacity {
  std::uint32_t Limit = 1; ///< Current concurrency limit.
  micros ServiceTime{0};   ///< Expected duration of a call; 0 if unknown.
};

/** The work was admitted and holds a slot. */
struct run_now {};
/** The work is queued. */
struct queued {
  ticket_id Ticket; ///< Reported by a later queue_step.
};
/** The work was refused and will not run. */
struct refused {
  refuse_reason Reason = refuse_reason::QueueFull; ///< Why.
};

/** Queued work that was refused. */
struct refused_ticket {
  ticket_id Ticket;                                ///< Its ticket.
  refuse_reason Reason = refuse_reason::QueueFull; ///< Why.
};

/** Result of offering work. */
struct offer_result {
  std::variant<run_now, queued, refused> Decision; ///< About the offered work.
  std::vector<refused_ticket> Refuse; ///< Queued work displaced by it.
};

/** Queued work that leaves the queue. */
struct queue_step {
  std::vector<ticket_id> Run;         ///< Admitted; each holds a slot now.
  std::vector<refused_ticket> Refuse; ///< Refused; none has been started.
};

/** Minimum queue capacity. */
inline constexpr std::uint32_t MinQueueCapacity = 4;

/** A queue that has been non-empty for this time counts as overloaded and runs
 * the newest work first: older work is likelier to miss its deadline. */
inline constexpr micros OverloadAfter{50'000};

} // namespace sycamorelb::limits
