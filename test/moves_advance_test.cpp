/** @file moves_advance_test.cpp Decisions of the drivers of a move: steps and
 * verdicts. */
#include "moves_sim.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace sycamorelb;
using namespace sycamorelb::moves;
using config::move_phase;

static auto goodInput() -> move_input {
  auto Input = move_input{};
  Input.Capacity = {24, 24, 10};
  Input.Information = 1e6;
  return Input;
}

static auto newMove(std::int64_t Seconds) -> config::move_state {
  auto Scenario = sim::scenario{};
  Scenario.Seconds = int(Seconds);
  return sim::startState(Scenario, 0);
}

// Two drivers with stale views of the log propose records under random inputs.
// Guards against a step taken twice, a share that grows after an alarm or
// beyond the capacity of the warm upstreams, and more than one verdict.
Test(moves_advance, safe_with_two_drivers_and_any_inputs) {
  cr_assert(rc::check("two drivers", [] {
    auto State = newMove(120);
    auto DriverStates = std::array<driver_state, 2>{};
    auto Views = std::array<config::move_state, 2>{State, State};
    auto IsAlarmed = false;
    auto Verdicts = 0;
    auto Calls = std::uint64_t{0};
    for (auto Second = std::int64_t{0}; Second < 200; ++Second) {
      auto Driver = *rc::gen::inRange<std::size_t>(0, 2);
      auto Input = goodInput();
      Calls += *rc::gen::inRange<std::uint64_t>(0, 100);
      Input.NewCalls = Calls;
      Input.Capacity.WarmNewLimit = *rc::gen::inRange(0U, 24U);
      Input.LogAvailable = *rc::gen::inRange(0, 4) > 0;
      IsAlarmed = IsAlarmed || *rc::gen::inRange(0, 100) == 0;
      if (IsAlarmed) {
        Input.Alarm = move_alarm{{}, "failures", 100};
      }
      if (*rc::gen::inRange(0, 3) > 0) {
        Views[Driver] = State;
      }
      if (*rc::gen::inRange(0, 20) == 0) {
        DriverStates[Driver] = {};
      }
      auto Decision = decideNext(Views[Driver], DriverStates[Driver], Input,
                                 {Second * 1000});
      auto Before = State;
      sim::applyDecision(State, Decision);
      RC_ASSERT(State.Step <= Before.Step + 1);
      // The verdict done sets the full share.
      RC_ASSERT(State.Phase == move_phase::Done || State.Share <= LargestShare);
      if (State.Share > Before.Share) {
        RC_ASSERT(!IsAlarmed);
        RC_ASSERT(Input.LogAvailable);
        RC_ASSERT(State.Share <= capacityShare(Input.Capacity));
      }
      Verdicts += State.Phase != Before.Phase ? 1 : 0;
    }
    RC_ASSERT(Verdicts == 1);
  }));
}

