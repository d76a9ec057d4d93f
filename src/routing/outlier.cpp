/** @file outlier.cpp Outlier ejection. */
#include "sycamorelb/routing/outlier_func.h"

#include <algorithm>

namespace sycamorelb::routing {

namespace {

/// Weight kept by earlier calls with each call; about the last 50 count.
constexpr double CallDecay = 0.98;
/// Doublings of the ejection time counted at most.
constexpr std::uint32_t MaxDoublings = 16;

auto failureRatio(const outlier_state &State) -> double {
  return State.Calls > 0 ? State.Failures / State.Calls : 0;
}

/** Failures and calls of all judged upstreams of a group. */
struct group_total {
  double Calls = 0;    ///< Decayed calls.
  double Failures = 0; ///< Decayed failures.
};

/** @return whether State fails clearly more than the rest of its group. */
auto isOutlier(const outlier_state &State, const outlier_config &Config,
               const group_total &Total) -> bool {
  if (State.Unreachable)
    return true;
  auto OtherCalls = Total.Calls - State.Calls;
  auto Others =
      OtherCalls > 0.5 ? (Total.Failures - State.Failures) / OtherCalls : 0;
  if (State.ConsecutiveFailures >= Config.ConsecutiveFailures)
    return Others < 1 - Config.SuccessRateGap;
  return State.Calls >= Config.MinCalls &&
         failureRatio(State) > Others + Config.SuccessRateGap;
}

void eject(outlier_state &State, const outlier_config &Config,
           steady_time Now) {
  if (State.Ejections > 0) {
    auto Quiet = std::max(Now - State.EjectedUntil, micros{0});
    auto Halvings = std::min<std::int64_t>(Quiet / Config.Forgiveness, 31);
    State.Ejections >>= Halvings;
  }
  auto Doublings = std::min(State.Ejections, MaxDoublings);
  State.EjectedUntil =
      Now + std::min<micros>(Config.BaseEjection * (1L << Doublings),
                             Config.MaxEjection);
  State.Ejected = true;
  ++State.Ejections;
}

void readmit(outlier_state &State);

/** Ends the ejection of an upstream that still accepted connections, to make
 * room for one that refuses them.
 * @return whether there was one. */
auto readmitReachable(std::span<outlier_state *const> Group,
                      outlier_changes &Changes, std::size_t &Ejected,
                      steady_time Now) -> bool {
  for (auto Index = std::size_t{0}; Index < Group.size(); ++Index) {
    auto &State = *Group[Index];
    if (State.Ejected && !State.Unreachable) {
      State.EjectedUntil = Now;
      readmit(State);
      Changes.Returned.push_back(Index);
      --Ejected;
      return true;
    }
  }
  return false;
}

void readmit(outlier_state &State) {
  State.Ejected = false;
  State.ReturnedAt = State.EjectedUntil;
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

auto isSuspicious(const outlier_state &State, const outlier_config &Config)
    -> bool {
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
  auto Suspects = std::vector<std::size_t>{};
  for (auto Index = std::size_t{0}; Index < Group.size(); ++Index) {
    auto &State = *Group[Index];
    if (State.Ejected && Now >= State.EjectedUntil) {
      readmit(State);
      Changes.Returned.push_back(Index);
    }
    if (State.Ejected) {
      ++Ejected;
      continue;
    }
    Total.Calls += State.Calls;
    Total.Failures += State.Failures;
    if (isSuspicious(State, Config))
      Suspects.push_back(Index);
  }
  // The worst go first, in case the half does not suffice for all.
  std::ranges::stable_sort(Suspects, [&](std::size_t A, std::size_t B) {
    if (Group[A]->Unreachable != Group[B]->Unreachable)
      return Group[A]->Unreachable;
    return failureRatio(*Group[A]) > failureRatio(*Group[B]);
  });
  for (auto Index : Suspects) {
    auto &State = *Group[Index];
    if (!isOutlier(State, Config, Total))
      continue;
    if (Ejected >= Group.size() / 2 &&
        !(State.Unreachable &&
          readmitReachable(Group, Changes, Ejected, Now))) {
      Changes.Spared.push_back(Index);
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
