/** @file pick.cpp Scoring of targets. */
#include "sycamorelb/dispatch/pick.h"

#include "sycamorelb/core/number_func.h"
#include "sycamorelb/dispatch/work_speed.h"

#include <algorithm>
#include <cmath>

namespace sycamorelb::dispatch {

/** Share of a call's slack (time to its objective beyond the run time) that it
 * may wait in its own zone before another zone is preferred. */
static constexpr auto LocalZoneWaitShare = 0.75;
/** Weight of a target's occupancy among targets with free slots. */
static constexpr auto OccupancyWeight = 0.6;
/** Cost of a failure, relative to the time left until the objective. */
static constexpr auto FailureWeight = 1.5;
/** Random share added to a score, so that nodes with equal views choose
 * different targets. */
static constexpr auto ScoreJitter = 0.1;
/** Age of a report up to which its failure share counts in full. */
static constexpr auto FailureDecayDelay = micros(1'500'000);
/** Time in which the failure share halves afterwards. */
static constexpr auto FailureHalfLife = micros(1'500'000);
/** Bytes of a call in addition to the request body: headers and answer. */
static constexpr auto CallOverheadBytes = std::size_t{2000};
/** Assumed size of the other messages on a busy link, in bytes, for the
 * expected wait behind them. */
static constexpr auto OtherMessageBytes = 40'000.0;
/** Share of a link that is assumed to be free, so that the estimate stays
 * finite. */
static constexpr auto MinFreeLinkShare = 0.05;
/** Size in bytes from which a request counts as large. */
static constexpr auto BulkBytes = std::size_t{16} * 1024;
/** Bandwidth in kbit/s for each large request that a node may have in flight
 * to a host: the link carries this number within a few hundred ms. */
static constexpr auto KbpsPerBulkRequest = 10'000U;
/** Time without calls to a host after its first silent connection; doubles
 * with each consecutive one. */
static constexpr auto MinAvoidance = micros(400'000);
/** Upper bound of the time without calls to a host. */
static constexpr auto MaxAvoidance = micros(6'400'000);
/** Utilization of a link above which its host accepts fewer large requests. */
static constexpr auto LinkUtilizationThreshold = 0.7;
/** Minimum share of large requests, so that the end of an overload is
 * detected. */
static constexpr auto MinBulkShare = 0.05;
/** Increase of the share with each measurement below the threshold. */
static constexpr auto BulkShareIncrement = 0.03;
/** Upper bound of a retry delay, as a share of the caller's time left. */
static constexpr auto MaxRetryDelayShare = 0.3;
/** Shortest delay before jitter after which a refused caller should retry. */
static constexpr auto MinRetryDelay = micros(25'000);

/** Share of the run time by which a call should be able to exceed its mean and
 * still be on time, and the weight of the time by which it is not. They spread
 * the calls with little slack to the fast targets. */
static constexpr auto RunTimeReserve = 0.5;
static constexpr auto LatenessWeight = 1.5;

/** Weight of a new report in the usual occupancy of a target. */
static constexpr auto OccupancyReportWeight = 0.3;
/** Time constant in which an estimate returns from the last report to the usual
 * occupancy, in mean run times of the target. */
static constexpr auto OccupancyRunTimes = 1.0;
/** Weight of the expected wait at a target whose slots are mostly in use: among
 * many entry nodes the calls of the others are unknown, and without it all of
 * them choose the fastest target. */
static constexpr auto CongestionWeight = 1.0;
/** Half-life of the usual occupancy without reports, in microseconds: a target
 * that was full gets calls again. */
static constexpr auto OccupancyHalfLife = 5e6;

auto reportsWork(const target_view &View) -> bool {
  return View.Load.WorkPercent > 0;
}

void applyReport(target_view &View, const load_report &Load, steady_time Now) {
  auto Occupancy = static_cast<double>(Load.Running + Load.Queued);
  View.UsualOccupancy =
      View.ReportedAt == steady_time()
          ? Occupancy
          : View.UsualOccupancy +
                OccupancyReportWeight * (Occupancy - View.UsualOccupancy);
  View.Load = Load;
  View.ReportedAt = Now;
  View.SinceReport = 0;
}

/** @return the calls that the target runs at once. */
static auto usableSlots(const target_view &View) -> std::uint32_t {
  return View.Load.Concurrency > 0
             ? std::min(View.Load.Slots, View.Load.Concurrency)
             : View.Load.Slots;
}

/** @return the estimated number of calls at the target: those of the last
 * report, plus those sent since, minus those that should have finished. */
static auto estimatedOccupancy(const target_view &View, steady_time Now)
    -> double {
  auto Reported = static_cast<double>(View.Load.Running + View.Load.Queued);
  if (reportsWork(View)) {
    // Other nodes keep sending calls, so that it returns to its mean.
    auto Mean = std::max(1.0, static_cast<double>(View.Load.MeanRun.count()));
    auto Age = static_cast<double>((Now - View.ReportedAt).count());
    auto Usual = View.UsualOccupancy * std::exp2(-Age / OccupancyHalfLife);
    Reported = Usual +
               (Reported - Usual) * std::exp(-Age / (Mean * OccupancyRunTimes));
  } else if (View.Load.MeanRun > micros(0) && View.Load.Slots > 0) {
    auto Elapsed = static_cast<double>((Now - View.ReportedAt).count());
    auto Finished = Elapsed * usableSlots(View) /
                    static_cast<double>(View.Load.MeanRun.count());
    // Counts only half of them, because other nodes send calls as well.
    Reported = std::max(0.0, Reported - Finished / 2);
  }
  return std::max<double>(View.Outstanding, Reported + View.SinceReport);
}

/** @return the expected wait until a call starts at a target whose starts are
 * rate-limited: the reported wait, minus the age of the report, plus one gap
 * for each call sent since. */
static auto predictedStartWait(const target_view &View, steady_time Now)
    -> micros {
  auto Sent = static_cast<std::int64_t>(View.SinceReport);
  return std::max(micros(0), View.Load.Wait - (Now - View.ReportedAt) +
                                 View.Load.StartGap * Sent);
}

/** Expected course of a call at a target. */
struct call_forecast {
  double Occupancy = 0; // Calls at the target.
  double Factor = 1;    // Run time now relative to the usual one.
  micros Wait{0};       // Time until it starts.
};

/** @return the expected wait for a free slot. */
static auto predictedSlotWait(const target_view &View,
                              const call_forecast &Forecast) -> micros {
  auto Slots = std::max<double>(1, usableSlots(View));
  auto Excess = Forecast.Occupancy - Slots + 1;
  if (Excess <= 0) {
    return micros(0);
  }
  auto Mean = static_cast<double>(View.Load.MeanRun.count()) * Forecast.Factor;
  return saturatedMicros(Excess * Mean / Slots);
}

/** Evaluates a view once for all parts of a score. */
static auto forecastCall(const target_view &View, steady_time Now)
    -> call_forecast {
  auto Forecast = call_forecast();
  Forecast.Occupancy = estimatedOccupancy(View, Now);
  Forecast.Factor = workFactor(View.Load.WorkPercent, Now - View.ReportedAt);
  Forecast.Wait = predictedSlotWait(View, Forecast);
  if (View.Load.StartGap > micros(0)) {
    Forecast.Wait = std::max(Forecast.Wait, predictedStartWait(View, Now));
  }
  return Forecast;
}

auto predictedWait(const target_view &View, steady_time Now) -> micros {
  return forecastCall(View, Now).Wait;
}

auto predictedTransferTime(const target_view &View, std::size_t Bytes)
    -> micros {
  if (View.Load.LinkKbps == 0) {
    return micros(0);
  }
  auto Utilization =
      std::min(View.Load.LinkBusyPpm / 1e6, 1 - MinFreeLinkShare);
  auto MicrosPerByte = 8e3 / View.Load.LinkKbps;
  auto OwnTransfer =
      static_cast<double>(Bytes + CallOverheadBytes) * MicrosPerByte;
  auto QueueWait = OtherMessageBytes * MicrosPerByte * Utilization *
                   Utilization / (1 - Utilization);
  return saturatedMicros(OwnTransfer + QueueWait);
}

auto estimatedFailureShare(const target_view &View, steady_time Now) -> double {
  auto Share = View.Load.FailurePpm / 1e6;
  auto Age = Now - View.ReportedAt - FailureDecayDelay;
  if (Age <= micros(0)) {
    return Share;
  }
  return Share * std::exp2(-static_cast<double>(Age.count()) /
                           static_cast<double>(FailureHalfLife.count()));
}

auto isBulk(std::size_t Bytes) -> bool { return Bytes >= BulkBytes; }

auto avoidancePeriod(std::uint32_t SilentConnections) -> micros {
  if (SilentConnections == 0) {
    return micros(0);
  }
  auto Doublings = std::min(SilentConnections - 1, 10U);
  return std::min(MaxAvoidance, micros(MinAvoidance * (1LL << Doublings)));
}

auto adaptBulkShare(double Share, double Utilization) -> double {
  if (Utilization > LinkUtilizationThreshold) {
    return std::max(MinBulkShare,
                    Share * LinkUtilizationThreshold / Utilization);
  }
  return std::min(1.0, Share + BulkShareIncrement);
}

/** @return whether a request of this size may go to a host, by the limit on
 * large requests in flight and at random by its bulk share. */
static auto acceptsBulk(const candidate &Candidate, std::size_t Bytes,
                        random_source &Random) -> bool {
  if (Candidate.Local || !isBulk(Bytes)) {
    return true;
  }
  const auto &View = Candidate.View;
  auto MaxOutstanding = std::max(1U, View.Load.LinkKbps / KbpsPerBulkRequest);
  return View.BulkOutstanding < MaxOutstanding &&
         randomUnit(Random) * 1e6 < View.Load.BulkPpm;
}

/** @return the cost of a candidate in microseconds; lower is better. */
static auto scoreOf(const candidate &Candidate, const pick_request &Request,
                    const call_forecast &Forecast, micros Transfer,
                    steady_time Now) -> double {
  const auto &View = Candidate.View;
  auto Run = static_cast<double>(Request.MeanRun.count()) *
             View.RelativeRunTime * Forecast.Factor;
  auto OnTime =
      std::max(0.0, static_cast<double>(Request.TimeToObjective.count()));
  auto SlotShare = Forecast.Occupancy / std::max<double>(1, usableSlots(View));
  auto Start = static_cast<double>((Forecast.Wait + Transfer).count());
  auto Score = Start + Run;
  Score += OccupancyWeight * Run * std::min(1.0, SlotShare);
  Score += FailureWeight * OnTime * estimatedFailureShare(View, Now);
  if (reportsWork(View)) {
    auto Finish = Start + Run * (1 + RunTimeReserve);
    Score += LatenessWeight * std::max(0.0, Finish - OnTime);
    Score += CongestionWeight * Run * SlotShare * SlotShare * SlotShare;
  }
  if (!Candidate.SameZone) {
    Score +=
        LocalZoneWaitShare *
        std::max(0.0, OnTime - static_cast<double>(Request.MeanRun.count()));
  }
  return Score;
}

auto pickTarget(const std::vector<candidate> &Candidates,
                const pick_request &Request, steady_time Now,
                random_source &Random) -> std::optional<pick_result> {
  auto Best = std::optional<pick_result>();
  auto BestScore = 0.0;
  for (const auto &Candidate : Candidates) {
    const auto &View = Candidate.View;
    if (View.AvoidUntil > Now) {
      continue;
    }
    auto Forecast = forecastCall(View, Now);
    auto Transfer = Candidate.Local
                        ? micros(0)
                        : predictedTransferTime(View, Request.Bytes);
    auto Run =
        reportsWork(View)
            ? scaled(Request.MeanRun, View.RelativeRunTime * Forecast.Factor)
            : Request.MeanRun;
    if (Forecast.Wait + Transfer + Run / 2 > Request.TimeLeft ||
        !acceptsBulk(Candidate, Request.Bytes, Random)) {
      continue;
    }
    auto Score = scoreOf(Candidate, Request, Forecast, Transfer, Now) *
                 (1 + ScoreJitter * randomUnit(Random));
    if (!Best || Score < BestScore) {
      Best = pick_result{Candidate.Index, Forecast.Wait};
      BestScore = Score;
    }
  }
  return Best;
}

auto retryAfter(micros Wait, micros TimeLeft, random_source &Random) -> micros {
  auto MaxDelay = static_cast<double>(TimeLeft.count()) * MaxRetryDelayShare;
  auto Delay = std::max(static_cast<double>(Wait.count()),
                        static_cast<double>(MinRetryDelay.count()));
  auto Jitter = 0.7 + 0.6 * randomUnit(Random);
  return saturatedMicros(std::max(0.0, std::min(Delay * Jitter, MaxDelay)));
}

} // namespace sycamorelb::dispatch
