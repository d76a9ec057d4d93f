/** @file sequential_test_func.h Sequential hypothesis test that compares the
 * new with the old version of a move.
 *
 * The test multiplies e-values: non-negative statistics whose mean is at most
 * 1 while the new version is no worse. By Ville's inequality the product
 * exceeds 1/0.01 with a probability of at most 1 % over the whole move, however
 * often it is checked. A weighted average of e-values is an e-value, so routes,
 * metrics, effect sizes and change points share that 1 % with weights that sum
 * to at most 1.
 */
#pragma once

#include "sycamorelb/moves/evidence_func.h"

#include <limits>

namespace sycamorelb::moves {

/** Largest probability of a false alarm in one move. */
inline constexpr double FalseAlarmRate = 0.01;
/** Time between the end of a window and its test, in which reports arrive. */
inline constexpr millis WindowGrace{2000};

/** Number of statistics; sequential_test.cpp defines them. */
inline constexpr std::size_t StatisticCount = 12;

/** @return the logarithm of zero evidence for each statistic. */
constexpr auto noEvidence() -> std::array<double, StatisticCount> {
  auto Result = std::array<double, StatisticCount>{};
  Result.fill(-std::numeric_limits<double>::infinity());
  return Result;
}

/** Information at which the test misses at most 5 % of the effects it is
 * designed for, if few calls fail; see test/moves_sequential_test.cpp. */
inline constexpr double BaseInformation = 1500;

/** Fixed parameters of the test of one move; the same on each driver. */
struct test_plan {
  wall_ms Start;          ///< Start of the move, from its record.
  wall_ms End;            ///< Deadline of the move.
  std::size_t Routes = 1; ///< Number of routes of the service.
};

/** State of the test for one route. */
struct route_test {
  std::array<double, StatisticCount> LogEvidence =
      noEvidence(); ///< Logarithm, by statistic.
  std::array<double, LatencyBuckets>
      OldLatency{};       ///< Exponentially decayed histogram.
  tally_pair BurstTotals; ///< Totals at the last burst test.
  tally PendingNew; ///< New calls that wait for reports of concurrent old ones.
  double RecentOldCalls = 0;    ///< Decayed count of old calls.
  double RecentOldFailures = 0; ///< Decayed count of failed old calls.
  double UnmatchedNewCalls = 0; ///< New calls in excess of MaxNewPerOldCall for
                                ///< each old one.
  bool BurstStarted = false; ///< Whether the burst statistic has a factor yet.
};

/** State of the test at one driver. */
struct test_state {
  std::map<route_id, route_test>
      Routes;                      ///< The empty id stands for all routes.
  std::uint32_t LastStep = 0;      ///< Step of the last window tested.
  bool Started = false;            ///< Whether any window was tested.
  wall_ms BurstTestedAt;           ///< Last update of the burst statistic.
  std::optional<move_alarm> Alarm; ///< First alarm; kept once raised.
  double Evidence = 0; ///< Combined evidence; 1 / FalseAlarmRate is an alarm.
  double Information =
      0; ///< Sum of old * new / (old + new) calls over windows.
  double InformationNeeded = BaseInformation; ///< Grows with the variance of
                                              ///< the old failure ratio.
};

/**
 * Tests the windows that are complete and removes them from the evidence.
 * @param Step number of the current step. A fault is more likely to appear
 * after a step, so steps get more weight as change points.
 */
void advanceTest(test_state &State, merged_evidence &Evidence,
                 const test_plan &Plan, std::uint32_t Step, wall_ms Now);

/**
 * Exact conditional e-value of a two-by-two table, for the null hypothesis that
 * the odds ratio of a hit on the new version is at most Null.
 * @param Alternative odds ratio of the alternative hypothesis.
 * @return the logarithm of the likelihood ratio, given the margins.
 */
auto logTableEvidence(std::uint64_t NewHits, std::uint64_t NewCalls,
                      std::uint64_t OldHits, std::uint64_t OldCalls,
                      double Null, double Alternative) -> double;

/** @return an upper confidence bound of the ratio Hits / Calls, which is too
 * low with a probability of at most ErrorProbability. */
auto upperBound(std::uint64_t Hits, std::uint64_t Calls,
                double ErrorProbability) -> double;

} // namespace sycamorelb::moves
