/** @file admission.cpp Admission control. */
#include "sycamorelb/limits/admission_func.h"

#include <algorithm>

namespace sycamorelb::limits {

namespace {

auto canFinish(const admission_queue &Queue, const work_offer &Work,
               micros Wait, const admission_capacity &Capacity, steady_time Now)
    -> bool {
  if (Work.Deadline <= Now)
    return false;
  // With nothing in flight a call is always admitted: otherwise an estimate
  // above all timeouts would refuse the calls that could correct it.
  if (Queue.InFlight == 0)
    return true;
  return Now + Wait + Capacity.ServiceTime <= Work.Deadline;
}

auto isOverloaded(const admission_queue &Queue,
                  const admission_capacity &Capacity, steady_time Now) -> bool {
  return Queue.Queued.size() >= queueCapacity(Capacity.Limit) ||
         (!Queue.Queued.empty() && Now - Queue.NonEmptySince >= OverloadAfter);
}

/** @return the expected wait of new work in the queue. */
auto expectedWait(const admission_queue &Queue, const work_offer &Work,
                  const admission_capacity &Capacity, steady_time Now)
    -> micros {
  auto NewestFirst = isOverloaded(Queue, Capacity, Now);
  auto Ahead = std::count_if(
      Queue.Queued.begin(), Queue.Queued.end(), [&](const queued_work &Other) {
        return Other.Work.Priority > Work.Priority ||
               (!NewestFirst && Other.Work.Priority == Work.Priority);
      });
  // On average a slot becomes free every ServiceTime / Limit.
  return Capacity.ServiceTime * (Ahead + 1) / std::max(1U, Capacity.Limit);
}

/** @return the queued work that runs next. */
auto nextWork(std::vector<queued_work> &Queued, bool NewestFirst) {
  auto Best = Queued.begin();
  for (auto It = Queued.begin(); It != Queued.end(); ++It)
    if (It->Work.Priority > Best->Work.Priority ||
        (NewestFirst && It->Work.Priority == Best->Work.Priority))
      Best = It;
  return Best;
}

/** @return the work to displace first: the oldest of the lowest priority. */
auto firstToDisplace(std::vector<queued_work> &Queued) {
  return std::min_element(Queued.begin(), Queued.end(),
                          [](const queued_work &A, const queued_work &B) {
                            return A.Work.Priority < B.Work.Priority;
                          });
}

/** Refuses queued work that can no longer finish by its deadline. */
void refuseLate(admission_queue &Queue, const admission_capacity &Capacity,
                steady_time Now, queue_step &Step) {
  std::erase_if(Queue.Queued, [&](const queued_work &Entry) {
    auto Late = !canFinish(Queue, Entry.Work, micros{0}, Capacity, Now);
    if (Late)
      Step.Refuse.push_back({Entry.Ticket, refuse_reason::DeadlineTooShort});
    return Late;
  });
}

/** Fills free slots from the queue. */
void fillSlots(admission_queue &Queue, const admission_capacity &Capacity,
               steady_time Now, queue_step &Step) {
  auto NewestFirst = isOverloaded(Queue, Capacity, Now);
  while (!Queue.Queued.empty() && Queue.InFlight < Capacity.Limit) {
    auto Next = nextWork(Queue.Queued, NewestFirst);
    Step.Run.push_back(Next->Ticket);
    Queue.Queued.erase(Next);
    ++Queue.InFlight;
    // The exception of canFinish for an idle upstream no longer applies.
    refuseLate(Queue, Capacity, Now, Step);
  }
}

/** Queues work; a full queue displaces the least important work. */
auto enqueue(admission_queue &Queue, const work_offer &Work,
             const admission_capacity &Capacity, steady_time Now)
    -> offer_result {
  auto Result = offer_result{};
  while (Queue.Queued.size() >= queueCapacity(Capacity.Limit)) {
    auto LeastImportant = firstToDisplace(Queue.Queued);
    if (LeastImportant->Work.Priority > Work.Priority) {
      Result.Decision = refused{refuse_reason::QueueFull};
      return Result;
    }
    Result.Refuse.push_back({LeastImportant->Ticket, refuse_reason::Displaced});
    Queue.Queued.erase(LeastImportant);
  }
  if (Queue.Queued.empty() && Result.Refuse.empty())
    Queue.NonEmptySince = Now;
  auto Ticket = ticket_id{++Queue.LastTicket};
  Queue.Queued.push_back({Ticket, Work, Now});
  Result.Decision = queued{Ticket};
  return Result;
}

} // namespace

auto refuseReasonName(refuse_reason Reason) -> const char * {
  switch (Reason) {
  case refuse_reason::QueueFull:
    return "queue_full";
  case refuse_reason::Displaced:
    return "displaced";
  case refuse_reason::DeadlineTooShort:
    return "deadline_too_short";
  case refuse_reason::NodeDraining:
    return "node_draining";
  case refuse_reason::UpstreamDraining:
    return "upstream_draining";
  case refuse_reason::VersionBraked:
    return "version_braked";
  case refuse_reason::ZoneOutOfService:
    return "zone_out_of_service";
  }
  return "unknown";
}

auto queueCapacity(std::uint32_t Limit) -> std::uint32_t {
  return std::max(Limit, MinQueueCapacity);
}

auto closedReason(const admission_gate &Gate) -> std::optional<refuse_reason> {
  if (Gate.VersionBraked)
    return refuse_reason::VersionBraked;
  if (Gate.ZoneOutOfService)
    return refuse_reason::ZoneOutOfService;
  if (Gate.UpstreamDraining)
    return refuse_reason::UpstreamDraining;
  if (Gate.NodeDraining)
    return refuse_reason::NodeDraining;
  return std::nullopt;
}

auto offer(admission_queue &Queue, const work_offer &Work,
           const admission_capacity &Capacity, steady_time Now)
    -> offer_result {
  if (auto Reason = closedReason(Queue.Gate))
    return {refused{*Reason}, {}};
  auto HasFreeSlot = Queue.InFlight < Capacity.Limit && Queue.Queued.empty();
  auto Wait =
      HasFreeSlot ? micros{0} : expectedWait(Queue, Work, Capacity, Now);
  if (!canFinish(Queue, Work, Wait, Capacity, Now))
    return {refused{refuse_reason::DeadlineTooShort}, {}};
  if (!HasFreeSlot)
    return enqueue(Queue, Work, Capacity, Now);
  ++Queue.InFlight;
  return {run_now{}, {}};
}

auto release(admission_queue &Queue, const admission_capacity &Capacity,
             steady_time Now) -> queue_step {
  if (Queue.InFlight > 0)
    --Queue.InFlight;
  return expire(Queue, Capacity, Now);
}

auto expire(admission_queue &Queue, const admission_capacity &Capacity,
            steady_time Now) -> queue_step {
  auto Step = queue_step{};
  refuseLate(Queue, Capacity, Now, Step);
  fillSlots(Queue, Capacity, Now, Step);
  return Step;
}

auto cancel(admission_queue &Queue, ticket_id Ticket) -> bool {
  return std::erase_if(Queue.Queued, [&](const queued_work &Entry) {
           return Entry.Ticket == Ticket;
         }) > 0;
}

auto setGate(admission_queue &Queue, const admission_gate &Gate) -> queue_step {
  auto Step = queue_step{};
  Queue.Gate = Gate;
  if (!Gate.VersionBraked)
    return Step;
  for (const auto &Entry : Queue.Queued)
    Step.Refuse.push_back({Entry.Ticket, refuse_reason::VersionBraked});
  Queue.Queued.clear();
  return Step;
}

auto isIdle(const admission_queue &Queue) -> bool {
  return Queue.InFlight == 0 && Queue.Queued.empty();
}

} // namespace sycamorelb::limits
