/** @file limits_admission_test.cpp Tests of the admission queue. */
#include "sycamorelb/limits/admission_func.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace sycamorelb;
using namespace sycamorelb::limits;

namespace {

constexpr auto Start = steady_time{micros{1'000'000'000}};

auto work(work_priority Priority, std::int64_t DeadlineMs = 10'000)
    -> work_offer {
  return {Priority, Start + millis{DeadlineMs}};
}

auto ticketOf(const offer_result &Result) -> ticket_id {
  return std::get<queued>(Result.Decision).Ticket;
}

auto reasonOf(const offer_result &Result) -> refuse_reason {
  return std::get<refused>(Result.Decision).Reason;
}

} // namespace

// Guards against lost or duplicated work: each offered call must run or be
// refused exactly once or stay queued, the calls in flight must stay within the
// limit, and the queue within its capacity.
Test(limits_admission, every_ticket_ends_once) {
  cr_assert(rc::check("ticket accounting", [] {
    auto Queue = admission_queue{};
    auto Now = Start;
    auto Waiting = std::set<ticket_id>{};
    auto Running = 0U;
    auto Apply = [&](const queue_step &Step) {
      for (auto Ticket : Step.Run)
        RC_ASSERT(Waiting.erase(Ticket) == 1U);
      for (const auto &Refusal : Step.Refuse)
        RC_ASSERT(Waiting.erase(Refusal.Ticket) == 1U);
      Running += Step.Run.size();
    };
    for (auto Step = 0; Step < 200; ++Step) {
      Now += micros{*rc::gen::inRange(0, 20'000)};
      auto Capacity = admission_capacity{*rc::gen::inRange(1U, 12U),
                                         micros{*rc::gen::inRange(0, 30'000)}};
      auto Action = *rc::gen::inRange(0, 6);
      auto Before = Running;
      if (Action < 3) {
        auto Priority = *rc::gen::element(work_priority::Speculative,
                                          work_priority::Idempotent,
                                          work_priority::NonIdempotent);
        auto Deadline = Now + micros{*rc::gen::inRange(-1000, 200'000)};
        auto Result = offer(Queue, {Priority, Deadline}, Capacity, Now);
        Apply({{}, Result.Refuse});
        Running += std::holds_alternative<run_now>(Result.Decision) ? 1 : 0;
        if (std::holds_alternative<queued>(Result.Decision))
          RC_ASSERT(Waiting.insert(ticketOf(Result)).second);
        RC_ASSERT(Queue.Queued.size() <= queueCapacity(Capacity.Limit) ||
                  std::holds_alternative<refused>(Result.Decision));
      } else if (Action == 3 && Running > 0) {
        --Running;
        --Before;
        Apply(release(Queue, Capacity, Now));
      } else if (Action == 4) {
        Apply(expire(Queue, Capacity, Now));
      } else if (!Waiting.empty()) {
        RC_ASSERT(cancel(Queue, *Waiting.begin()));
        RC_ASSERT(!cancel(Queue, *Waiting.begin()));
        Waiting.erase(Waiting.begin());
      }
      RC_ASSERT(Running <= std::max(Before, Capacity.Limit));
      RC_ASSERT(Queue.InFlight == Running);
      RC_ASSERT(Queue.Queued.size() == Waiting.size());
    }
  }));
}

// Guards against work that starts with too little time left to finish.
Test(limits_admission, late_work_is_refused) {
  auto Queue = admission_queue{};
  auto Capacity = admission_capacity{1, micros{100'000}};
  cr_assert(std::holds_alternative<run_now>(
      offer(Queue, work(work_priority::Idempotent), Capacity, Start).Decision));
  auto Short =
      offer(Queue, work(work_priority::Idempotent, 150), Capacity, Start);
  cr_assert(reasonOf(Short) == refuse_reason::DeadlineTooShort);
  auto Long =
      offer(Queue, work(work_priority::Idempotent, 250), Capacity, Start);
  auto Step = expire(Queue, Capacity, Start + millis{151});
  cr_assert(Step.Refuse.size() == 1);
  cr_assert(Step.Refuse[0].Ticket == ticketOf(Long));
}

// Guards against a latency estimate above all timeouts that refuses every call
// and is therefore never corrected.
Test(limits_admission, one_call_runs_despite_a_high_estimate) {
  auto Queue = admission_queue{};
  auto Capacity = admission_capacity{4, micros{60'000'000}};
  auto Work = work(work_priority::Idempotent, 50);
  cr_assert(std::holds_alternative<run_now>(
      offer(Queue, Work, Capacity, Start).Decision));
  cr_assert(reasonOf(offer(Queue, Work, Capacity, Start)) ==
            refuse_reason::DeadlineTooShort);
}

// Guards against a wrong order: priority first; arrival order without overload,
// newest first under overload.
Test(limits_admission, order_by_priority_and_age) {
  for (auto Overloaded : {false, true}) {
    auto Queue = admission_queue{};
    auto Capacity = admission_capacity{1, micros{0}};
    auto Offer = [&](work_priority Priority) {
      return offer(Queue, work(Priority), Capacity, Start);
    };
    Offer(work_priority::Idempotent);
    auto Hedge = ticketOf(Offer(work_priority::Speculative));
    auto First = ticketOf(Offer(work_priority::NonIdempotent));
    auto Second = ticketOf(Offer(work_priority::NonIdempotent));
    auto Now = Start + (Overloaded ? OverloadAfter : micros{0});
    auto Order = std::vector<ticket_id>{};
    for (auto Round = 0; Round < 3; ++Round)
      Order.push_back(release(Queue, Capacity, Now).Run.at(0));
    auto Expected = Overloaded ? std::vector{Second, First, Hedge}
                               : std::vector{First, Second, Hedge};
    cr_assert(Order == Expected);
  }
}

// Guards against a full queue that refuses important work in favour of hedges.
Test(limits_admission, full_queue_displaces_lower_priority) {
  auto Queue = admission_queue{};
  auto Capacity = admission_capacity{1, micros{0}};
  auto Offer = [&](work_priority Priority) {
    return offer(Queue, work(Priority), Capacity, Start);
  };
  Offer(work_priority::Idempotent);
  auto Hedge = ticketOf(Offer(work_priority::Speculative));
  for (auto Place = 1U; Place < MinQueueCapacity; ++Place)
    Offer(work_priority::NonIdempotent);
  auto Result = Offer(work_priority::Idempotent);
  cr_assert(Result.Refuse.size() == 1 && Result.Refuse[0].Ticket == Hedge);
  cr_assert(reasonOf(Offer(work_priority::Speculative)) ==
            refuse_reason::QueueFull);
}

// Guards against new work that passes a closed gate, and against a drain that
// drops queued work.
Test(limits_admission, gate_refuses_new_work) {
  auto Cases = std::map<refuse_reason, admission_gate>{
      {refuse_reason::NodeDraining, {true, false, false, false}},
      {refuse_reason::UpstreamDraining, {false, true, false, false}},
      {refuse_reason::VersionBraked, {false, false, true, false}},
      {refuse_reason::ZoneOutOfService, {false, false, false, true}}};
  for (const auto &[Reason, Gate] : Cases) {
    auto Queue = admission_queue{};
    auto Capacity = admission_capacity{1, micros{0}};
    offer(Queue, work(work_priority::Idempotent), Capacity, Start);
    offer(Queue, work(work_priority::Idempotent), Capacity, Start);
    auto Step = setGate(Queue, Gate);
    cr_assert(Step.Refuse.size() == (Gate.VersionBraked ? 1U : 0U));
    auto New =
        offer(Queue, work(work_priority::NonIdempotent), Capacity, Start);
    cr_assert(reasonOf(New) == Reason);
    cr_assert(release(Queue, Capacity, Start).Run.size() ==
              (Gate.VersionBraked ? 0U : 1U));
    release(Queue, Capacity, Start);
    cr_assert(isIdle(Queue));
  }
}
