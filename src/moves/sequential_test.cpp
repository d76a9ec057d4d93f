/** @file sequential_test.cpp Combines the evidence of routes, metrics, effect
 * sizes and times of change. */
#include "sycamorelb/moves/sequential_test_func.h"

#include <algorithm>
#include <cmath>

namespace sycamorelb::moves {

namespace {

/** What a statistic looks at. */
enum class metric {
  Failures,
  SlowAbove90, ///< Calls slower than 90 % of the old version's.
  SlowAbove50, ///< Calls slower than half of the old version's.
  Cancelled,
  Burst,             ///< Failure bursts, before the windows are complete.
  FailuresFullShare, ///< Against earlier calls of the old version.
  SlowFullShare,     ///< Against earlier calls of the old version.
};

/** One statistic: a metric and the effect size it is tuned for. */
struct statistic {
  metric Metric;      ///< What it looks at.
  double Null;        ///< Odds ratio that is still good.
  double Alternative; ///< Odds ratio it detects best.
  double Weight;      ///< Part of the false alarm rate.
  const char *Reason; ///< Name in alarms.
};

/** Hits and calls of one version. */
struct hit_count {
  std::uint64_t Hits = 0;
  std::uint64_t Calls = 0;
};

} // namespace

// Slowness and cancellations tolerate an odds ratio of 1.2, because unequal
// utilisation of equal versions moves them a little. The weights sum to 0.9;
// the rest covers the confidence bounds of the statistics without a table.
static constexpr std::array<statistic, StatisticCount> Statistics{{
    {metric::Failures, 1, 1.5, 0.08, "failures"},
    {metric::Failures, 1, 4, 0.10, "failures"},
    {metric::Failures, 1, 16, 0.12, "failures"},
    {metric::SlowAbove90, 1.2, 2.2, 0.10, "slow"},
    {metric::SlowAbove90, 1.2, 6, 0.10, "slow"},
    {metric::SlowAbove50, 1.2, 2.2, 0.08, "slow"},
    {metric::SlowAbove50, 1.2, 6, 0.07, "slow"},
    {metric::Cancelled, 1.2, 2.5, 0.05, "cancelled"},
    {metric::Cancelled, 1.2, 12, 0.05, "cancelled"},
    {metric::Burst, 1, 1, 0.09, "burst"},
    {metric::FailuresFullShare, 1, 1, 0.03, "failures_at_full_share"},
    {metric::SlowFullShare, 1, 1, 0.03, "slow_at_full_share"},
}};

/// Probability that a confidence bound on the old version is wrong.
static constexpr auto BoundMiss = 1e-4;
/// Old latencies needed to place a slowness threshold.
static constexpr auto MinimumOldLatencies = 20.0;
/// Decay of old latencies per window; about the last 100 windows count.
static constexpr auto LatencyDecay = 0.99;
/// Steps of a move that get a start weight of their own.
static constexpr auto StagesWeighted = 16.0;
/// Failure probability that the burst statistic is tuned for.
static constexpr auto BurstRatio = 0.65;
/// Smallest failure ratio of the old version that a burst is compared with.
static constexpr auto BurstFloor = 0.03;
/// Old calls of the last seconds without which a burst cannot be told from an
/// outage that both versions share.
static constexpr auto BurstOldCalls = 8.0;

/// New calls per old call above which old calls are missing; five times the
/// ratio at the largest share.
static constexpr auto AloneRatio = 20.0;
/// Excess of new calls over that ratio from which on the new version counts as
/// alone. Judging single windows takes routes with few calls for alone and, in
/// an outage shared by 8 routes at 40 calls/s, takes back half the good moves.
static constexpr auto AloneCalls = 300.0;

static auto logAdd(double Left, double Right) -> double {
  auto Most = std::max(Left, Right);
  if (std::isinf(Most)) {
    return Most;
  }
  return Most + std::log(std::exp(Left - Most) + std::exp(Right - Most));
}

/** Multiplies the evidence by one factor; the fault may also begin here. */
static void multiply(double &LogEvidence, double StartWeight,
                     double LogFactor) {
  LogEvidence = logAdd(LogEvidence, std::log(StartWeight)) + LogFactor;
}

/** @return number of windows among which half of the weight is divided. */
static auto plannedWindows(const test_plan &Plan) -> double {
  constexpr auto Overtime = millis{600'000};
  auto Length = Plan.End.Value - Plan.Start.Value + Overtime.count();
  return double(std::max<std::int64_t>(Length / WindowLength.count(), 1));
}

/** @return the first bucket at which the part of the counts is reached. */
template <class Counts>
static auto quantileBucket(const Counts &Latency, double Part) -> std::size_t {
  auto Sum = 0.0;
  for (auto Count : Latency) {
    Sum += double(Count);
  }
  auto Below = 0.0;
  for (auto Index = std::size_t{0}; Index < LatencyBuckets; ++Index) {
    Below += double(Latency[Index]);
    if (Below >= Part * Sum) {
      return Index;
    }
  }
  return LatencyBuckets - 1;
}

/** Counts calls above a bucket as slow. A caller that left counts as slow too:
 * it might have left early because of other slow calls. */
static auto slowCalls(const tally &Tally, std::size_t Bucket) -> hit_count {
  auto Count = hit_count{Tally.Cancelled, Tally.Cancelled};
  for (auto Index = std::size_t{0}; Index < LatencyBuckets; ++Index) {
    Count.Calls += Tally.Latency[Index];
    Count.Hits += Index > Bucket ? Tally.Latency[Index] : 0;
  }
  return Count;
}

static auto failedCalls(const tally &Tally) -> hit_count {
  return {Tally.Failures, Tally.Calls};
}

/** @return the evidence of Seen against a ratio of at most Null. */
static auto logRatioEvidence(const hit_count &Seen, double Null,
                             double Alternative) -> double {
  return double(Seen.Hits) * std::log(Alternative / Null) +
         double(Seen.Calls - Seen.Hits) *
             std::log((1 - Alternative) / (1 - Null));
}

/** @return the hits of one side, or nothing when they cannot be told yet. */
static auto hitsOf(const route_test &Test, metric Metric, const tally &Tally)
    -> std::optional<hit_count> {
  if (Metric == metric::Failures) {
    return failedCalls(Tally);
  }
  if (Metric == metric::Cancelled) {
    return hit_count{Tally.Cancelled, Tally.Calls};
  }
  // The threshold comes from earlier windows only; a threshold chosen from the
  // window itself would favour the old version.
  auto Known = 0.0;
  for (auto Count : Test.OldLatency) {
    Known += Count;
  }
  if (Known < MinimumOldLatencies) {
    return std::nullopt;
  }
  auto Part = Metric == metric::SlowAbove90 ? 0.9 : 0.5;
  return slowCalls(Tally, quantileBucket(Test.OldLatency, Part));
}

/** Evidence while no concurrent old calls exist, as when the old version lost
 * its upstreams: the new version against an upper bound on the old version's
 * earlier ratio. Load may have changed since, so the bounds are widened. */
static auto fullShareEvidence(metric Metric, const tally &New,
                              const tally &OldTotal) -> double {
  constexpr auto MinimumReference = 100U;
  if (Metric == metric::FailuresFullShare) {
    auto Reference = failedCalls(OldTotal);
    auto Null =
        1.5 * upperBound(Reference.Hits, Reference.Calls, BoundMiss) + 0.01;
    if (Reference.Calls < MinimumReference || Null > 0.5) {
      return 0;
    }
    return logRatioEvidence(failedCalls(New), Null, Null + 0.05);
  }
  auto Bucket = quantileBucket(OldTotal.Latency, 0.9);
  auto Reference = slowCalls(OldTotal, Bucket);
  auto Null = 2.5 * upperBound(Reference.Hits, Reference.Calls, BoundMiss);
  if (Reference.Calls < MinimumReference || Null > 0.6) {
    return 0;
  }
  return logRatioEvidence(slowCalls(New, Bucket), Null, Null + 0.25);
}

static auto isFullShare(metric Metric) -> bool {
  return Metric == metric::FailuresFullShare || Metric == metric::SlowFullShare;
}

/** Tests one window of one route. */
static void testWindow(route_test &Test, const tally_pair &Window,
                       const tally &OldTotal, double StartWeight) {
  const auto &Old = Window[std::size_t(move_side::Old)];
  const auto &New = Window[std::size_t(move_side::New)];
  Test.NewAlone = std::clamp(Test.NewAlone + double(New.Calls) -
                                 AloneRatio * double(Old.Calls),
                             0.0, 2 * AloneCalls);
  auto IsAlone = Test.NewAlone >= AloneCalls;
  for (auto Index = std::size_t{0}; Index < StatisticCount; ++Index) {
    const auto &Entry = Statistics[Index];
    if (Entry.Metric == metric::Burst) {
      continue;
    }
    auto Factor = 0.0;
    if (isFullShare(Entry.Metric)) {
      Factor = IsAlone ? fullShareEvidence(Entry.Metric, New, OldTotal) : 0;
    } else if (auto OldHits = hitsOf(Test, Entry.Metric, Old)) {
      auto NewHits = *hitsOf(Test, Entry.Metric, New);
      Factor = logTableEvidence(NewHits.Hits, NewHits.Calls, OldHits->Hits,
                                OldHits->Calls, Entry.Null, Entry.Alternative);
    }
    multiply(Test.LogEvidence[Index], StartWeight, Factor);
  }
  for (auto Index = std::size_t{0}; Index < LatencyBuckets; ++Index) {
    Test.OldLatency[Index] =
        LatencyDecay * Test.OldLatency[Index] + Old.Latency[Index];
  }
}

/** @return what was added since Seen; Seen becomes Total. */
static auto takeIncrease(tally &Seen, const tally &Total) -> hit_count {
  auto Increase =
      hit_count{Total.Failures - Seen.Failures, Total.Calls - Seen.Calls};
  Seen = Total;
  return Increase;
}

/**
 * Tests the calls since the last update for a burst of failures. New calls wait
 * for one update, so that old calls of the same period have been reported and
 * an outage that both versions share does not count against the new one.
 */
static void testBurst(route_test &Test, const tally_pair &Total,
                      double UniformWeight) {
  auto Old = takeIncrease(Test.Seen[0], Total[0]);
  auto New = takeIncrease(Test.Seen[1], Total[1]);
  Test.RecentOldCalls = Test.RecentOldCalls / 2 + double(Old.Calls);
  Test.RecentOldFailures = Test.RecentOldFailures / 2 + double(Old.Hits);
  auto Waiting = hit_count{Test.PendingNew.Failures, Test.PendingNew.Calls};
  Test.PendingNew.Failures = New.Hits;
  Test.PendingNew.Calls = New.Calls;
  auto Recent =
      1.5 * (Test.RecentOldFailures + 0.5) / (Test.RecentOldCalls + 1);
  auto Null =
      std::max({BurstFloor, Recent,
                upperBound(Total[0].Failures, Total[0].Calls, BoundMiss)});
  if (Waiting.Calls == 0 || Test.RecentOldCalls < BurstOldCalls ||
      Null > BurstRatio / 2) {
    return;
  }
  auto Weight = Test.BurstBegun ? UniformWeight : 0.5;
  Test.BurstBegun = true;
  for (auto Index = std::size_t{0}; Index < StatisticCount; ++Index) {
    if (Statistics[Index].Metric == metric::Burst) {
      multiply(Test.LogEvidence[Index], Weight,
               logRatioEvidence(Waiting, Null, BurstRatio));
    }
  }
}

static auto sumOf(const std::map<route_id, tally_pair> &Routes) -> tally_pair {
  auto Sum = tally_pair{};
  for (const auto &[Route, Tally] : Routes) {
    addTally(Sum[0], Tally[0]);
    addTally(Sum[1], Tally[1]);
  }
  return Sum;
}

static auto informationOf(const tally_pair &Window) -> double {
  auto Old = double(Window[0].Calls);
  auto New = double(Window[1].Calls);
  return Old + New > 0 ? Old * New / (Old + New) : 0;
}

/** @return the information that shows +5 points in the failure ratio; it is
 * proportional to the variance of a call. */
static auto informationNeeded(const tally &Old) -> double {
  constexpr auto BaseVariance = 0.05;
  auto Ratio = double(Old.Failures + 1) / double(Old.Calls + 2);
  auto Variance = Ratio * (1 - Ratio);
  return BaseInformation * std::max(1.0, Variance / BaseVariance);
}

static auto oldTotal(const merged_evidence &Evidence, const route_id &Route)
    -> const tally & {
  static const auto None = tally{};
  auto Found = Evidence.Totals.find(Route);
  return Found == Evidence.Totals.end() ? None : Found->second[0];
}

/** @return the start weight of a window: half is divided among all windows, a
 * quarter belongs to the first one and a quarter is divided among the steps. */
static auto startWeight(test_state &State, const test_plan &Plan,
                        std::uint32_t Step, std::int64_t Window) -> double {
  constexpr auto FirstWindows = 30;
  auto Weight = 0.5 / plannedWindows(Plan);
  auto IsEarly = Window < windowAt(Plan.Start) + FirstWindows;
  if (!State.Begun && IsEarly) {
    Weight += 0.25;
  } else if (State.Begun && Step != State.Stage && Step <= StagesWeighted) {
    Weight += 0.25 / StagesWeighted;
  }
  State.Begun = true;
  State.Stage = Step;
  return Weight;
}

static void testWindows(test_state &State, merged_evidence &Evidence,
                        const test_plan &Plan, std::uint32_t Step,
                        std::int64_t Last) {
  auto Sums = sumOf(Evidence.Totals);
  State.InformationNeeded = informationNeeded(Sums[0]);
  while (!Evidence.Windows.empty() && Evidence.Windows.begin()->first <= Last) {
    auto Node = Evidence.Windows.extract(Evidence.Windows.begin());
    auto Sum = sumOf(Node.mapped());
    if (Sum[std::size_t(move_side::New)].Calls == 0) {
      // Without new calls the window only teaches the old latencies.
      testWindow(State.Routes[route_id{}], Sum, Sums[0], 0);
      for (const auto &[Route, Tally] : Node.mapped()) {
        testWindow(State.Routes[Route], Tally, oldTotal(Evidence, Route), 0);
      }
      continue;
    }
    auto Weight = startWeight(State, Plan, Step, Node.key());
    State.Information += informationOf(Sum);
    testWindow(State.Routes[route_id{}], Sum, Sums[0], Weight);
    for (const auto &[Route, Tally] : Node.mapped()) {
      testWindow(State.Routes[Route], Tally, oldTotal(Evidence, Route), Weight);
    }
  }
  Evidence.Consumed = std::max(Evidence.Consumed, Last);
}

static void testBursts(test_state &State, const merged_evidence &Evidence,
                       const test_plan &Plan, wall_ms Now) {
  if (Now.Value - State.BurstAt.Value < WindowLength.count()) {
    return;
  }
  State.BurstAt = Now;
  auto Uniform = 0.5 / plannedWindows(Plan);
  testBurst(State.Routes[route_id{}], sumOf(Evidence.Totals), Uniform);
  for (const auto &[Route, Total] : Evidence.Totals) {
    testBurst(State.Routes[Route], Total, Uniform);
  }
}

/** Adds up all evidence and latches an alarm when it suffices. */
static void combine(test_state &State, const test_plan &Plan) {
  auto Routes = std::max(Plan.Routes, State.Routes.size() - 1);
  auto Sum = 0.0;
  auto Largest = 0.0;
  auto Finding = move_alarm{};
  for (const auto &[Route, Test] : State.Routes) {
    auto RouteWeight = Route.Value.empty() ? 0.5 : 0.5 / double(Routes);
    for (auto Index = std::size_t{0}; Index < StatisticCount; ++Index) {
      auto Part = RouteWeight * Statistics[Index].Weight *
                  std::exp(std::min(Test.LogEvidence[Index], 300.0));
      Sum += Part;
      if (Part > Largest) {
        Largest = Part;
        Finding = move_alarm{Route, Statistics[Index].Reason, 0};
      }
    }
  }
  State.Evidence = Sum;
  if (!State.Alarm && Sum >= 1 / FalseAlarmRate) {
    Finding.Evidence = Sum;
    State.Alarm = Finding;
  }
}

void advanceTest(test_state &State, merged_evidence &Evidence,
                 const test_plan &Plan, std::uint32_t Step, wall_ms Now) {
  auto Settled = wall_ms{Now.Value - WindowGrace.count()};
  testWindows(State, Evidence, Plan, Step, windowAt(Settled) - 1);
  testBursts(State, Evidence, Plan, Now);
  if (!State.Routes.empty()) {
    combine(State, Plan);
  }
}

} // namespace sycamorelb::moves
