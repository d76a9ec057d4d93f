/** @file pick.cpp Scoring of targets. */
#include "sycamorelb/dispatch/pick.h"

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

/** @return the estimated number of calls at the target: those of the last
 * report, plus those sent since, minus those that should have finished. */
static auto estimatedOccupancy(const target_view &View, steady_time Now)
    -> double {
  auto Reported = static_cast<double>(View.Load.Running + View.Load.Queued);
  if (View.Load.MeanRun > micros(0) && View.Load.Slots > 0) {
    auto Elapsed = static_cast<double>((Now - View.ReportedAt).count());
    auto Finished = Elapsed * View.Load.Slots /
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

/** @return the expected wait for a free slot. */
static auto predictedSlotWait(const target_view &View, steady_time Now)
    -> micros {
  auto Slots = std::max<double>(1, View.Load.Slots);
  auto Excess = estimatedOccupancy(View, Now) - Slots + 1;
  if (Excess <= 0) {
    return micros(0);
  }
  auto Mean = static_cast<double>(View.Load.MeanRun.count());
  return micros(static_cast<std::int64_t>(Excess * Mean / Slots));
}

auto predictedWait(const target_view &View, steady_time Now) -> micros {
  auto SlotWait = predictedSlotWait(View, Now);
  return View.Load.StartGap > micros(0)
             ? std::max(SlotWait, predictedStartWait(View, Now))
             : SlotWait;
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
  return micros(static_cast<std::int64_t>(OwnTransfer + QueueWait));
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
                    micros Wait, steady_time Now) -> double {
  auto Run = static_cast<double>(Request.MeanRun.count()) *
             Candidate.View.RelativeRunTime;
  auto OnTime =
      std::max(0.0, static_cast<double>(Request.TimeToObjective.count()));
  auto Slots = std::max<double>(1, Candidate.View.Load.Slots);
  auto Transfer = Candidate.Local
                      ? micros(0)
                      : predictedTransferTime(Candidate.View, Request.Bytes);
  auto Score = static_cast<double>((Wait + Transfer).count()) + Run;
  Score += OccupancyWeight * Run *
           std::min(1.0, estimatedOccupancy(Candidate.View, Now) / Slots);
  Score += FailureWeight * OnTime * estimatedFailureShare(Candidate.View, Now);
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
    if (Candidate.View.AvoidUntil > Now) {
      continue;
    }
    auto Wait = predictedWait(Candidate.View, Now);
    auto Transfer = Candidate.Local
                        ? micros(0)
                        : predictedTransferTime(Candidate.View, Request.Bytes);
    if (Wait + Transfer + Request.MeanRun / 2 > Request.TimeLeft ||
        !acceptsBulk(Candidate, Request.Bytes, Random)) {
      continue;
    }
    auto Score = scoreOf(Candidate, Request, Wait, Now) *
                 (1 + ScoreJitter * randomUnit(Random));
    if (!Best || Score < BestScore) {
      Best = pick_result{Candidate.Index, Wait};
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
  return micros(static_cast<std::int64_t>(
      std::max(0.0, std::min(Delay * Jitter, MaxDelay))));
}

} // namespace sycamorelb::dispatch
