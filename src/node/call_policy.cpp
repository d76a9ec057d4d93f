/** @file call_policy.cpp Routing, retry and hedge decisions of the entry
 * node. */
#include "node/call_policy.h"

#include "node/observed_outcome.h"
#include "node/route_table.h"
#include "sycamorelb/inner/auth_func.h"
#include "sycamorelb/limits/budget_func.h"
#include "sycamorelb/proxy/header_name.h"
#include "sycamorelb/routing/pick_func.h"
#include "sycamorelb/routing/stats_func.h"

#include <nlohmann/json.hpp>

namespace sycamorelb::node {

using proxy::call_outcome;
using proxy::call_target;
using proxy::header_list;
using proxy::route_info;
using routing::upstream_stats;
using telemetry::metric;

/** Period at which the ejections of outliers are re-evaluated. */
static constexpr auto EjectionCheckPeriod = micros(100'000);

/** The first-byte timeout is this multiple of the usual latency, but at least
 * the minimum: a shorter one would drop connections to upstreams that are only
 * slow. */
static constexpr auto MinFirstByteTimeout = millis(500);
static constexpr auto FirstByteLatencyFactor = 10.0;

/**
 * @param LatencyUs usual latency of the upstream in us; 0 if unknown.
 * @param Timeout timeout of the call; half of it is left for an attempt on
 * another connection.
 * @return the time without a response after which a connection counts as
 * silent.
 */
static auto firstByteTimeout(double LatencyUs, millis Timeout) -> millis {
  auto LatencyBound = millis(
      static_cast<std::int64_t>(LatencyUs * FirstByteLatencyFactor / 1000.0));
  auto HalfTimeout = std::max(Timeout / 2, millis(1));
  return LatencyUs > 0 ? std::min(std::max(LatencyBound, MinFirstByteTimeout),
                                  HalfTimeout)
                       : HalfTimeout;
}

/** Retry and hedge budgets of a route. */
struct route_budgets {
  limits::attempt_budget Retries; ///< For attempts after a failure.
  limits::attempt_budget Hedges;  ///< For hedged attempts.
};

struct call_policy::implementation {
  node_context &Context;
  const brake_registry &Brakes;
  std::atomic<std::shared_ptr<const route_table>> Routes;
  mutable ranked_mutex<lock_rank::RoutingStats> Mutex; // Guards all below.
  std::unordered_map<routing::upstream_id, std::unique_ptr<upstream_stats>>
      Stats;
  std::map<zone_id, zone_history> Zones;
  std::shared_ptr<const candidate_table> Candidates;
  std::map<route_id, route_budgets> Budgets;
  random_source Random;
  steady_time NextEjectionCheck{};
  routing::pick_config PickConfig;
  routing::outlier_config OutlierConfig;

  implementation(node_context &NodeContext, const brake_registry &NodeBrakes)
      : Context(NodeContext), Brakes(NodeBrakes),
        Random(Context.Incarnation.Value) {}

  auto routes() -> std::shared_ptr<const route_table> {
    auto Snapshot = Context.Store.current();
    auto Current = Routes.load();
    if (!Current || Current->Snapshot != Snapshot) {
      Current = buildRouteTable(Snapshot);
      Routes = Current;
    }
    return Current;
  }

  /** The mutex must be held. */
  auto candidates() -> const candidate_table & {
    auto Snapshot = Context.Store.current();
    auto View = Context.View.load();
    if (!Candidates || Candidates->Snapshot != Snapshot ||
        Candidates->View != View) {
      updateZoneHistory(Zones, *Snapshot, steadyNow());
      Candidates =
          buildCandidateTable(Snapshot, View, Zones, Stats, steadyNow());
    }
    return *Candidates;
  }

  auto resolve(std::string_view Method, std::string_view Path)
      -> std::optional<route_info> {
    auto Table = routes();
    const auto &Declared = Table->Snapshot->State.Declared.Routes;
    auto Index = routing::matchRoute(Table->Index, Declared, Method, Path);
    if (!Index) {
      return std::nullopt;
    }
    const auto &Route = Declared[*Index];
    return route_info{Route.Name,       Route.Service,     Route.Timeout,
                      Route.Idempotent, Route.MaxAttempts, Route.HedgeAfter};
  }

  auto pick(const route_info &Route, std::uint32_t Attempt,
            const std::vector<call_target> &Excluded)
      -> std::optional<call_target> {
    auto Now = steadyNow();
    auto Lock = std::lock_guard(Mutex);
    const auto &Table = candidates();
    auto Service = Table.Services.find(Route.Service);
    if (Service == Table.Services.end()) {
      return std::nullopt;
    }
    if (Attempt == 1) {
      creditBudgets(Route);
    }
    checkEjections(Table, Now);
    const auto &Group = Service->second;
    auto ExcludedIds = std::vector<routing::upstream_id>();
    for (const auto &Target : Excluded) {
      if (auto Index = Group.find(Target)) {
        ExcludedIds.push_back(Group.Candidates[*Index].Id);
      }
    }
    auto Request =
        routing::pick_request{chooseVersion(Table, Route.Service, Group),
                              {Context.Self.Zone, Context.Self.Region},
                              ExcludedIds};
    auto Picked = routing::pickUpstream(Group.Candidates, Request, PickConfig,
                                        Random, Now);
    const auto *Found = std::get_if<routing::picked_upstream>(&Picked);
    if (Found == nullptr) {
      return std::nullopt;
    }
    const auto &Upstream = Group.Upstreams[Found->Index];
    routing::onStart(*Stats.at(Upstream.Id));
    auto Target = makeTarget(Route, Upstream);
    Target.FirstByteTimeout =
        firstByteTimeout(Stats.at(Upstream.Id)->LatencyUs, Route.Timeout);
    return Target;
  }

  /** The mutex must be held. */
  auto chooseVersion(const candidate_table &Table, const service_id &Service,
                     const service_group &Group) -> version_id {
    const auto &Snapshot = *Table.Snapshot;
    auto Declared = Snapshot.State.Declared.Services.find(Service);
    if (Declared == Snapshot.State.Declared.Services.end()) {
      return {};
    }
    auto Running = Snapshot.RunningMoves.find(Service);
    const auto *Move =
        Running == Snapshot.RunningMoves.end() ? nullptr : &Running->second;
    return routing::chooseVersion(
               Declared->second, Move, Brakes.brakedVersions(Snapshot, Service),
               routing::eligibleVersions(Group.Candidates), Random)
        .Version;
  }

  auto makeTarget(const route_info &Route, const mesh_upstream &Upstream) const
      -> call_target {
    auto Target = call_target();
    Target.Kind = Upstream.Node == Context.Self.Id
                      ? proxy::target_kind::LocalUpstream
                      : proxy::target_kind::AdmissionNode;
    Target.Address = Upstream.PeerAddress;
    Target.Service = Route.Service;
    Target.Version = Upstream.Info.Version;
    if (Target.Kind == proxy::target_kind::AdmissionNode) {
      Target.ExtraHeaders.push_back(
          {std::string(proxy::AuthHeader),
           inner::makeRequestAuth(Context.InnerKeys, Route.Service.Value,
                                  Route.Name.Value, Target.Version.Value,
                                  wallNow())});
    }
    return Target;
  }

  void onAttemptFinished(const route_info &Route, const call_target &Target,
                         const call_outcome &Outcome) {
    auto Now = steadyNow();
    auto Observed = observedOutcome(Outcome);
    Context.Metrics.increment(metric::Attempts,
                              {{"role", "entry"},
                               {"route", Route.Name.Value},
                               {"outcome", outcomeName(Outcome.Kind)}});
    Context.Metrics.observe(metric::AttemptSeconds, {{"role", "entry"}},
                            Outcome.Latency);
    auto Lock = std::lock_guard(Mutex);
    const auto &Table = candidates();
    auto Service = Table.Services.find(Route.Service);
    if (Service == Table.Services.end()) {
      return;
    }
    auto Index = Service->second.find(Target);
    if (!Index) {
      return;
    }
    const auto &Upstream = Service->second.Upstreams[*Index];
    auto &UpstreamStats = *Stats.at(Upstream.Id);
    routing::onFinish(UpstreamStats, Observed, Outcome.Latency,
                      Upstream.Info.Slots, Now);
    if (routing::isOutlierCandidate(UpstreamStats.Outlier, OutlierConfig)) {
      ejectOutliers(Service->second, Now);
    }
  }

  /** The mutex must be held. */
  void checkEjections(const candidate_table &Table, steady_time Now) {
    if (Now < NextEjectionCheck) {
      return;
    }
    NextEjectionCheck = Now + EjectionCheckPeriod;
    for (const auto &[Service, Group] : Table.Services) {
      ejectOutliers(Group, Now);
    }
  }

  /** The mutex must be held. */
  void ejectOutliers(const service_group &Group, steady_time Now) {
    auto States = std::vector<routing::outlier_state *>();
    States.reserve(Group.Upstreams.size());
    for (const auto &Upstream : Group.Upstreams) {
      States.push_back(&Stats.at(Upstream.Id)->Outlier);
    }
    routing::updateOutliers(States, OutlierConfig, Now);
  }

  /** @return the configuration of the retry and the hedge budget of a route.
   * The mutex must be held. */
  auto budgetConfigs(const route_id &Name)
      -> std::pair<limits::budget_config, limits::budget_config> {
    auto Configs = std::pair<limits::budget_config, limits::budget_config>();
    auto Table = routes();
    auto Found = Table->ByName.find(Name);
    if (Found != Table->ByName.end()) {
      const auto &Route = Table->Snapshot->State.Declared.Routes[Found->second];
      Configs.first.Percent = Route.RetryBudgetPercent;
      Configs.second.Percent = Route.HedgeBudgetPercent;
    }
    return Configs;
  }

  /** The mutex must be held. */
  void creditBudgets(const route_info &Route) {
    auto [Retry, Hedge] = budgetConfigs(Route.Name);
    auto &Budget = Budgets[Route.Name];
    limits::onCall(Budget.Retries, Retry);
    limits::onCall(Budget.Hedges, Hedge);
  }

  auto mayRetry(const route_info &Route) -> bool {
    auto Lock = std::lock_guard(Mutex);
    auto Taken = limits::tryTake(Budgets[Route.Name].Retries,
                                 budgetConfigs(Route.Name).first, steadyNow());
    if (Taken) {
      Context.Metrics.increment(metric::Retries, {{"route", Route.Name.Value}});
    }
    return Taken;
  }

  auto mayHedge(const route_info &Route) -> bool {
    auto Lock = std::lock_guard(Mutex);
    auto Taken = limits::tryTake(Budgets[Route.Name].Hedges,
                                 budgetConfigs(Route.Name).second, steadyNow());
    if (Taken) {
      Context.Metrics.increment(metric::Hedges, {{"route", Route.Name.Value}});
    }
    return Taken;
  }
};

call_policy::call_policy(node_context &Context, const brake_registry &Brakes)
    : Impl(std::make_unique<implementation>(Context, Brakes)) {}

call_policy::~call_policy() = default;

auto call_policy::hooks() -> proxy::entry_hooks {
  auto *Policy = Impl.get();
  auto Hooks = proxy::entry_hooks();
  Hooks.Resolve = [Policy](std::string_view Method, std::string_view Path,
                           const header_list &) {
    return Policy->resolve(Method, Path);
  };
  Hooks.Pick = [Policy](const route_info &Route, std::uint32_t Attempt,
                        const std::vector<call_target> &Excluded) {
    return Policy->pick(Route, Attempt, Excluded);
  };
  Hooks.OnAttemptFinished =
      [Policy](const route_info &Route, const call_target &Target,
               const call_outcome &Outcome, const header_list &) {
        Policy->onAttemptFinished(Route, Target, Outcome);
      };
  Hooks.MayRetry = [Policy](const route_info &Route) {
    return Policy->mayRetry(Route);
  };
  Hooks.MayHedge = [Policy](const route_info &Route) {
    return Policy->mayHedge(Route);
  };
  return Hooks;
}

auto call_policy::dump() const -> nlohmann::json {
  auto List = nlohmann::json::array();
  auto Now = steadyNow();
  auto Lock = std::lock_guard(Impl->Mutex);
  for (const auto &[Id, Stats] : Impl->Stats) {
    List.push_back({{"upstream", Id.Value},
                    {"in_flight", Stats->InFlight},
                    {"latency_us", Stats->LatencyUs},
                    {"failure_ratio", Stats->FailureRatio},
                    {"earned_limit", Stats->EarnedLimit},
                    {"ejected", Stats->Outlier.Ejected &&
                                    Stats->Outlier.EjectedUntil > Now}});
  }
  return List;
}

} // namespace sycamorelb::node
