/** @file target_board.cpp Load balancing state of an entry node. */
#include "sidecar/target_board.h"

#include "sidecar/version_view.h"
#include "sycamorelb/core/number_func.h"

#include <algorithm>

namespace sycamorelb::sidecar {

/** Weight of a new sample in the mean run time of a route. */
static constexpr auto RunTimeWeight = 0.05;
/** Weight of a new sample in the relative run time of a target. */
static constexpr auto RelativeRunTimeWeight = 0.3;
/** The same for a target whose run times are normalised by work figures: they
 * vary less, and each of many entry nodes sees few of them. */
static constexpr auto NormalisedRunTimeWeight = 0.6;
/** Bounds of one sample of the relative run time of a target. */
static constexpr auto MinRelativeRunTime = 0.2;
static constexpr auto MaxRelativeRunTime = 20.0;
/** Initial run time estimate of a route, as a share of its latency objective.
 */
static constexpr auto InitialRunTimeShare = 0.3;
/** Shares of the deployment's retry limit by cause. The calls made by a retried
 * call count as retries too, so the budget for failed calls is small. */
static constexpr auto FailedRetryShare = 0.25;
static constexpr auto RefusedRetryShare = 0.35;

auto findEligibleTargets(const node_state &State, balancer_state &Balancer,
                         const target_filter &Filter) -> eligible_targets {
  auto Eligible = eligible_targets();
  auto RequiredUse = Filter.CanaryOnly ? rollout::version_use::Canary
                                       : rollout::version_use::Serving;
  auto Versions = findVersionRule(State, Filter.Service);
  for (const auto &[Node, Host] : State.Hosts.records()) {
    const auto &Target = Host.Target;
    auto Usable = Target.Service == Filter.Service &&
                  Target.State == mesh::target_state::Ready && !Host.Leaving &&
                  !State.EvacuatedZones.contains(Host.Zone) &&
                  Versions.useOf(Target.Version) == RequiredUse;
    auto Notice = Balancer.Notices.find(Node);
    auto SaidLeaving = Notice != Balancer.Notices.end() &&
                       Notice->second.Leaving &&
                       isAbout(Notice->second, Target);
    if (!Usable || SaidLeaving ||
        (Filter.TriedHosts != nullptr && Filter.TriedHosts->contains(Node))) {
      continue;
    }
    if (Balancer.ViewTargets[Node] != Target.Id) {
      Balancer.ViewTargets[Node] = Target.Id;
      auto Previous = Balancer.Views[Node];
      auto &View = Balancer.Views[Node];
      View = dispatch::target_view();
      View.Outstanding = Previous.Outstanding;
      View.BulkOutstanding = Previous.BulkOutstanding;
    }
    auto View = Balancer.Views[Node];
    if (View.Load.Slots == 0) {
      View.Load.Slots = Target.Slots;
    }
    Eligible.Candidates.push_back(
        {static_cast<std::uint32_t>(Eligible.Hosts.size()),
         Host.Zone == State.Own.Zone, Node == State.Own.Node, View});
    Eligible.Hosts.push_back(&Host);
  }
  return Eligible;
}

auto takeCanaryTurn(const node_state &State, balancer_state &Balancer,
                    const service_id &Service) -> bool {
  const auto *Rollout = findRollout(State, Service);
  if (Rollout == nullptr || Rollout->Stage != rollout::rollout_stage::Canary) {
    return false;
  }
  auto &Credit = Balancer.CanaryCredit[Service];
  Credit += rollout::CanaryPercent;
  if (Credit < 100) {
    return false;
  }
  Credit -= 100;
  return true;
}

auto expectedRunTime(const balancer_state &Balancer,
                     const mesh::route_rule &Route) -> micros {
  auto Found = Balancer.Routes.find(Route.Name);
  if (Found != Balancer.Routes.end() && Found->second.MeanRun > micros(0)) {
    return Found->second.MeanRun;
  }
  return saturatedMicros(static_cast<double>(micros(Route.Objective).count()) *
                         InitialRunTimeShare);
}

void recordCallSent(balancer_state &Balancer, const node_id &Node,
                    std::size_t Bytes) {
  auto &View = Balancer.Views[Node];
  View.BulkOutstanding += dispatch::isBulk(Bytes) ? 1 : 0;
  ++View.Outstanding;
  ++View.SinceReport;
}

void recordCallReleased(balancer_state &Balancer, const node_id &Node,
                        std::size_t Bytes) {
  auto &View = Balancer.Views[Node];
  View.Outstanding -= View.Outstanding > 0 ? 1 : 0;
  View.BulkOutstanding -=
      dispatch::isBulk(Bytes) && View.BulkOutstanding > 0 ? 1 : 0;
}

/** @return the exponentially weighted moving average after a new sample. */
static auto movingAverage(double Mean, double Value, double Weight) -> double {
  return Mean + Weight * (Value - Mean);
}

/** Takes over what the target of a host says of itself. A node that has
 * restarted may not know that its target leaves, nor the limit before a call
 * reached the target. */
static void updateNotice(mesh::target_notice &Known,
                         const inner::reply_message &Reply) {
  const auto &Told = Reply.Notice;
  auto IsEmpty = Told.Target.Value.empty();
  auto IsSameStart =
      Told.Target == Known.Target && Told.StartedAtMs == Known.StartedAtMs;
  if (Known.Leaving && (IsEmpty || IsSameStart)) {
    return;
  }
  if (Reply.ReachedTarget || !IsEmpty) {
    Known = Told;
  }
}

void recordReply(balancer_state &Balancer, const node_id &Node,
                 const route_id &Route, const inner::reply_message &Reply,
                 steady_time Now) {
  auto &View = Balancer.Views[Node];
  updateNotice(Balancer.Notices[Node], Reply);
  if (Reply.Load.Slots == 0) {
    return;
  }
  View.SilentConnections = 0;
  dispatch::applyReport(View, Reply.Load, Now);
  if (Reply.MeanRouteRunTime <= micros(0)) {
    return;
  }
  auto &Mean = Balancer.Routes[Route].MeanRun;
  auto Reported = static_cast<double>(Reply.MeanRouteRunTime.count());
  if (Mean == micros(0)) {
    Mean = Reply.MeanRouteRunTime;
  }
  Mean = micros(static_cast<std::int64_t>(movingAverage(
      static_cast<double>(Mean.count()), Reported, RunTimeWeight)));
  auto Ratio =
      Reported / static_cast<double>(std::max<std::int64_t>(1, Mean.count()));
  View.RelativeRunTime =
      movingAverage(View.RelativeRunTime,
                    std::clamp(Ratio, MinRelativeRunTime, MaxRelativeRunTime),
                    dispatch::reportsWork(View) ? NormalisedRunTimeWeight
                                                : RelativeRunTimeWeight);
}

void recordUnreachableHost(balancer_state &Balancer, const node_id &Node,
                           steady_time Now) {
  auto &View = Balancer.Views[Node];
  // Several calls may report the same failure of a connection.
  if (View.AvoidUntil <= Now) {
    ++View.SilentConnections;
    View.AvoidUntil = Now + dispatch::avoidancePeriod(View.SilentConnections);
  }
}

/** @return the retry budget of this node. */
static auto retryBudget(const node_state &State, retry_cause Cause)
    -> limits::budget_config {
  auto Share =
      Cause == retry_cause::Failed ? FailedRetryShare : RefusedRetryShare;
  const auto &Bounds = State.Settings.Bounds;
  auto Nodes = static_cast<double>(
      std::max<std::size_t>(1, State.Hosts.records().size()));
  auto Rule = limits::budget_config();
  Rule.Percent = saturatedCast<std::uint32_t>(Bounds.RetryRatio * Share * 100);
  Rule.MaxTokens = std::max(1.0, Bounds.RetrySlack * Share / Nodes);
  Rule.MinPerSecond = Bounds.RetrySlack * Share / Nodes /
                      (static_cast<double>(Bounds.RetryWindow.count()) / 1e3);
  return Rule;
}

void earnRetryTokens(const node_state &State, balancer_state &Balancer,
                     const service_id &Service) {
  for (auto Cause : {retry_cause::Failed, retry_cause::Refused}) {
    limits::onCall(Balancer.RetryBudgets[{Service, Cause}],
                   retryBudget(State, Cause));
  }
}

auto takeRetryToken(const node_state &State, balancer_state &Balancer,
                    const service_id &Service, retry_cause Cause) -> bool {
  return limits::tryTake(Balancer.RetryBudgets[{Service, Cause}],
                         retryBudget(State, Cause), State.Loop.now());
}

} // namespace sycamorelb::sidecar
