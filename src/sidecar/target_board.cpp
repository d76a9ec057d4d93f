/** @file target_board.cpp Beliefs of an entry node. */
#include "sidecar/target_board.h"

#include <algorithm>

namespace sycamorelb::sidecar {

/** Weight of a new value in the mean run time of a route. */
static constexpr auto RunWeight = 0.05;
/** Weight of a new value in the slowness of a target. */
static constexpr auto SlownessWeight = 0.3;
/** Bounds of the slowness of a target. */
static constexpr auto LeastSlowness = 0.2;
static constexpr auto MostSlowness = 20.0;
/** Run time assumed for a route, as a share of its objective. */
static constexpr auto FirstRunShare = 0.3;
/** Shares of the deployment's repeats that nodes use. The calls that a repeated
 * run makes count as repeats too, so the first share is small. */
static constexpr auto FailedShare = 0.25;
static constexpr auto RefusedShare = 0.35;

auto chooseTargets(const node_state &State, target_board &Board,
                   const target_filter &Filter) -> target_choice {
  auto Choice = target_choice();
  auto Wanted = Filter.Trial ? rollout::version_use::Trial
                             : rollout::version_use::Serving;
  const auto *Rollout = findRollout(State, Filter.Service);
  auto Base =
      Rollout == nullptr ? baseVersion(State, Filter.Service) : version_id();
  for (const auto &[Node, Host] : State.Hosts.records()) {
    const auto &Target = Host.Target;
    auto Usable =
        Target.Service == Filter.Service &&
        Target.State == mesh::target_state::Ready && !Host.Leaving &&
        !State.Evacuated.contains(Host.Zone) &&
        rollout::useOfVersion(Target.Version, Rollout, Base) == Wanted;
    if (!Usable || (Filter.Tried != nullptr && Filter.Tried->contains(Node))) {
      continue;
    }
    if (Board.Seen[Node] != Target.Id) {
      Board.Seen[Node] = Target.Id;
      auto Former = Board.Views[Node];
      auto &View = Board.Views[Node];
      View = dispatch::target_view();
      View.Outstanding = Former.Outstanding;
      View.BulkOutstanding = Former.BulkOutstanding;
    }
    auto View = Board.Views[Node];
    if (View.Load.Slots == 0) {
      View.Load.Slots = Target.Slots;
    }
    Choice.Candidates.push_back(
        {static_cast<std::uint32_t>(Choice.Hosts.size()),
         Host.Zone == State.Own.Zone, Node == State.Own.Node, View});
    Choice.Hosts.push_back(&Host);
  }
  return Choice;
}

auto takeTrialTurn(const node_state &State, target_board &Board,
                   const service_id &Service) -> bool {
  const auto *Rollout = findRollout(State, Service);
  if (Rollout == nullptr || Rollout->Stage != rollout::rollout_stage::Testing) {
    return false;
  }
  auto &Credit = Board.TrialCredit[Service];
  Credit += rollout::TrialPercent;
  if (Credit < 100) {
    return false;
  }
  Credit -= 100;
  return true;
}

auto expectedRun(const target_board &Board, const mesh::route_rule &Route)
    -> micros {
  auto Found = Board.Routes.find(Route.Name);
  if (Found != Board.Routes.end() && Found->second.MeanRun > micros(0)) {
    return Found->second.MeanRun;
  }
  return micros(static_cast<std::int64_t>(
      static_cast<double>(micros(Route.Objective).count()) * FirstRunShare));
}

void noteSent(target_board &Board, const node_id &Node, std::size_t Bytes) {
  auto &View = Board.Views[Node];
  View.BulkOutstanding += dispatch::isBulk(Bytes) ? 1 : 0;
  ++View.Outstanding;
  ++View.SinceReport;
}

void noteLeft(target_board &Board, const node_id &Node, std::size_t Bytes) {
  auto &View = Board.Views[Node];
  View.Outstanding -= View.Outstanding > 0 ? 1 : 0;
  View.BulkOutstanding -=
      dispatch::isBulk(Bytes) && View.BulkOutstanding > 0 ? 1 : 0;
}

/** @return the mean moved towards Value. */
static auto blend(double Mean, double Value, double Weight) -> double {
  return Mean + Weight * (Value - Mean);
}

void noteReply(target_board &Board, const node_id &Node, const route_id &Route,
               const inner::reply_message &Reply, steady_time Now) {
  auto &View = Board.Views[Node];
  if (Reply.Load.Slots == 0) {
    return;
  }
  View.Silences = 0;
  View.Load = Reply.Load;
  View.ReportedAt = Now;
  View.SinceReport = 0;
  if (Reply.RouteMean <= micros(0)) {
    return;
  }
  auto &Mean = Board.Routes[Route].MeanRun;
  auto Reported = static_cast<double>(Reply.RouteMean.count());
  if (Mean == micros(0)) {
    Mean = Reply.RouteMean;
  }
  Mean = micros(static_cast<std::int64_t>(
      blend(static_cast<double>(Mean.count()), Reported, RunWeight)));
  auto Ratio =
      Reported / static_cast<double>(std::max<std::int64_t>(1, Mean.count()));
  View.Slowness =
      blend(View.Slowness, std::clamp(Ratio, LeastSlowness, MostSlowness),
            SlownessWeight);
}

void noteSilence(target_board &Board, const node_id &Node, steady_time Now) {
  auto &View = Board.Views[Node];
  // Several calls may notice the same silence.
  if (View.AvoidUntil <= Now) {
    ++View.Silences;
    View.AvoidUntil = Now + dispatch::avoidanceAfter(View.Silences);
  }
}

/** @return the budget rule of one node. */
static auto repeatRule(const node_state &State, repeat_cause Cause)
    -> limits::budget_config {
  auto Share = Cause == repeat_cause::Failed ? FailedShare : RefusedShare;
  const auto &Bounds = State.Settings.Bounds;
  auto Nodes = static_cast<double>(
      std::max<std::size_t>(1, State.Hosts.records().size()));
  auto Rule = limits::budget_config();
  Rule.Percent = static_cast<std::uint32_t>(Bounds.RetryRatio * Share * 100);
  Rule.MaxTokens = std::max(1.0, Bounds.RetrySlack * Share / Nodes);
  Rule.MinPerSecond = Bounds.RetrySlack * Share / Nodes /
                      (static_cast<double>(Bounds.RetryWindow.count()) / 1e3);
  return Rule;
}

void earnRepeat(const node_state &State, target_board &Board,
                const service_id &Service) {
  for (auto Cause : {repeat_cause::Failed, repeat_cause::Refused}) {
    limits::onCall(Board.Repeats[{Service, Cause}], repeatRule(State, Cause));
  }
}

auto takeRepeat(const node_state &State, target_board &Board,
                const service_id &Service, repeat_cause Cause) -> bool {
  return limits::tryTake(Board.Repeats[{Service, Cause}],
                         repeatRule(State, Cause), State.Loop.now());
}

} // namespace sycamorelb::sidecar
