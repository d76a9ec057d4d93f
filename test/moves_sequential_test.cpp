/** @file moves_sequential_test.cpp Error rates of the sequential test over
 * complete simulated moves with fixed seeds. */
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
    auto IsTakenBack = Result.State.Phase == config::move_phase::TakenBack;
    cr_assert(IsTakenBack == Result.Alarm.has_value(), "%s, run %d: %s", Name,
              Run, Result.State.Reason.c_str());
  }
  return Alarms;
}

using change_func = std::function<void(scenario &)>;

/** @return the alarms at 40 and at 400 calls/s. */
static auto countAtBothRates(const char *Name, int Runs,
                             const change_func &Change) -> std::array<int, 2> {
  auto Scenario = scenario{};
  Change(Scenario);
  auto AtLowRate = countAlarms(Name, Scenario, Runs);
  Scenario.CallsPerSecond = 400;
  return {AtLowRate, countAlarms(Name, Scenario, Runs)};
}

// At a false alarm rate of 1 %, 7 or more alarms in 200 moves have a
// probability of 0.4 %.
static void expectNoAlarms(const char *Name, const change_func &Change) {
  auto [AtLowRate, AtHighRate] = countAtBothRates(Name, 200, Change);
  cr_assert(AtLowRate <= 6 && AtHighRate <= 6, "%s: %d and %d alarms", Name,
            AtLowRate, AtHighRate);
}

// At a miss rate of 5 %, fewer than 86 alarms in 100 moves have a probability
// below 0.1 %.
static void expectDetected(const char *Name, const change_func &Change) {
  auto [AtLowRate, AtHighRate] = countAtBothRates(Name, 100, Change);
  cr_assert(AtLowRate >= 90 && AtHighRate >= 90, "%s: %d and %d found", Name,
            AtLowRate, AtHighRate);
}

// Guards against false alarms for versions of equal quality.
Test(moves_test, equal_versions_do_not_alarm) {
  expectNoAlarms("equal", [](auto &S) { S.LoadSwing = 0.6; });
  expectNoAlarms("heavy tail", [](auto &S) {
    S.Spread = 1.5;
    S.LoadSwing = 0.5;
    S.GiveUpMs = 100;
  });
}

// Guards against false alarms from multiple comparisons over routes, from a
// high failure ratio of both versions and from lost reports.
Test(moves_test, equal_versions_with_routes_and_loss_do_not_alarm) {
  expectNoAlarms("8 routes", [](auto &S) {
    S.Routes = 8;
    S.OldFailures = 0.02;
  });
  expectNoAlarms("failures and loss", [](auto &S) {
    S.OldFailures = 0.05;
    S.Loss = 0.4;
  });
}

// Guards against false alarms from cold upstreams, an outage of both versions
// and a slightly different utilisation.
Test(moves_test, faults_of_both_versions_do_not_alarm) {
  expectNoAlarms("cold", [](auto &S) { S.ColdCalls = 0.3; });
  expectNoAlarms("3 % slower", [](auto &S) { S.Slowdown = 1.03; });
  expectNoAlarms("shared outage", [](auto &S) { S.SharedOutage = 0.8; });
}

// Guards against missing the smallest increase of failures that the test is
// designed for.
Test(moves_test, finds_more_failures) {
  expectDetected("+5 points", [](auto &S) { S.AddedFailures = 0.05; });
  expectDetected("+5 points on 5 %", [](auto &S) {
    S.AddedFailures = 0.05;
    S.OldFailures = 0.05;
  });
  expectDetected("+5 points, new driver", [](auto &S) {
    S.AddedFailures = 0.05;
    S.DriverChange = 30;
  });
}

// Guards against missing a slow version, also if callers disconnect early or
// the latency is heavy-tailed.
Test(moves_test, finds_slow_versions) {
  expectDetected("x1.5", [](auto &S) { S.Slowdown = 1.5; });
  expectDetected("x1.5, heavy tail", [](auto &S) {
    S.Slowdown = 1.5;
    S.Spread = 1.2;
  });
  expectDetected("x1.5, callers leave", [](auto &S) {
    S.Slowdown = 1.5;
    S.GiveUpMs = 40;
  });
}

// Guards against missing a fault of one route, of high load only, or one that
// begins late.
Test(moves_test, finds_partial_and_late_faults) {
  expectDetected("one of 8 routes", [](auto &S) {
    S.Routes = 8;
    S.BadRoute = 1;
    S.AddedFailures = 0.2;
  });
  expectDetected("only under load", [](auto &S) {
    S.BadAboveShare = 0.35;
    S.AddedFailures = 0.1;
  });
  auto Late = scenario{};
  Late.BadFromSecond = 100;
  Late.AddedFailures = 0.1;
  cr_assert(countAlarms("late", Late, 100) >= 90);
}

