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

static auto countPicks(const std::vector<candidate> &Candidates,
                       const pick_request &Request)
    -> std::vector<std::uint32_t> {
  auto Random = random_source(7);
  auto Counts = std::vector<std::uint32_t>(Candidates.size() + 1);
  for (auto Round = 0; Round < 200; ++Round) {
    auto Picked = pickTarget(Candidates, Request, Now, Random);
    ++Counts[Picked ? Picked->Index : Candidates.size()];
  }
  return Counts;
}

// Guards against cross-zone traffic while the own zone has free capacity.
Test(dispatch_pick, work_stays_in_its_zone_while_there_is_room) {
  auto Counts =
      countPicks({idleTarget(0, false), idleTarget(1, true)}, request());
  cr_assert_eq(Counts[1], 200U);
}

// Guards against queueing in a full zone while other zones are idle.
Test(dispatch_pick, full_zone_overflows_to_another) {
  auto Full = idleTarget(1, true);
  Full.View.Load.Running = 9;
  Full.View.Load.Queued = 40;
  auto Counts = countPicks({idleTarget(0, false), Full}, request());
  cr_assert_eq(Counts[0], 200U);
}

// Guards against sending all calls to cold targets whose rate limit is
// exhausted: such calls were refused and sent again up to five times.
Test(dispatch_pick, rate_limited_cold_target_loses_to_a_warm_one) {
  auto RateLimited = idleTarget(0, true);
  RateLimited.View.Load.Cold = true;
  RateLimited.View.Load.Wait = micros(700'000);
  RateLimited.View.Load.StartGap = micros(50'000);
  auto Free = idleTarget(1, false);
  auto Counts = countPicks({RateLimited, Free}, request());
  cr_assert_eq(Counts[1], 200U);
  cr_assert_eq(predictedWait(RateLimited.View, Now).count(), 700'000);
  cr_assert_eq(predictedWait(RateLimited.View, Now + micros(300'000)).count(),
               400'000);
  RateLimited.View.SinceReport = 2;
  cr_assert_eq(predictedWait(RateLimited.View, Now).count(), 800'000);
  cr_assert_eq(predictedWait(RateLimited.View, Now + micros(2'000'000)).count(),
               0);
}

// Guards against calls to a host whose link is saturated: the host of a zone's
// fastest target received 7 Mbit/s on its link of 10 while its neighbours
// received 1.
Test(dispatch_pick, target_on_an_idle_link_is_preferred) {
  auto Busy = idleTarget(0, true);
  Busy.View.RelativeRunTime = 0.5;
  Busy.View.Load.LinkKbps = 10'000;
  Busy.View.Load.LinkBusyPpm = 950'000;
  auto Idle = idleTarget(1, true);
  Idle.View.Load.LinkKbps = 10'000;
  auto Request = request();
  Request.Bytes = 60'000;
  cr_assert_eq(countPicks({Busy, Idle}, Request)[1], 200U);
}

// Guards against a target that fails half of its calls and answers the others
// quickly.
Test(dispatch_pick, healthy_target_is_preferred_to_a_failing_one) {
  auto Failing = idleTarget(0, true);
  Failing.View.Load.FailurePpm = 450'000;
  Failing.View.RelativeRunTime = 0.7;
  cr_assert_eq(countPicks({Failing, idleTarget(1, true)}, request())[1], 200U);
}

// Guards against avoiding a target forever because of old failures.
Test(dispatch_pick, old_failures_decay) {
  auto View = idleTarget(0, true).View;
  View.Load.FailurePpm = 800'000;
  cr_assert_float_eq(estimatedFailureShare(View, Now), 0.8, 1e-9);
  cr_assert_lt(estimatedFailureShare(View, Now + micros(9'000'000)), 0.05);
}

// Guards against further calls to hosts whose connections went silent.
Test(dispatch_pick, silent_host_is_avoided_for_longer_each_time) {
  cr_assert_eq(avoidancePeriod(0).count(), 0);
  for (auto SilentConnections = 1U; SilentConnections < 5;
       ++SilentConnections) {
    cr_assert_eq(avoidancePeriod(SilentConnections + 1).count(),
                 2 * avoidancePeriod(SilentConnections).count());
  }
  cr_assert_eq(avoidancePeriod(40).count(), avoidancePeriod(41).count());
  auto Avoided = idleTarget(0, true);
  Avoided.View.AvoidUntil = Now + micros(1);
  cr_assert_eq(countPicks({Avoided}, request())[1], 200U);
}

// Guards against keeping calls that no target can answer in the time left.
Test(dispatch_pick, no_target_where_none_can_answer_in_time) {
  auto Full = idleTarget(0, true);
  Full.View.Load.Running = 9;
  Full.View.Load.Queued = 200;
  cr_assert_eq(countPicks({Full}, request())[1], 200U);
}

// Guards against uploads that fill the link of a host until small calls time
// out: the share falls while utilization is above the threshold and recovers
// below it.
Test(dispatch_pick, bulk_share_follows_link_utilization) {
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
  auto Accepted = countPicks({Host}, Request)[0];
  cr_assert(Accepted > 2 && Accepted < 60, "%u of 200", Accepted);
  Request.Bytes = 500;
  cr_assert_eq(countPicks({Host}, Request)[0], 200U);
}

// Guards against a retry delay that exceeds the caller's time left, and against
// synchronized retries of all refused callers.
Test(dispatch_pick, retry_delay_is_bounded_and_jittered) {
  cr_assert(rc::check("retry delay", [] {
    auto Random = random_source(*rc::gen::arbitrary<std::uint64_t>());
    auto TimeLeft = micros(*rc::gen::inRange(1'000, 5'000'000));
    auto Wait = micros(*rc::gen::inRange(0, 5'000'000));
    auto Delay = retryAfter(Wait, TimeLeft, Random);
    RC_ASSERT(Delay >= micros(0));
    RC_ASSERT(Delay.count() * 3 <= TimeLeft.count());
  }));
  auto Random = random_source(1);
  auto First = retryAfter(micros(100'000), micros(2'000'000), Random);
  auto Second = retryAfter(micros(100'000), micros(2'000'000), Random);
  cr_assert_neq(First.count(), Second.count());
}
