/** @file dispatch_pick_test.cpp Tests of the choice of a target. */
#include "sycamorelb/dispatch/pick.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace sycamorelb;
using namespace sycamorelb::dispatch;

static constexpr auto Now = steady_time(micros(10'000'000));

/** @return an idle target with 9 slots and a mean run time of 100 ms. */
static auto idleTarget(std::uint32_t Index, bool SameZone) -> candidate {
  auto Candidate = candidate{Index, SameZone, false, {}};
  Candidate.View.Load = {0, 0, 9, micros(100'000), 0, false, 0, 0, 1'000'000};
  Candidate.View.ReportedAt = Now;
  return Candidate;
}

static auto request() -> pick_request {
  return {micros(100'000), micros(500'000), micros(1'200'000), 0};
}

static auto picks(const std::vector<candidate> &Candidates,
                  const pick_request &Request) -> std::vector<std::uint32_t> {
  auto Random = random_source(7);
  auto Counts = std::vector<std::uint32_t>(Candidates.size() + 1);
  for (auto Round = 0; Round < 200; ++Round) {
    auto Picked = pickTarget(Candidates, Request, Now, Random);
    ++Counts[Picked ? Picked->Index : Candidates.size()];
  }
  return Counts;
}

// Guards against bytes between zones while the own zone has room.
Test(dispatch_pick, work_stays_in_its_zone_while_there_is_room) {
  auto Counts = picks({idleTarget(0, false), idleTarget(1, true)}, request());
  cr_assert_eq(Counts[1], 200U);
}

// Guards against a zone that queues while the others are idle.
Test(dispatch_pick, full_zone_spills) {
  auto Full = idleTarget(1, true);
  Full.View.Load.Running = 9;
  Full.View.Load.Queued = 40;
  auto Counts = picks({idleTarget(0, false), Full}, request());
  cr_assert_eq(Counts[0], 200U);
}

// Guards against calls that all go to cold targets whose rate is used up: they
// were sent on, refused and offered again up to five times.
Test(dispatch_pick, cold_target_without_turn_is_left_for_another) {
  auto Used = idleTarget(0, true);
  Used.View.Load.Cold = true;
  Used.View.Load.Wait = micros(700'000);
  Used.View.Load.StartGap = micros(50'000);
  auto Free = idleTarget(1, false);
  auto Counts = picks({Used, Free}, request());
  cr_assert_eq(Counts[1], 200U);
  cr_assert_eq(predictedWait(Used.View, Now).count(), 700'000);
  cr_assert_eq(predictedWait(Used.View, Now + micros(300'000)).count(),
               400'000);
  Used.View.SinceReport = 2;
  cr_assert_eq(predictedWait(Used.View, Now).count(), 800'000);
  cr_assert_eq(predictedWait(Used.View, Now + micros(2'000'000)).count(), 0);
}

// Guards against calls to a host whose link is full: the fastest target of a
// zone got 7 of its 10 Mbit/s while its neighbours got 1.
Test(dispatch_pick, busy_link_is_left_for_an_idle_one) {
  auto Busy = idleTarget(0, true);
  Busy.View.Slowness = 0.5;
  Busy.View.Load.LinkKbps = 10'000;
  Busy.View.Load.LinkBusyPpm = 950'000;
  auto Idle = idleTarget(1, true);
  Idle.View.Load.LinkKbps = 10'000;
  auto Request = request();
  Request.Bytes = 60'000;
  cr_assert_eq(picks({Busy, Idle}, Request)[1], 200U);
}

// Guards against a target that fails half of its calls and answers the others
// quickly.
Test(dispatch_pick, failing_target_is_left_for_a_sound_one) {
  auto Failing = idleTarget(0, true);
  Failing.View.Load.FailurePpm = 450'000;
  Failing.View.Slowness = 0.7;
  cr_assert_eq(picks({Failing, idleTarget(1, true)}, request())[1], 200U);
}

// Guards against shunning a target for ever for what it did long ago.
Test(dispatch_pick, old_failures_fade) {
  auto View = idleTarget(0, true).View;
  View.Load.FailurePpm = 800'000;
  cr_assert_float_eq(believedFailure(View, Now), 0.8, 1e-9);
  cr_assert_lt(believedFailure(View, Now + micros(9'000'000)), 0.05);
}

// Guards against sending on to hosts whose connections went silent.
Test(dispatch_pick, silent_host_is_avoided_for_longer_each_time) {
  cr_assert_eq(avoidanceAfter(0).count(), 0);
  for (auto Silences = 1U; Silences < 5; ++Silences) {
    cr_assert_eq(avoidanceAfter(Silences + 1).count(),
                 2 * avoidanceAfter(Silences).count());
  }
  cr_assert_eq(avoidanceAfter(40).count(), avoidanceAfter(41).count());
  auto Avoided = idleTarget(0, true);
  Avoided.View.AvoidUntil = Now + micros(1);
  cr_assert_eq(picks({Avoided}, request())[1], 200U);
}

// Guards against holding calls that no target can answer in the time left.
Test(dispatch_pick, no_target_where_none_can_answer_in_time) {
  auto Full = idleTarget(0, true);
  Full.View.Load.Running = 9;
  Full.View.Load.Queued = 200;
  cr_assert_eq(picks({Full}, request())[1], 200U);
}

// Guards against uploads that fill the link of a host until small calls time
// out: the share falls while the link is above its target and recovers below.
Test(dispatch_pick, bulk_share_follows_the_use_of_the_link) {
  auto Share = 1.0;
  for (auto Round = 0; Round < 20; ++Round) {
    Share = adaptBulkShare(Share, 1.0);
  }
  cr_assert_lt(Share, 0.1);
  cr_assert_gt(Share, 0.0);
  for (auto Round = 0; Round < 40; ++Round) {
    Share = adaptBulkShare(Share, 0.4);
  }
  cr_assert_float_eq(Share, 1.0, 1e-9);
  auto Host = idleTarget(0, true);
  Host.View.Load.BulkPpm = 100'000;
  auto Request = request();
  Request.Bytes = 60'000;
  auto Taken = picks({Host}, Request)[0];
  cr_assert(Taken > 2 && Taken < 60, "%u of 200", Taken);
  Request.Bytes = 500;
  cr_assert_eq(picks({Host}, Request)[0], 200U);
}

// Guards against a time to return that the caller would not wait for, and
// against all refused callers returning together.
Test(dispatch_pick, return_time_is_bounded_and_spread) {
  cr_assert(rc::check("return time", [] {
    auto Random = random_source(*rc::gen::arbitrary<std::uint64_t>());
    auto Left = micros(*rc::gen::inRange(1'000, 5'000'000));
    auto Wait = micros(*rc::gen::inRange(0, 5'000'000));
    auto Return = retryAfter(Wait, Left, Random);
    RC_ASSERT(Return >= micros(0));
    RC_ASSERT(Return.count() * 3 <= Left.count());
  }));
  auto Random = random_source(1);
  auto First = retryAfter(micros(100'000), micros(2'000'000), Random);
  auto Second = retryAfter(micros(100'000), micros(2'000'000), Random);
  cr_assert_neq(First.count(), Second.count());
}