// Guards against missing a fault that begins at the largest share, before the
// verdict.
Test(moves_test, finds_faults_at_the_largest_share) {
  expectDetected("failures", [](auto &S) {
    S.BadFromLargest = 1;
    S.AddedFailures = 0.2;
  });
  expectDetected("slow", [](auto &S) {
    S.BadFromLargest = 20;
    S.Slowdown = 3;
  });
  expectDetected("+5 points", [](auto &S) {
    S.BadFromLargest = 1;
    S.AddedFailures = 0.05;
  });
  expectDetected("x1.5", [](auto &S) {
    S.BadFromLargest = 1;
    S.Slowdown = 1.5;
  });
}

// When the old version loses its upstreams, no concurrent old calls exist.
// Guards against a missed fault of the new version, and against a false alarm.
Test(moves_test, finds_faults_without_old_upstreams) {
  expectDetected("failures", [](auto &S) {
    S.OldLostAtLargest = 10;
    S.BadFromLargest = 15;
    S.AddedFailures = 0.2;
  });
  expectDetected("slow", [](auto &S) {
    S.OldLostAtLargest = 10;
    S.BadFromLargest = 15;
    S.Slowdown = 3;
  });
  expectNoAlarms("good", [](auto &S) { S.OldLostAtLargest = 10; });
}

// Guards against false alarms from an outage or a slowdown of both versions
// during the observation of the largest share.
Test(moves_test, shared_faults_at_the_largest_share_do_not_alarm) {
  expectNoAlarms("shared outage", [](auto &S) {
    S.SharedAtLargest = true;
    S.SharedFrom = 20;
    S.SharedOutage = 0.8;
  });
  expectNoAlarms("shared outage, 8 routes", [](auto &S) {
    S.Routes = 8;
    S.SharedAtLargest = true;
    S.SharedFrom = 20;
    S.SharedOutage = 0.8;
  });
  expectNoAlarms("shared slowdown", [](auto &S) {
    S.SharedAtLargest = true;
    S.SharedFrom = 20;
    S.SharedSlowdown = 3;
  });
}

// Guards against a slow reaction to a burst of failures: at 2 new calls/s, 70 %
// failures must raise an alarm within 12 s in 19 of 20 moves.
Test(moves_test, a_failure_burst_alarms_within_12_s) {
  auto Burst = scenario{};
  Burst.AddedFailures = 0.7;
  auto DetectedInTime = 0;
  for (auto Run = 0; Run < 100; ++Run) {
    auto Result = sim::run(Burst, 1000 + std::uint64_t(Run));
    DetectedInTime += Result.Alarm && Result.Second <= 12 ? 1 : 0;
  }
  cr_assert(DetectedInTime >= 95, "%d of 100 within 12 s", DetectedInTime);
}

// Guards against missing a burst when 5 of the first 8 calls fail while the old
// version is healthy.
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

// Guards against a wrong normalisation constant: under the null hypothesis, the
// mean of an e-value over all tables with the same margins must be 1.
Test(moves_test, table_evidence_is_an_e_value) {
  cr_assert(rc::check("mean of table evidence", [] {
    auto New = *rc::gen::inRange<std::uint64_t>(1, 40);
    auto Old = *rc::gen::inRange<std::uint64_t>(1, 400);
    auto Hits = *rc::gen::inRange<std::uint64_t>(0, New + Old + 1);
    auto Null = *rc::gen::element(1.0, 1.2);
    auto Alternative = *rc::gen::element(1.5, 4.0, 16.0);
    auto LogBinomial = [](double From, double Count) {
      return std::lgamma(From + 1) - std::lgamma(Count + 1) -
             std::lgamma(From - Count + 1);
    };
    auto Weights = 0.0;
    auto Mean = 0.0;
    for (auto X = Hits > Old ? Hits - Old : 0; X <= std::min(Hits, New); ++X) {
      auto Weight = std::exp(LogBinomial(double(New), double(X)) +
                             LogBinomial(double(Old), double(Hits - X)) +
                             double(X) * std::log(Null) -
                             LogBinomial(double(New + Old), double(Hits)));
      Weights += Weight;
      Mean += Weight * std::exp(logTableEvidence(X, New, Hits - X, Old, Null,
                                                 Alternative));
    }
    RC_ASSERT(std::abs(Mean / Weights - 1) < 1e-6);
  }));
}
