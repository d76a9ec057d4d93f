/** @file dispatch_cold_test.cpp Tests of the rate of calls to a cold target. */
#include "sycamorelb/dispatch/cold_rate.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <vector>

using namespace sycamorelb;
using namespace sycamorelb::dispatch;

static auto at(std::int64_t Micros) -> steady_time {
  return steady_time(micros(Micros));
}

// Guards against more calls in any second than a cold target bears, at any
// phase of the window.
Test(dispatch_cold, no_second_holds_more_than_the_rate) {
  cr_assert(rc::check("sliding second", [] {
    auto Rate = cold_rate();
    auto PerSecond = *rc::gen::inRange(1, 30);
    auto Sent = std::vector<std::int64_t>();
    auto Now = std::int64_t{0};
    for (auto Step = 0; Step < 200; ++Step) {
      Now += *rc::gen::inRange(0, 60'000);
      if (nextColdCall(Rate, PerSecond, at(Now)) <= at(Now)) {
        noteCall(Rate, at(Now));
        Sent.push_back(Now);
      }
    }
    for (auto First = std::size_t{0}; First < Sent.size(); ++First) {
      auto Count = 0;
      for (auto Each : Sent) {
        Count += Each >= Sent[First] && Each < Sent[First] + 1'000'000 ? 1 : 0;
      }
      RC_ASSERT(Count <= PerSecond);
    }
  }));
}

// Guards against targets that come back cold with most of their capacity
// unused, and against one that gets more than the deployment allows.
Test(dispatch_cold, allowance_uses_the_bound_but_stays_below) {
  cr_assert(coldAllowance(12, 1.5, 8) >= 20);
  cr_assert(coldAllowance(12, 1.5, 8) <= 24);
  cr_assert(coldAllowance(12, 1.0, 0) >= 12);
  cr_assert_eq(static_cast<int>(coldAllowance(0, 1.5, 8)), 0);
}

// Guards against a restarted node that sends a full second's calls on top of
// those of its former process.
Test(dispatch_cold, restarted_node_waits_for_a_whole_window) {
  auto Rate = cold_rate();
  assumeFull(Rate, 12, at(0));
  cr_assert(nextColdCall(Rate, 12, at(0)) >= at(1'000'000));
}

// Guards against what broke onapp-guate trouble-1 (FAILBACK, 39 calls of 38): a
// target that got the calls of a warm one a moment before it was warm.
Test(dispatch_cold, target_counts_as_cold_a_little_longer_than_it_says) {
  cr_assert(coldEnd(at(0), micros(1'000)) >= at(251'000));
  cr_assert_eq(coldEnd(at(7), micros(0)).time_since_epoch().count(), 7);
}

// Guards against waits that are told too short or too long: the starts must
// come at the times that the rate allows.
Test(dispatch_cold, told_waits_are_those_of_the_rate) {
  cr_assert(rc::check("waits", [] {
    auto Rate = cold_rate();
    auto Now = std::int64_t{0};
    for (auto Step = *rc::gen::inRange(0, 30); Step > 0; --Step) {
      Now += *rc::gen::inRange(0, 100'000);
      noteCall(Rate, at(Now));
    }
    auto Waits = coldStartWaits(Rate, 12, at(Now));
    RC_ASSERT(Waits.size() == 12U);
    for (auto Wait : Waits) {
      auto Start = std::max(at(Now), nextColdCall(Rate, 12, at(Now)));
      RC_ASSERT(Start == at(Now) + Wait);
      noteCall(Rate, Start);
    }
  }));
}

// Guards against a rate limit that forgets to let calls through again.
Test(dispatch_cold, window_opens_again) {
  auto Rate = cold_rate();
  for (auto Index = 0; Index < 12; ++Index) {
    noteCall(Rate, at(std::int64_t{Index} * 1000));
  }
  cr_assert(nextColdCall(Rate, 12, at(20'000)) > at(1'000'000));
  cr_assert(nextColdCall(Rate, 12, at(1'060'000)) <= at(1'060'000));
}
