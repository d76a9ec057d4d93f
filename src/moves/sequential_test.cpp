/** @file sequential_test.cpp Sequential test: combines the evidence of routes,
 * metrics, effect sizes and change points. */
#include "sycamorelb/moves/sequential_test_func.h"

#include <algorithm>
#include <cmath>

namespace sycamorelb::moves {

namespace {

/** What a statistic counts as a hit. */
enum class metric {
  Failures,
  SlowAbove90, ///< Calls above the 90th percentile of the old version.
  SlowAbove50, ///< Calls above the median of the old version.
  Cancelled,
  Burst,             ///< Failure bursts, without waiting for complete windows.
  FailuresFullShare, ///< Failures, compared with earlier old calls.
  SlowFullShare,     ///< Slow calls, compared with earlier old calls.
};

/** One statistic: a metric and the effect size it is tuned for. */
struct statistic {
  metric Metric;      ///< What it counts.
  double Null;        ///< Largest odds ratio that is tolerated.
  double Alternative; ///< Odds ratio that it detects best.
  double Weight;      ///< Fraction of the false alarm rate.
  const char *Reason; ///< move_alarm::Reason.
};

/** Hits and calls of one version. */
struct hit_count {
  std::uint64_t Hits = 0;
  std::uint64_t Calls = 0;
};

} // namespace

// Latency and cancellations tolerate an odds ratio of 1.2, because they vary
// with the utilisation, which differs a little between the versions. The
// weights sum to 0.9; the rest covers errors of the confidence bounds that
// the last three statistics use.
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

/// Error probability of a confidence bound of the old version.
static constexpr auto BoundErrorProbability = 1e-4;
/// Old latencies needed to set the threshold of slow calls.
static constexpr auto MinimumOldLatencies = 20.0;
/// Decay of old latencies per window; about the last 100 windows count.
static constexpr auto LatencyDecay = 0.99;
/// Steps of a move that get a weight of their own as change points.
static constexpr auto WeightedSteps = 16.0;
/// Failure ratio that the burst statistic detects best.
static constexpr auto BurstRatio = 0.65;
/// Lower bound of the failure ratio that a burst is compared with.
static constexpr auto BurstFloor = 0.03;
/// Recent old calls without which a burst can't be told from an outage of both
/// versions.
static constexpr auto BurstOldCalls = 8.0;

/// New calls per old call above which old calls are missing; five times the
/// ratio at the largest share.
static constexpr auto MaxNewPerOldCall = 20.0;
/// Excess of new calls over that ratio from which on the old version counts as
/// gone. The excess is summed over windows: judged by single windows, routes
/// with few calls seem to lack old calls, and in an outage of both versions
/// with 8 routes at 40 calls/s half of the good moves are taken back.
static constexpr auto UnmatchedCallsLimit = 300.0;

static auto logSumExp(double Left, double Right) -> double {
  auto Largest = std::max(Left, Right);
  if (std::isinf(Largest)) {
    return Largest;
  }
  return Largest +
         std::log(std::exp(Left - Largest) + std::exp(Right - Largest));
}

/** Multiplies the evidence by one factor. StartWeight is the prior weight of a
 * fault that begins at this factor. */
static void multiplyEvidence(double &LogEvidence, double StartWeight,
                             double LogFactor) {
  LogEvidence = logSumExp(LogEvidence, std::log(StartWeight)) + LogFactor;
}

/** @return the number of windows of the move and of its largest extension. */
static auto plannedWindows(const test_plan &Plan) -> double {
  constexpr auto Overtime = millis{600'000};
  auto Length = Plan.End.Value - Plan.Start.Value + Overtime.count();
  return double(std::max<std::int64_t>(Length / WindowLength.count(), 1));
}

/** @return the bucket that contains the quantile. */
template <class Counts>
static auto quantileBucket(const Counts &Latency, double Quantile)
    -> std::size_t {
  auto Sum = 0.0;
  for (auto Count : Latency) {
    Sum += double(Count);
  }
  auto Cumulative = 0.0;
  for (auto Index = std::size_t{0}; Index < LatencyBuckets; ++Index) {
    Cumulative += double(Latency[Index]);
    if (Cumulative >= Quantile * Sum) {
      return Index;
    }
  }
  return LatencyBuckets - 1;
}

/** Counts calls above a bucket as slow. Cancelled calls count as slow too,
 * because callers may disconnect when calls are slow. */
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

/** @return the logarithm of the likelihood ratio of Seen for the ratio
 * Alternative over the ratio Null. */
static auto logRatioEvidence(const hit_count &Seen, double Null,
                             double Alternative) -> double {
  return double(Seen.Hits) * std::log(Alternative / Null) +
         double(Seen.Calls - Seen.Hits) *
             std::log((1 - Alternative) / (1 - Null));
}

/** @return the hits of one version; nothing while the threshold of slow calls
 * is unknown. */
static auto countHits(const route_test &Test, metric Metric, const tally &Tally)
    -> std::optional<hit_count> {
  if (Metric == metric::Failures) {
    return failedCalls(Tally);
  }
  if (Metric == metric::Cancelled) {
    return hit_count{Tally.Cancelled, Tally.Calls};
  }
  // The threshold comes from earlier windows only; the latencies of the tested
  // window would bias it in favour of the old version.
  auto OldCalls = 0.0;
  for (auto Count : Test.OldLatency) {
    OldCalls += Count;
  }
  if (OldCalls < MinimumOldLatencies) {
    return std::nullopt;
  }
  auto Quantile = Metric == metric::SlowAbove90 ? 0.9 : 0.5;
  return slowCalls(Tally, quantileBucket(Test.OldLatency, Quantile));
}

/** Evidence without concurrent old calls, as when the old version lost its
 * upstreams. Compares the new version with an upper bound of the earlier ratio
 * of the old one, with a margin because the load may have changed since. */
static auto fullShareEvidence(metric Metric, const tally &New,
                              const tally &OldTotal) -> double {
  constexpr auto MinimumReference = 100U;
  if (Metric == metric::FailuresFullShare) {
    auto Reference = failedCalls(OldTotal);
    auto Null = 1.5 * upperBound(Reference.Hits, Reference.Calls,
                                 BoundErrorProbability) +
                0.01;
    if (Reference.Calls < MinimumReference || Null > 0.5) {
      return 0;
    }
    return logRatioEvidence(failedCalls(New), Null, Null + 0.05);
  }
  auto Bucket = quantileBucket(OldTotal.Latency, 0.9);
  auto Reference = slowCalls(OldTotal, Bucket);
  auto Null =
      2.5 * upperBound(Reference.Hits, Reference.Calls, BoundErrorProbability);
  if (Reference.Calls < MinimumReference || Null > 0.6) {
    return 0;
  }
  return logRatioEvidence(slowCalls(New, Bucket), Null, Null + 0.25);
}

static auto isFullShareMetric(metric Metric) -> bool {
  return Metric == metric::FailuresFullShare || Metric == metric::SlowFullShare;
}

/** Tests one window of one route. */
static void testWindow(route_test &Test, const tally_pair &Window,
                       const tally &OldTotal, double StartWeight) {
  const auto &Old = Window[std::size_t(move_side::Old)];
  const auto &New = Window[std::size_t(move_side::New)];
  Test.UnmatchedNewCalls =
      std::clamp(Test.UnmatchedNewCalls + double(New.Calls) -
                     MaxNewPerOldCall * double(Old.Calls),
                 0.0, 2 * UnmatchedCallsLimit);
  auto LacksOldCalls = Test.UnmatchedNewCalls >= UnmatchedCallsLimit;
  for (auto Index = std::size_t{0}; Index < StatisticCount; ++Index) {
    const auto &Entry = Statistics[Index];
    if (Entry.Metric == metric::Burst) {
      continue;
    }
    auto LogFactor = 0.0;
    if (isFullShareMetric(Entry.Metric)) {
      LogFactor =
          LacksOldCalls ? fullShareEvidence(Entry.Metric, New, OldTotal) : 0;
    } else if (auto OldHits = countHits(Test, Entry.Metric, Old)) {
      auto NewHits = *countHits(Test, Entry.Metric, New);
      LogFactor =
          logTableEvidence(NewHits.Hits, NewHits.Calls, OldHits->Hits,
                           OldHits->Calls, Entry.Null, Entry.Alternative);
    }
    multiplyEvidence(Test.LogEvidence[Index], StartWeight, LogFactor);
  }
  for (auto Index = std::size_t{0}; Index < LatencyBuckets; ++Index) {
    Test.OldLatency[Index] =
        LatencyDecay * Test.OldLatency[Index] + Old.Latency[Index];
  }
}

/** @return failures and calls since Seen, which is set to Total. */
static auto takeIncrease(tally &Seen, const tally &Total) -> hit_count {
  auto Increase =
      hit_count{Total.Failures - Seen.Failures, Total.Calls - Seen.Calls};
  Seen = Total;
  return Increase;
}

/**
 * Tests the calls since the last update for a burst of failures. New calls are
 * used one update later, when the old calls of the same period are reported, so
 * that an outage of both versions does not count against the new one.
 */
static void testBurst(route_test &Test, const tally_pair &Total,
                      double WindowWeight) {
  auto Old = takeIncrease(Test.BurstTotals[0], Total[0]);
  auto New = takeIncrease(Test.BurstTotals[1], Total[1]);
  Test.RecentOldCalls = Test.RecentOldCalls / 2 + double(Old.Calls);
  Test.RecentOldFailures = Test.RecentOldFailures / 2 + double(Old.Hits);
  auto PreviousNew = hit_count{Test.PendingNew.Failures, Test.PendingNew.Calls};
  Test.PendingNew.Failures = New.Hits;
  Test.PendingNew.Calls = New.Calls;
  auto Recent =
      1.5 * (Test.RecentOldFailures + 0.5) / (Test.RecentOldCalls + 1);
  auto Null = std::max(
      {BurstFloor, Recent,
       upperBound(Total[0].Failures, Total[0].Calls, BoundErrorProbability)});
  if (PreviousNew.Calls == 0 || Test.RecentOldCalls < BurstOldCalls ||
      Null > BurstRatio / 2) {
    return;
  }
  auto Weight = Test.BurstStarted ? WindowWeight : 0.5;
  Test.BurstStarted = true;
  for (auto Index = std::size_t{0}; Index < StatisticCount; ++Index) {
    if (Statistics[Index].Metric == metric::Burst) {
      multiplyEvidence(Test.LogEvidence[Index], Weight,
                       logRatioEvidence(PreviousNew, Null, BurstRatio));
    }
  }
}

static auto sumRoutes(const std::map<route_id, tally_pair> &Routes)
    -> tally_pair {
  auto Sum = tally_pair{};
  for (const auto &[Route, Tally] : Routes) {
    addTally(Sum[0], Tally[0]);
    addTally(Sum[1], Tally[1]);
  }
  return Sum;
}

static auto windowInformation(const tally_pair &Window) -> double {
  auto Old = double(Window[0].Calls);
  auto New = double(Window[1].Calls);
  return Old + New > 0 ? Old * New / (Old + New) : 0;
}

/** @return the information needed to detect a failure ratio that is 5
 * percentage points higher; proportional to the variance of one call. */
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

/** @return the prior weight of a fault that begins in this window: half is
 * divided among all windows, a quarter goes to the first one and a quarter is
 * divided among the steps. */
static auto startWeight(test_state &State, const test_plan &Plan,
                        std::uint32_t Step, std::int64_t Window) -> double {
  constexpr auto FirstWindows = 30;
  auto Weight = 0.5 / plannedWindows(Plan);
  auto IsEarly = Window < windowAt(Plan.Start) + FirstWindows;
  if (!State.Started && IsEarly) {
    Weight += 0.25;
  } else if (State.Started && Step != State.LastStep && Step <= WeightedSteps) {
    Weight += 0.25 / WeightedSteps;
  }
  State.Started = true;
  State.LastStep = Step;
  return Weight;
}

static void testWindows(test_state &State, merged_evidence &Evidence,
                        const test_plan &Plan, std::uint32_t Step,
                        std::int64_t Last) {
  auto Sums = sumRoutes(Evidence.Totals);
  State.InformationNeeded = informationNeeded(Sums[0]);
  while (!Evidence.Windows.empty() && Evidence.Windows.begin()->first <= Last) {
    auto Node = Evidence.Windows.extract(Evidence.Windows.begin());
    auto Sum = sumRoutes(Node.mapped());
    if (Sum[std::size_t(move_side::New)].Calls == 0) {
      // Without new calls the window only updates the old latencies.
      testWindow(State.Routes[route_id{}], Sum, Sums[0], 0);
      for (const auto &[Route, Tally] : Node.mapped()) {
        testWindow(State.Routes[Route], Tally, oldTotal(Evidence, Route), 0);
      }
      continue;
    }
    auto Weight = startWeight(State, Plan, Step, Node.key());
    State.Information += windowInformation(Sum);
    testWindow(State.Routes[route_id{}], Sum, Sums[0], Weight);
    for (const auto &[Route, Tally] : Node.mapped()) {
      testWindow(State.Routes[Route], Tally, oldTotal(Evidence, Route), Weight);
    }
  }
  Evidence.LastTestedWindow = std::max(Evidence.LastTestedWindow, Last);
}

static void testBursts(test_state &State, const merged_evidence &Evidence,
                       const test_plan &Plan, wall_ms Now) {
  if (Now.Value - State.BurstTestedAt.Value < WindowLength.count()) {
    return;
  }
  State.BurstTestedAt = Now;
  auto WindowWeight = 0.5 / plannedWindows(Plan);
  testBurst(State.Routes[route_id{}], sumRoutes(Evidence.Totals), WindowWeight);
  for (const auto &[Route, Total] : Evidence.Totals) {
    testBurst(State.Routes[Route], Total, WindowWeight);
  }
}

/** Sums the evidence by weight; raises the alarm once the threshold is reached.
 */
static void combineEvidence(test_state &State, const test_plan &Plan) {
  auto Routes = std::max(Plan.Routes, State.Routes.size() - 1);
  auto Sum = 0.0;
  auto Largest = 0.0;
  auto Alarm = move_alarm{};
  for (const auto &[Route, Test] : State.Routes) {
    auto RouteWeight = Route.Value.empty() ? 0.5 : 0.5 / double(Routes);
    for (auto Index = std::size_t{0}; Index < StatisticCount; ++Index) {
      auto Part = RouteWeight * Statistics[Index].Weight *
                  std::exp(std::min(Test.LogEvidence[Index], 300.0));
      Sum += Part;
      if (Part > Largest) {
        Largest = Part;
        Alarm = move_alarm{Route, Statistics[Index].Reason, 0};
      }
    }
  }
  State.Evidence = Sum;
  if (!State.Alarm && Sum >= 1 / FalseAlarmRate) {
    Alarm.Evidence = Sum;
    State.Alarm = Alarm;
  }
}

void advanceTest(test_state &State, merged_evidence &Evidence,
                 const test_plan &Plan, std::uint32_t Step, wall_ms Now) {
  auto Settled = wall_ms{Now.Value - WindowGrace.count()};
  testWindows(State, Evidence, Plan, Step, windowAt(Settled) - 1);
  testBursts(State, Evidence, Plan, Now);
  if (!State.Routes.empty()) {
    combineEvidence(State, Plan);
  }
}

} // namespace sycamorelb::moves
