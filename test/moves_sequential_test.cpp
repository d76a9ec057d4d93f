/** @file moves_sequential_test.cpp Error rates of the sequential test over
 * whole simulated moves with fixed seeds. */
#include "moves_sim.h"

#include <criterion/criterion.h>
#include <functional>
#include <rapidcheck.h>

using namespace sycamorelb;
using namespace sycamorelb::moves;
using sim::scenario;

/** @return how many of Runs moves ended with an alarm. */
static auto countAlarms(const char *Name, const scenario &Scenario, int Runs)
    -> int {
  auto Alarms = 0;
  for (auto Run = 0; Run < Runs; ++Run) {
    auto Result = sim::run(Scenario, 1000 + std::uint64_t(Run));
    Alarms += Result.Alarm.has_value() ? 1 : 0;
    auto IsBack = Result.State.Phase == config::move_phase::TakenBack;
    cr_assert(IsBack == Result.Alarm.has_value(), "%s, run %d: %s", Name, Run,
              Result.State.Reason.c_str());
  }
  return Alarms;
}

using change_func = std::function<void(scenario &)>;

/** Checks a case with few calls and with many; returns the alarms of each. */
static auto fewAndMany(const char *Name, int Runs, const change_func &Change)
    -> std::array<int, 2> {
  auto Scenario = scenario{};
  Change(Scenario);
  auto Few = countAlarms(Name, Scenario, Runs);
  Scenario.CallsPerSecond = 400;
  return {Few, countAlarms(Name, Scenario, Runs)};
}

// At a rate of 1 %, 7 or more alarms in 200 moves have a probability of 0.4 %.
static void expectQuiet(const char *Name, const change_func &Change) {
  auto [Few, Many] = fewAndMany(Name, 200, Change);
  cr_assert(Few <= 6 && Many <= 6, "%s: %d and %d alarms", Name, Few, Many);
}

// At a miss rate of 5 %, fewer than 86 alarms in 100 have a probability below
// 0.1 %; the margin leaves the verdict to the fault, not to the seed.
static void expectFound(const char *Name, const change_func &Change) {
  auto [Few, Many] = fewAndMany(Name, 100, Change);
  cr_assert(Few >= 90 && Many >= 90, "%s: %d and %d found", Name, Few, Many);
}

// Guards against a good version that is taken back.
Test(moves_test, equal_versions_do_not_alarm) {
  expectQuiet("equal", [](auto &S) { S.LoadSwing = 0.6; });
  expectQuiet("heavy tail", [](auto &S) {
    S.Spread = 1.5;
    S.LoadSwing = 0.5;
    S.GiveUpMs = 100;
  });
}

// Guards against multiplicity of routes, a high failure ratio of both versions
// and lost reports raising the false alarm rate.
Test(moves_test, equal_versions_with_routes_and_loss_do_not_alarm) {
  expectQuiet("8 routes", [](auto &S) {
    S.Routes = 8;
    S.OldFailures = 0.02;
  });
  expectQuiet("failures and loss", [](auto &S) {
    S.OldFailures = 0.05;
    S.Loss = 0.4;
  });
}

// Guards against blaming the new version for cold upstreams, for an outage that
// both versions share, and for a slightly different utilisation.
Test(moves_test, faults_of_both_versions_do_not_alarm) {
  expectQuiet("cold", [](auto &S) { S.ColdCalls = 0.3; });
  expectQuiet("3 % slower", [](auto &S) { S.Slowdown = 1.03; });
  expectQuiet("shared outage", [](auto &S) { S.SharedOutage = 0.8; });
}

// Guards against misses of the smallest effects the test is designed for.
Test(moves_test, finds_more_failures) {
  expectFound("+5 points", [](auto &S) { S.AddedFailures = 0.05; });
  expectFound("+5 points on 5 %", [](auto &S) {
    S.AddedFailures = 0.05;
    S.OldFailures = 0.05;
  });
  expectFound("+5 points, new driver", [](auto &S) {
    S.AddedFailures = 0.05;
    S.DriverChange = 30;
  });
}

// Guards against misses of slow versions, also where callers leave early and
// the latency has a heavy tail.
Test(moves_test, finds_slowness) {
  expectFound("x1.5", [](auto &S) { S.Slowdown = 1.5; });
  expectFound("x1.5, heavy tail", [](auto &S) {
    S.Slowdown = 1.5;
    S.Spread = 1.2;
  });
  expectFound("x1.5, callers leave", [](auto &S) {
    S.Slowdown = 1.5;
    S.GiveUpMs = 40;
  });
}

// Guards against faults diluted by other routes or by a good beginning.
Test(moves_test, finds_partial_and_late_faults) {
  expectFound("one of 8 routes", [](auto &S) {
    S.Routes = 8;
    S.BadRoute = 1;
    S.AddedFailures = 0.2;
  });
  expectFound("only under load", [](auto &S) {
    S.BadAboveShare = 0.35;
    S.AddedFailures = 0.1;
  });
  auto Late = scenario{};
  Late.BadFromSecond = 100;
  Late.AddedFailures = 0.1;
  cr_assert(countAlarms("late", Late, 100) >= 90);
}