// Guards against moves of good versions that miss their deadline: short and
// long moves at 40 or more calls/s, with a new driver and an outage of the log.
Test(moves_advance, good_moves_finish_by_their_deadline) {
  cr_assert(rc::check("in time", [] {
    auto Seconds = *rc::gen::inRange<std::int64_t>(60, 2'000);
    auto Rate = *rc::gen::inRange(40, 2'000);
    auto Change = *rc::gen::inRange<std::int64_t>(0, Seconds);
    auto OutageFrom = *rc::gen::inRange<std::int64_t>(0, Seconds / 2);
    auto OutageTo = OutageFrom + Seconds / 5;
    auto State = newMove(Seconds);
    auto DriverState = driver_state{};
    auto Calls = 0.0;
    auto Second = std::int64_t{0};
    for (; State.Phase == move_phase::Running; ++Second) {
      RC_ASSERT(Second <= Seconds * 6 / 5 + 1);
      auto Input = goodInput();
      Calls += Rate * (State.Share.Value / 1e6);
      Input.NewCalls = std::uint64_t(Calls);
      Input.Information = Calls / 2;
      Input.LogAvailable = Second < OutageFrom || Second >= OutageTo;
      if (Second == Change) {
        DriverState = {};
      }
      auto Decision = decideNext(State, DriverState, Input, {Second * 1000});
      if (!Input.LogAvailable) {
        RC_ASSERT(std::holds_alternative<move_hold>(Decision));
      }
      sim::applyDecision(State, Decision);
    }
    RC_ASSERT(State.Phase == move_phase::Done);
    RC_ASSERT(State.Share == FullShare);
  }));
}

// Guards against moves that are done without enough calls on the new version,
// and against a wrong reason in the verdict.
Test(moves_advance, insufficient_evidence_is_taken_back_at_the_deadline) {
  auto Decide = [](std::uint64_t Calls, std::int64_t Second) {
    auto State = newMove(100);
    auto DriverState = driver_state{};
    auto Input = goodInput();
    Input.NewCalls = Calls;
    return decideNext(State, DriverState, Input, {Second * 1000});
  };
  cr_assert(std::holds_alternative<move_hold>(Decide(MinimumCalls - 1, 99)));
  auto TooFewCalls = Decide(MinimumCalls - 1, 100);
  cr_assert(std::get<move_verdict>(TooFewCalls) ==
            (move_verdict{move_phase::TakenBack, "insufficient_evidence"}));
  auto Unfinished = Decide(1'000, 100);
  cr_assert(std::get<move_verdict>(Unfinished) ==
            (move_verdict{move_phase::TakenBack, "not_finished_in_time"}));
}

// Guards against ignoring a brake of another node at the largest share or after
// the deadline.
Test(moves_advance, a_brake_by_any_node_takes_the_move_back) {
  auto State = newMove(100);
  State.Share = LargestShare;
  auto DriverState = driver_state{};
  auto Input = goodInput();
  Input.NewCalls = 1'000;
  Input.Brake = "burst";
  auto Decision = decideNext(State, DriverState, Input, {200'000});
  cr_assert(std::get<move_verdict>(Decision) ==
            (move_verdict{move_phase::TakenBack, "burst"}));
}

// Guards against a verdict done before the observation time at the largest
// share has passed.
Test(moves_advance, the_largest_share_is_observed_before_done) {
  auto State = newMove(600);
  State.Share = LargestShare;
  auto DriverState = driver_state{};
  auto Input = goodInput();
  Input.NewCalls = 10'000;
  auto Observation = observationTime(State.Move, State.StartedAt);
  cr_assert(Observation == millis(60'000));
  auto At = [&](std::int64_t Ms) {
    return decideNext(State, DriverState, Input, {Ms});
  };
  cr_assert(std::holds_alternative<move_hold>(At(100'000)));
  cr_assert(std::holds_alternative<move_hold>(At(159'999)));
  cr_assert(std::holds_alternative<move_verdict>(At(160'000)));
}

// Guards against a running move without a control group on the old version, and
// against a verdict done below the largest share: replay rejects both.
Test(moves_advance, replay_rejects_shares_above_the_largest) {
  auto State = newMove(600);
  auto Above = share_ppm{LargestShare.Value + 1};
  cr_assert(checkStep(State, {1, Above}).has_value());
  cr_assert(!checkStep(State, {1, LargestShare}).has_value());
  auto Done = move_verdict{move_phase::Done, ""};
  State.Share = share_ppm{LargestShare.Value - 1};
  cr_assert(checkVerdict(State, Done).has_value());
  State.Share = LargestShare;
  cr_assert(!checkVerdict(State, Done).has_value());
}

// The verdict done moves all calls at once. Guards against it while the warm
// upstreams of the new version can serve the largest share only.
Test(moves_advance, done_waits_for_the_capacity_of_all_calls) {
  auto State = newMove(600);
  State.Share = LargestShare;
  auto DriverState = driver_state{};
  auto Input = goodInput();
  Input.NewCalls = 10'000;
  Input.Capacity = {10, 24, 8.5};
  cr_assert(capacityShare(Input.Capacity) >= LargestShare);
  auto At = [&](std::int64_t Ms) {
    return decideNext(State, DriverState, Input, {Ms});
  };
  cr_assert(std::holds_alternative<move_hold>(At(100'000)));
  cr_assert(std::holds_alternative<move_hold>(At(300'000)));
  cr_assert(std::get<move_verdict>(At(600'000)) ==
            (move_verdict{move_phase::TakenBack, "insufficient_capacity"}));
  Input.Capacity.WarmOldLimit = 0;
  cr_assert(std::get<move_verdict>(At(600'000)) ==
            (move_verdict{move_phase::Done, ""}));
}
