/** @file pick.cpp Scores of targets. */
#include "sycamorelb/dispatch/pick.h"

#include <algorithm>
#include <cmath>

namespace sycamorelb::dispatch {

/** Share of the spare time of a call that it may wait in its own zone before
 * it goes to another one. */
static constexpr auto ZoneShare = 0.75;
/** Weight of a target's occupancy among targets with free slots. */
static constexpr auto OccupancyWeight = 0.6;
/** Cost of a certain failure in units of the time for an answer on time. */
static constexpr auto FailureWeight = 1.5;
/** Random part of a score, so that equal nodes choose different targets. */
static constexpr auto Noise = 0.1;
/** Time for which a reported failure share is believed in full. */
static constexpr auto FailureFresh = micros(1'500'000);
/** Time in which a failure share halves after that. */
static constexpr auto FailureHalfLife = micros(1'500'000);
/** Bytes of a call beside its body: heads and answer. */
static constexpr auto CallBytes = std::size_t{2000};
/** Size of the messages that a busy link carries, in bytes, for the expected
 * wait behind them. */
static constexpr auto OtherBytes = 40'000.0;
/** Share of a link that stays free in the estimate, so that it is finite. */
static constexpr auto LeastFreeShare = 0.05;
/** Size from which a request counts as large. */
static constexpr auto BulkBytes = std::size_t{16} * 1024;
/** Bandwidth in Kbit/s for each large request that one node may have on its
 * way to a host: as many pass within a few hundred ms. */
static constexpr auto KbpsPerBulk = 10'000U;
/** Time without calls after a first silence, doubled with each further one. */
static constexpr auto FirstAvoidance = micros(400'000);
static constexpr auto LongestAvoidance = micros(6'400'000);
/** Use of a link above which a host bears fewer large requests. */
static constexpr auto LinkTarget = 0.7;
/** Least share of large requests, so that the end of an overload is noticed. */
static constexpr auto LeastBulkShare = 0.05;
/** Growth of the share with each measurement below the target. */
static constexpr auto BulkStep = 0.03;
/** Share of its time left that a caller waits for at most. */
static constexpr auto LongestReturnShare = 0.3;
/** Shortest time after which a refused caller returns. */
static constexpr auto ShortestReturn = micros(25'000);

/** @return calls at the target now, from the last report and what was sent
 * since, less what should have finished. */
static auto believedOccupancy(const target_view &View, steady_time Now)
    -> double {
  auto Reported = static_cast<double>(View.Load.Running + View.Load.Queued);
  if (View.Load.MeanRun > micros(0) && View.Load.Slots > 0) {
    auto Elapsed = static_cast<double>((Now - View.ReportedAt).count());
    auto Finished = Elapsed * View.Load.Slots /
                    static_cast<double>(View.Load.MeanRun.count());
    // Half of it: others send to the target as well.
    Reported = std::max(0.0, Reported - Finished / 2);
  }
  return std::max<double>(View.Outstanding, Reported + View.SinceReport);
}

/** @return the expected wait for a start at a cold target: what it told, less
 * the time since, plus a gap for each call that was sent since. */
static auto predictedColdWait(const target_view &View, steady_time Now)
    -> micros {
  auto Sent = static_cast<std::int64_t>(View.SinceReport);
  return std::max(micros(0), View.Load.Wait - (Now - View.ReportedAt) +
                                 View.Load.StartGap * Sent);
}

/** @return the expected wait for a free slot. */
static auto predictedSlotWait(const target_view &View, steady_time Now)
    -> micros {
  auto Slots = std::max<double>(1, View.Load.Slots);
  auto Over = believedOccupancy(View, Now) - Slots + 1;
  if (Over <= 0) {
    return micros(0);
  }
  auto Mean = static_cast<double>(View.Load.MeanRun.count());
  return micros(static_cast<std::int64_t>(Over * Mean / Slots));
}

auto predictedWait(const target_view &View, steady_time Now) -> micros {
  auto SlotWait = predictedSlotWait(View, Now);
  return View.Load.StartGap > micros(0)
             ? std::max(SlotWait, predictedColdWait(View, Now))
             : SlotWait;
}

auto predictedTransfer(const target_view &View, std::size_t Bytes) -> micros {
  if (View.Load.LinkKbps == 0) {
    return micros(0);
  }
  auto Busy = std::min(View.Load.LinkBusyPpm / 1e6, 1 - LeastFreeShare);
  auto MicrosPerByte = 8e3 / View.Load.LinkKbps;
  auto Own = static_cast<double>(Bytes + CallBytes) * MicrosPerByte;
  auto Others = OtherBytes * MicrosPerByte * Busy * Busy / (1 - Busy);
  return micros(static_cast<std::int64_t>(Own + Others));
}

auto believedFailure(const target_view &View, steady_time Now) -> double {
  auto Share = View.Load.FailurePpm / 1e6;
  auto Age = Now - View.ReportedAt - FailureFresh;
  if (Age <= micros(0)) {
    return Share;
  }
  return Share * std::exp2(-static_cast<double>(Age.count()) /
                           static_cast<double>(FailureHalfLife.count()));
}

auto isBulk(std::size_t Bytes) -> bool { return Bytes >= BulkBytes; }

auto avoidanceAfter(std::uint32_t Silences) -> micros {
  if (Silences == 0) {
    return micros(0);
  }
  auto Doublings = std::min(Silences - 1, 10U);
  return std::min(LongestAvoidance,
                  micros(FirstAvoidance * (1LL << Doublings)));
}

auto adaptBulkShare(double Share, double Busy) -> double {
  if (Busy > LinkTarget) {
    return std::max(LeastBulkShare, Share * LinkTarget / Busy);
  }
  return std::min(1.0, Share + BulkStep);
}

/** @return whether a host takes a request of this size, by its bulk share. */
static auto takesBulk(const candidate &Candidate, std::size_t Bytes,
                      random_source &Random) -> bool {
  if (Candidate.Local || !isBulk(Bytes)) {
    return true;
  }
  const auto &View = Candidate.View;
  auto MostOutstanding = std::max(1U, View.Load.LinkKbps / KbpsPerBulk);
  return View.BulkOutstanding < MostOutstanding &&
         randomUnit(Random) * 1e6 < View.Load.BulkPpm;
}

/** @return the cost of a candidate in microseconds. */
static auto scoreOf(const candidate &Candidate, const pick_request &Request,
                    micros Wait, steady_time Now) -> double {
  auto Run =
      static_cast<double>(Request.MeanRun.count()) * Candidate.View.Slowness;
  auto OnTime = std::max(0.0, static_cast<double>(Request.TimeOnTime.count()));
  auto Slots = std::max<double>(1, Candidate.View.Load.Slots);
  auto Transfer = Candidate.Local
                      ? micros(0)
                      : predictedTransfer(Candidate.View, Request.Bytes);
  auto Score = static_cast<double>((Wait + Transfer).count()) + Run;
  Score += OccupancyWeight * Run *
           std::min(1.0, believedOccupancy(Candidate.View, Now) / Slots);
  Score += FailureWeight * OnTime * believedFailure(Candidate.View, Now);
  if (!Candidate.SameZone) {
    Score +=
        ZoneShare *
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
                        : predictedTransfer(Candidate.View, Request.Bytes);
    if (Wait + Transfer + Request.MeanRun / 2 > Request.TimeLeft ||
        !takesBulk(Candidate, Request.Bytes, Random)) {
      continue;
    }
    auto Score = scoreOf(Candidate, Request, Wait, Now) *
                 (1 + Noise * randomUnit(Random));
    if (!Best || Score < BestScore) {
      Best = pick_result{Candidate.Index, Wait};
      BestScore = Score;
    }
  }
  return Best;
}

auto retryAfter(micros Wait, micros TimeLeft, random_source &Random) -> micros {
  auto Longest = static_cast<double>(TimeLeft.count()) * LongestReturnShare;
  auto Wanted = std::max(static_cast<double>(Wait.count()),
                         static_cast<double>(ShortestReturn.count()));
  auto Spread = 0.7 + 0.6 * randomUnit(Random);
  return micros(static_cast<std::int64_t>(
      std::max(0.0, std::min(Wanted * Spread, Longest))));
}

} // namespace sycamorelb::dispatch