// Guards against a version that turns bad at the largest share, before the
// verdict.
Test(moves_test, finds_faults_at_the_largest_share) {
  expectFound("failures", [](auto &S) {
    S.BadFromLargest = 1;
    S.AddedFailures = 0.2;
  });
  expectFound("slow", [](auto &S) {
    S.BadFromLargest = 20;
    S.Slowdown = 3;
  });
  expectFound("+5 points", [](auto &S) {
    S.BadFromLargest = 1;
    S.AddedFailures = 0.05;
  });
  expectFound("x1.5", [](auto &S) {
    S.BadFromLargest = 1;
    S.Slowdown = 1.5;
  });
}

// Guards against a bad version that passes because the old version lost its
// upstreams, so that no calls of the same period exist, and against a good
// version that is taken back for that loss.
Test(moves_test, finds_faults_without_old_upstreams) {
  expectFound("failures", [](auto &S) {
    S.OldLostAtLargest = 10;
    S.BadFromLargest = 15;
    S.AddedFailures = 0.2;
  });
  expectFound("slow", [](auto &S) {
    S.OldLostAtLargest = 10;
    S.BadFromLargest = 15;
    S.Slowdown = 3;
  });
  expectQuiet("good", [](auto &S) { S.OldLostAtLargest = 10; });
}

// Guards against a good version taken back for an outage or a slowdown that
// both versions share while the largest share is observed.
Test(moves_test, shared_faults_at_the_largest_share_do_not_alarm) {
  expectQuiet("shared outage", [](auto &S) {
    S.SharedAtLargest = true;
    S.SharedFrom = 20;
    S.SharedOutage = 0.8;
  });
  expectQuiet("shared outage, 8 routes", [](auto &S) {
    S.Routes = 8;
    S.SharedAtLargest = true;
    S.SharedFrom = 20;
    S.SharedOutage = 0.8;
  });
  expectQuiet("shared slowdown", [](auto &S) {
    S.SharedAtLargest = true;
    S.SharedFrom = 20;
    S.SharedSlowdown = 3;
  });
}

// Guards against a slow reaction to a plain burst of failures: with 2 new calls
// a second, 70 % failures must be seen within 12 s in 19 of 20 moves.
Test(moves_test, a_burst_brakes_at_once) {
  auto Burst = scenario{};
  Burst.AddedFailures = 0.7;
  auto Fast = 0;
  for (auto Run = 0; Run < 100; ++Run) {
    auto Result = sim::run(Burst, 1000 + std::uint64_t(Run));
    Fast += Result.Alarm && Result.Second <= 12 ? 1 : 0;
  }
  cr_assert(Fast >= 95, "%d of 100 within 12 s", Fast);
}

// Guards against the example of the design: 5 of the first 8 calls fail while
// the old version is healthy.
Test(moves_test, five_failures_of_the_first_eight_calls_alarm) {
  auto Merged = merged_evidence{};
  auto Test = test_state{};
  auto Plan = test_plan{{0}, {600'000}, 1};
  auto &Total = Merged.Totals[route_id{"r"}];
  Total[0].Calls = 100;
  advanceTest(Test, Merged, Plan, 0, {10'000});
  Total[0].Calls = 150;
  Total[1].Calls = 8;
  Total[1].Failures = 5;
  advanceTest(Test, Merged, Plan, 0, {11'000});
  Total[0].Calls = 200;
  advanceTest(Test, Merged, Plan, 0, {12'000});
  cr_assert(Test.Alarm.has_value());
  cr_assert(Test.Alarm->Reason == "burst");
}

// Guards against a wrong normaliser: the mean of an e-value under its null
// hypothesis, summed over all tables with the same margins, must be 1.
Test(moves_test, table_evidence_is_an_e_value) {
  cr_assert(rc::check("mean of table evidence", [] {
    auto New = *rc::gen::inRange<std::uint64_t>(1, 40);
    auto Old = *rc::gen::inRange<std::uint64_t>(1, 400);
    auto Hits = *rc::gen::inRange<std::uint64_t>(0, New + Old + 1);
    auto Null = *rc::gen::element(1.0, 1.2);
    auto Alternative = *rc::gen::element(1.5, 4.0, 16.0);
    auto Choose = [](double From, double Count) {
      return std::lgamma(From + 1) - std::lgamma(Count + 1) -
             std::lgamma(From - Count + 1);
    };
    auto Weights = 0.0;
    auto Mean = 0.0;
    for (auto X = Hits > Old ? Hits - Old : 0; X <= std::min(Hits, New); ++X) {
      auto Weight = std::exp(Choose(double(New), double(X)) +
                             Choose(double(Old), double(Hits - X)) +
                             double(X) * std::log(Null) -
                             Choose(double(New + Old), double(Hits)));
      Weights += Weight;
      Mean += Weight * std::exp(logTableEvidence(X, New, Hits - X, Old, Null,
                                                 Alternative));
    }
    RC_ASSERT(std::abs(Mean / Weights - 1) < 1e-6);
  }));
}
