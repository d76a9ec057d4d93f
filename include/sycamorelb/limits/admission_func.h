/** @file admission_func.h Admission control and queue of one upstream. */
#pragma once

#include "sycamorelb/limits/admission_type.h"

#include <optional>

namespace sycamorelb::limits {

/** @return the queue capacity at this concurrency limit. */
auto queueCapacity(std::uint32_t Limit) -> std::uint32_t;

/** @return the reason to refuse all new work; nullopt if the gate is open. */
auto closedReason(const admission_gate &Gate) -> std::optional<refuse_reason>;

/** Admits, queues or refuses new work; on run_now it holds a slot until it is
 * released. */
auto offer(admission_queue &Queue, const work_offer &Work,
           const admission_capacity &Capacity, steady_time Now) -> offer_result;

/** Frees the slot of finished or cancelled work and starts queued work. */
auto release(admission_queue &Queue, const admission_capacity &Capacity,
             steady_time Now) -> queue_step;

/** Refuses queued work that can no longer finish by its deadline and starts
 * work if the limit has risen. Must be called at least every few ms. */
auto expire(admission_queue &Queue, const admission_capacity &Capacity,
            steady_time Now) -> queue_step;

/** Removes queued work whose caller has cancelled.
 * @return false if the ticket is not in the queue. */
auto cancel(admission_queue &Queue, ticket_id Ticket) -> bool;

/** Sets the gate. A braked version also refuses the queued work; under the
 * other conditions queued work still runs. */
auto setGate(admission_queue &Queue, const admission_gate &Gate) -> queue_step;

/** @return whether nothing is queued or in flight. */
auto isIdle(const admission_queue &Queue) -> bool;

} // namespace sycamorelb::limits
