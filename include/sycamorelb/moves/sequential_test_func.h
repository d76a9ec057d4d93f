/** @file sequential_test_func.h Sequential comparison of the new with the old
 * version of a move.
 *
 * The test multiplies e-values: non-negative statistics whose mean is at most
 * 1 while the new version is no worse. By Ville's inequality the product
 * exceeds 1/0.01 with a probability of at most 1 % over the whole move, however
 * often it is looked at. Averages of e-values are e-values, so routes, metrics,
 * effect sizes and possible times of change share that 1 % by weights that sum
 * to at most 1.
 */
#pragma once

#include "sycamorelb/moves/evidence_func.h"

#include <limits>

namespace sycamorelb::moves {

/** Largest probability of an alarm against a good version in one move. */
inline constexpr double FalseAlarmRate = 0.01;
/** A window is tested this long after its end, when its reports are in. */
inline constexpr millis WindowGrace{2000};

/** Statistics of the test; the table in sequential_test.cpp lists them. */
inline constexpr std::size_t StatisticCount = 12;

/** @return the logarithm of no evidence for every statistic. */
constexpr auto noEvidence() -> std::array<double, StatisticCount> {
  auto Result = std::array<double, StatisticCount>{};
  Result.fill(-std::numeric_limits<double>::infinity());
  return Result;
}

/** Information after which the test has missed at most 5 % of the effects it is
 * designed for while few calls fail; see test/moves_sequential_test.cpp. */
inline constexpr double BaseInformation = 1500;

/** Fixed parameters of the test of one move, equal on every driver. */
struct test_plan {
  wall_ms Start;          ///< Start of the move as recorded.
  wall_ms End;            ///< Time of the move.
  std::size_t Routes = 1; ///< Routes of the service.
};

/** Logarithms of the evidence of all statistics for one route. */
struct route_test {
  std::array<double, StatisticCount> LogEvidence =
      noEvidence();                                ///< By statistic.
  std::array<double, LatencyBuckets> OldLatency{}; ///< Decayed old latencies.
  tally_pair Seen;  ///< Totals already used by the burst statistic.
  tally PendingNew; ///< New calls waiting for the reports of old calls.
  double RecentOldCalls = 0;    ///< Decayed calls of the old version.
  double RecentOldFailures = 0; ///< Decayed failures of the old version.
  double NewAlone = 0;          ///< New calls without enough old calls beside.
  bool BurstBegun = false;      ///< Whether the burst statistic began.
};

/** State of the test at one driver. */
struct test_state {
  std::map<route_id, route_test> Routes; ///< The empty id is the sum.
  std::uint32_t Stage = 0;               ///< Step number last seen.
  bool Begun = false;                    ///< Whether any window was tested.
  wall_ms BurstAt;                 ///< Last update of the burst statistic.
  std::optional<move_alarm> Alarm; ///< Latched finding.
  double Evidence = 0;             ///< Combined evidence now; alarm at 100.
  double Information = 0; ///< Sum over windows of old*new/(old+new) calls.
  double InformationNeeded = BaseInformation; ///< Grows with the variance of
                                              ///< the old failure ratio.
};

/**
 * Tests the evidence that arrived; removes the windows it used up.
 * @param Step number of the step in force; each step is a likely time for a
 * fault to appear.
 */
void advanceTest(test_state &State, merged_evidence &Evidence,
                 const test_plan &Plan, std::uint32_t Step, wall_ms Now);

/**
 * Exact e-value of one two-by-two table against "the odds ratio of a hit on
 * the new version is at most Null", for the alternative Alternative.
 * @return the logarithm of the likelihood ratio given the margins.
 */
auto logTableEvidence(std::uint64_t NewHits, std::uint64_t NewCalls,
                      std::uint64_t OldHits, std::uint64_t OldCalls,
                      double Null, double Alternative) -> double;

/** @return a bound that a ratio seen as Hits of Calls exceeds with a
 * probability of at most Miss. */
auto upperBound(std::uint64_t Hits, std::uint64_t Calls, double Miss) -> double;

} // namespace sycamorelb::moves
