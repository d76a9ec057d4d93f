/** @file stats.cpp Latency, failure ratio and earned limit of an upstream. */
#include "sycamorelb/routing/stats_func.h"

#include <algorithm>

namespace sycamorelb::routing {

namespace {

constexpr double LatencyGain = 0.2;     ///< EWMA weight of a latency sample.
constexpr double FailureGain = 0.1;     ///< EWMA weight of an outcome.
constexpr double UtilisationGain = 0.3; ///< EWMA weight of a load report.
/// A success slower than this multiple of the latency EWMA does not raise the
/// earned limit.
constexpr double MaxEarnLatencyFactor = 3;

void addLatency(upstream_stats &Stats, double Sample, steady_time Now) {
  Stats.LatencyUs =
      Stats.LatencyUs == 0
          ? Sample
          : Stats.LatencyUs + LatencyGain * (Sample - Stats.LatencyUs);
  Stats.LatencyAt = Now;
}

void addFailure(upstream_stats &Stats, bool Failed) {
  Stats.FailureRatio += FailureGain * ((Failed ? 1 : 0) - Stats.FailureRatio);
}

void raiseEarnedLimit(upstream_stats &Stats, double Sample,
                      std::uint32_t Slots) {
  if (Stats.LatencyUs > 0 && Sample > MaxEarnLatencyFactor * Stats.LatencyUs)
    return;
  Stats.EarnedLimit =
      std::min(Stats.EarnedLimit + 1, static_cast<double>(std::max(1U, Slots)));
}

void halveEarnedLimit(upstream_stats &Stats) {
  Stats.EarnedLimit = std::max(1.0, Stats.EarnedLimit / 2);
}

} // namespace

void onStart(upstream_stats &Stats) { ++Stats.InFlight; }

void onFinish(upstream_stats &Stats, limits::call_outcome Outcome,
              micros Latency, std::uint32_t Slots, steady_time Now) {
  using limits::call_outcome;
  Stats.InFlight -= Stats.InFlight > 0 ? 1 : 0;
  observeCall(Stats.Outlier, Outcome);
  auto Sample = std::max(1.0, static_cast<double>(Latency.count()));
  switch (Outcome) {
  case call_outcome::Success:
    raiseEarnedLimit(Stats, Sample, Slots);
    addLatency(Stats, Sample, Now);
    addFailure(Stats, false);
    break;
  case call_outcome::Failure:
  case call_outcome::Timeout:
    // A fast failure must not lower the latency EWMA.
    addLatency(Stats, std::max(Sample, Stats.LatencyUs), Now);
    addFailure(Stats, true);
    if (Outcome == call_outcome::Timeout)
      halveEarnedLimit(Stats);
    break;
  case call_outcome::Unreachable:
    addFailure(Stats, true);
    halveEarnedLimit(Stats);
    break;
  case call_outcome::Refused:
    halveEarnedLimit(Stats);
    break;
  case call_outcome::Cancelled:
    if (Sample > Stats.LatencyUs)
      addLatency(Stats, Sample, Now);
    break;
  case call_outcome::NotStarted:
    break;
  }
}

void onReport(upstream_stats &Stats, const load_report &Report,
              steady_time Now) {
  auto Utilisation =
      Report.Limit == 0
          ? 0.0
          : std::min(1.0, static_cast<double>(Report.InFlight) / Report.Limit);
  Stats.Utilisation =
      Stats.HasReport ? Stats.Utilisation +
                            UtilisationGain * (Utilisation - Stats.Utilisation)
                      : Utilisation;
  // A cold upstream has to earn its limit again.
  if (Report.Cold)
    Stats.EarnedLimit = std::min(
        Stats.EarnedLimit, static_cast<double>(std::max(1U, Report.Limit)));
  Stats.Report = Report;
  Stats.ReportedAt = Now;
  Stats.HasReport = true;
}

} // namespace sycamorelb::routing
