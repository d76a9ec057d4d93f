/** @file admission_func.h Admits, queues or refuses work for one upstream. */
#pragma once

#include "sycamorelb/limits/admission_type.h"

#include <optional>

namespace sycamorelb::limits {

/** @return the number of places in the queue at this limit. */
auto queueCapacity(std::uint32_t Limit) -> std::uint32_t;

/** @return why the gate refuses new work, if it does. */
auto closedReason(const admission_gate &Gate) -> std::optional<refuse_reason>;

/** Offers work; on run_now the work holds a slot until release. */
auto offer(admission_queue &Queue, const work_offer &Work,
           const admission_capacity &Capacity, steady_time Now) -> offer_result;

/** Returns the slot of finished or abandoned work and starts queued work. */
auto release(admission_queue &Queue, const admission_capacity &Capacity,
             steady_time Now) -> queue_step;

/** Refuses queued work that cannot finish by its deadline any more and starts
 * work if the limit has risen; to be called at least every few ms. */
auto expire(admission_queue &Queue, const admission_capacity &Capacity,
            steady_time Now) -> queue_step;

/** Removes queued work whose caller gave up.
 * @return false if the ticket is not queued (any more). */
auto cancel(admission_queue &Queue, ticket_id Ticket) -> bool;

/** Sets the gate. A brake refuses the queued work too; the other conditions
 * let queued work finish. */
auto setGate(admission_queue &Queue, const admission_gate &Gate) -> queue_step;

/** @return whether no work is queued or in flight. */
auto isIdle(const admission_queue &Queue) -> bool;

} // namespace sycamorelb::limits
