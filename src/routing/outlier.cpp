/** @file outlier.cpp Outlier detection and ejection. */
#include "sycamorelb/routing/outlier_func.h"

#include <algorithm>

namespace sycamorelb::routing {

namespace {

/// Decay of the counters per call; an effective window of about 50 calls.
constexpr double CallDecay = 0.98;
/// Maximum number of doublings of the ejection time.
constexpr std::uint32_t MaxDoublings = 16;

auto failureRatio(const outlier_state &State) -> double {
  return State.Calls > 0 ? State.Failures / State.Calls : 0;
}

/** Totals over the upstreams of a group that are not ejected. */
struct group_total {
  double Calls = 0;    ///< Decayed calls.
  double Failures = 0; ///< Decayed failures.
};

/** @return whether State fails clearly more often than its group. */
auto isOutlier(const outlier_state &State, const outlier_config &Config,
               const group_total &Total) -> bool {
  if (State.Unreachable)
    return true;
  auto OtherCalls = Total.Calls - State.Calls;
  auto OtherFailureRatio =
      OtherCalls > 0.5 ? (Total.Failures - State.Failures) / OtherCalls : 0;
  if (State.ConsecutiveFailures >= Config.ConsecutiveFailures)
    return OtherFailureRatio < 1 - Config.SuccessRateGap;
  return State.Calls >= Config.MinCalls &&
         failureRatio(State) > OtherFailureRatio + Config.SuccessRateGap;
}

void eject(outlier_state &State, const outlier_config &Config,
           steady_time Now) {
  if (State.Ejections > 0) {
    auto SinceEjection = std::max(Now - State.EjectedUntil, micros{0});
    auto Halvings = std::min<std::int64_t>(
        SinceEjection / Config.EjectionCountHalfLife, 31);
    State.Ejections >>= Halvings;
  }
  auto Doublings = std::min(State.Ejections, MaxDoublings);
  State.EjectedUntil =
      Now + std::min<micros>(Config.BaseEjectionTime * (1L << Doublings),
                             Config.MaxEjectionTime);
  State.Ejected = true;
  ++State.Ejections;
}

void readmit(outlier_state &State);

/** Ends the ejection of an upstream that still accepts connections, to make
 * room for one that refuses them.
 * @return whether an ejection was ended. */
auto readmitReachable(std::span<outlier_state *const> Group,
                      outlier_changes &Changes, std::size_t &Ejected,
                      steady_time Now) -> bool {
  for (auto Index = std::size_t{0}; Index < Group.size(); ++Index) {
    auto &State = *Group[Index];
    if (State.Ejected && !State.Unreachable) {
      State.EjectedUntil = Now;
      readmit(State);
      Changes.Readmitted.push_back(Index);
      --Ejected;
      return true;
    }
  }
  return false;
}

void readmit(outlier_state &State) {
  State.Ejected = false;
  State.ReadmittedAt = State.EjectedUntil;
  State.ConsecutiveFailures = 0;
  State.Unreachable = false;
  State.Calls = 0;
  State.Failures = 0;
}

} // namespace

void observeCall(outlier_state &State, limits::call_outcome Outcome) {
  using limits::call_outcome;
  if (Outcome == call_outcome::Cancelled || Outcome == call_outcome::NotStarted)
    return;
  State.Unreachable = Outcome == call_outcome::Unreachable;
  if (Outcome == call_outcome::Refused)
    return;
  auto Failed = Outcome != call_outcome::Success;
  State.ConsecutiveFailures = Failed ? State.ConsecutiveFailures + 1 : 0;
  State.Calls = State.Calls * CallDecay + 1;
  State.Failures = State.Failures * CallDecay + (Failed ? 1 : 0);
}

auto isOutlierCandidate(const outlier_state &State,
                        const outlier_config &Config) -> bool {
  return State.Unreachable ||
         State.ConsecutiveFailures >= Config.ConsecutiveFailures ||
         (State.Calls >= Config.MinCalls &&
          failureRatio(State) > Config.SuccessRateGap);
}

auto updateOutliers(std::span<outlier_state *const> Group,
                    const outlier_config &Config, steady_time Now)
    -> outlier_changes {
  auto Changes = outlier_changes{};
  auto Total = group_total{};
  auto Ejected = std::size_t{0};
  auto OutlierCandidates = std::vector<std::size_t>{};
  for (auto Index = std::size_t{0}; Index < Group.size(); ++Index) {
    auto &State = *Group[Index];
    if (State.Ejected && Now >= State.EjectedUntil) {
      readmit(State);
      Changes.Readmitted.push_back(Index);
    }
    if (State.Ejected) {
      ++Ejected;
      continue;
    }
    Total.Calls += State.Calls;
    Total.Failures += State.Failures;
    if (isOutlierCandidate(State, Config))
      OutlierCandidates.push_back(Index);
  }
  // Ejects the worst first, as the cap of half the group may not suffice for
  // all.
  std::ranges::stable_sort(
      OutlierCandidates, [&](std::size_t A, std::size_t B) {
        if (Group[A]->Unreachable != Group[B]->Unreachable)
          return Group[A]->Unreachable;
        return failureRatio(*Group[A]) > failureRatio(*Group[B]);
      });
  for (auto Index : OutlierCandidates) {
    auto &State = *Group[Index];
    if (!isOutlier(State, Config, Total))
      continue;
    if (Ejected >= Group.size() / 2 &&
        !(State.Unreachable &&
          readmitReachable(Group, Changes, Ejected, Now))) {
      Changes.SkippedAtCap.push_back(Index);
      continue;
    }
    eject(State, Config, Now);
    ++Ejected;
    Total.Calls -= State.Calls;
    Total.Failures -= State.Failures;
    Changes.Ejected.push_back(Index);
  }
  return Changes;
}

} // namespace sycamorelb::routing
