/** @file rollout_test.cpp Tests of the decisions on traffic moves. */
#include "sycamorelb/rollout/rollout_type.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace sycamorelb;
using namespace sycamorelb::rollout;

static auto tally(std::uint32_t Calls, std::uint32_t Failures,
                  std::uint64_t RunMillis) -> route_tally {
  auto Timed = Calls - Failures;
  return {Calls, Failures, Timed, Timed * RunMillis * 1000};
}

static auto order() -> rollout_state {
  auto State = rollout_state();
  State.Order = {{"s"}, {"v2"}, millis(14'000)};
  return State;
}

// Guards against a version that fails on one route only.
Test(rollout, failing_on_one_route_is_bad) {
  auto Old = version_evidence{{{"a"}, tally(500, 2, 100)},
                              {{"b"}, tally(200, 1, 100)}};
  auto New =
      version_evidence{{{"a"}, tally(40, 0, 100)}, {{"b"}, tally(8, 4, 100)}};
  cr_assert(judge(New, Old) == verdict::Bad);
}

// Guards against a version that answers several times slower.
Test(rollout, slow_version_is_bad) {
  auto Old = version_evidence{{{"a"}, tally(500, 2, 100)}};
  auto New = version_evidence{{{"a"}, tally(10, 0, 800)}};
  cr_assert(judge(New, Old) == verdict::Bad);
}

// Guards against rolling back a good version for what hits the old one too.
Test(rollout, failures_that_the_old_version_shares_are_no_reason) {
  auto Old = version_evidence{{{"a"}, tally(500, 200, 100)}};
  auto New = version_evidence{{{"a"}, tally(40, 16, 110)}};
  cr_assert(judge(New, Old) == verdict::Good);
}

// Guards against a verdict from too few calls.
Test(rollout, few_calls_decide_nothing) {
  auto New = version_evidence{{{"a"}, tally(4, 1, 100)}};
  cr_assert(judge(New, {}) == verdict::Unclear);
}

// Guards against completing a move before the new version has carried all
// calls for a while, or without room for them.
Test(rollout, switch_needs_room_and_completion_needs_time) {
  auto State = order();
  auto Inputs = rollout_inputs();
  Inputs.Verdict = verdict::Good;
  Inputs.OldSlots = 45;
  Inputs.NewSlots = 45;
  Inputs.Elapsed = micros(4'000'000);
  cr_assert(decideRollout(State, Inputs) == rollout_step::Wait);
  Inputs.Elapsed = micros(8'000'000);
  cr_assert(decideRollout(State, Inputs) == rollout_step::Switch);
  Inputs.NewSlots = 9;
  cr_assert(decideRollout(State, Inputs) == rollout_step::Wait);
  State.Stage = rollout_stage::Switching;
  Inputs.Elapsed = micros(11'000'000);
  Inputs.SinceSwitch = micros(1'000'000);
  cr_assert(decideRollout(State, Inputs) == rollout_step::Wait);
  Inputs.SinceSwitch = micros(2'500'000);
  cr_assert(decideRollout(State, Inputs) == rollout_step::Complete);
}

// Guards against a version that fails late: evidence against it counts at any
// stage before the end, and no evidence at all ends the move in time.
Test(rollout, bad_or_unproved_versions_are_rolled_back) {
  auto State = order();
  State.Stage = rollout_stage::Switching;
  auto Inputs = rollout_inputs();
  Inputs.Verdict = verdict::Bad;
  cr_assert(decideRollout(State, Inputs) == rollout_step::RollBack);
  State.Stage = rollout_stage::Testing;
  Inputs.Verdict = verdict::Unclear;
  Inputs.Elapsed = micros(12'500'000);
  cr_assert(decideRollout(State, Inputs) == rollout_step::RollBack);
}

// Guards against nodes that disagree for good on how far an order is.
Test(rollout, progress_converges_in_any_order) {
  cr_assert(rc::check("progress", [] {
    auto Any = [] {
      auto State = order();
      State.OrderOffset = {*rc::gen::inRange<std::uint64_t>(0, 3)};
      State.Stage = static_cast<rollout_stage>(*rc::gen::inRange(1, 6));
      return State;
    };
    auto First = Any();
    auto Second = Any();
    auto Left = First;
    auto Right = Second;
    mergeRollout(Left, Second);
    mergeRollout(Right, First);
    RC_ASSERT(Left.Stage == Right.Stage);
    RC_ASSERT(Left.OrderOffset == Right.OrderOffset);
  }));
}

// Guards against calls to a version before it was ordered, after it was rolled
// back, and to the old one after the end of the move.
Test(rollout, use_of_versions) {
  auto Base = version_id{"v1"};
  auto New = version_id{"v2"};
  cr_assert(useOfVersion(New, nullptr, Base) == version_use::Excluded);
  cr_assert(useOfVersion(Base, nullptr, Base) == version_use::Serving);
  auto State = order();
  cr_assert(useOfVersion(New, &State, {}) == version_use::Trial);
  cr_assert(useOfVersion(Base, &State, {}) == version_use::Serving);
  State.Stage = rollout_stage::Braked;
  cr_assert(useOfVersion(New, &State, {}) == version_use::Excluded);
  cr_assert(useOfVersion(Base, &State, {}) == version_use::Serving);
  State.Stage = rollout_stage::Completed;
  cr_assert(useOfVersion(New, &State, {}) == version_use::Serving);
  cr_assert(useOfVersion(Base, &State, {}) == version_use::Excluded);
}

// Guards against v10 counting as older than v9.
Test(rollout, versions_compare_by_number) {
  cr_assert(isOlderVersion({"v9"}, {"v10"}));
  cr_assert_not(isOlderVersion({"v10"}, {"v9"}));
  cr_assert(isOlderVersion({"v1"}, {"v1.1"}));
  cr_assert_not(isOlderVersion({"v2"}, {"v2"}));
}

// Guards against a bad version that goes on getting calls until a decision is
// taken elsewhere; one that is good must not be stopped.
Test(rollout, brake_acts_on_few_failures) {
  auto Window = brake_window();
  auto Stopped = false;
  for (auto Call = 0; Call < 8; ++Call) {
    Stopped = Stopped || noteAndCheckBrake(Window, Call % 2 == 0);
  }
  cr_assert(Stopped);
  Window = brake_window();
  for (auto Call = 0; Call < 500; ++Call) {
    cr_assert_not(noteAndCheckBrake(Window, Call % 50 == 0));
  }
}
