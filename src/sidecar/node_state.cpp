/** @file node_state.cpp Applies what operators wrote. */
#include "sidecar/node_state.h"

#include <optional>

namespace sycamorelb::sidecar {

/** Link and processor from which a host reads the store for others: a
 * configuration of some hundred KB must pass within a few ms. */
static constexpr auto ReaderLinkMbps = 100.0;
static constexpr auto ReaderCpuShare = 0.2;

node_state::node_state(event::loop &Loop, node_settings Settings,
                       std::uint64_t Seed)
    : Loop(Loop), Settings(std::move(Settings)), Random(Seed),
      Log(Loop, this->Settings.Node) {
  StartedAt = Loop.now();
  Own.Node = this->Settings.Node;
  Own.Peer = this->Settings.Advertised.Port == 0 ? this->Settings.Peer
                                                 : this->Settings.Advertised;
  Own.Zone = this->Settings.Zone;
  Own.Target.Service = this->Settings.Service;
  Own.Capable = this->Settings.LinkMbps >= ReaderLinkMbps &&
                this->Settings.CpuShare >= ReaderCpuShare;
}

auto findRollout(const node_state &State, const service_id &Service)
    -> const rollout::rollout_state * {
  auto Found = State.Rollouts.find(Service);
  return Found == State.Rollouts.end() ? nullptr : &Found->second;
}

auto baseVersion(const node_state &State, const service_id &Service)
    -> version_id {
  auto Base = std::optional<version_id>();
  for (const auto &[Node, Record] : State.Hosts.records()) {
    const auto &Target = Record.Target;
    auto Known =
        Target.Service == Service && Target.State != mesh::target_state::Absent;
    if (Known && (!Base || rollout::isOlderVersion(Target.Version, *Base))) {
      Base = Target.Version;
    }
  }
  return Base.value_or(version_id());
}

auto useOfTarget(const node_state &State, const mesh::target_record &Target)
    -> rollout::version_use {
  const auto *Rollout = findRollout(State, Target.Service);
  auto Base =
      Rollout == nullptr ? baseVersion(State, Target.Service) : version_id();
  return rollout::useOfVersion(Target.Version, Rollout, Base);
}

static void rejectInput(node_state &State, const std::string &Key,
                        const std::string &Fault) {
  ++State.Counters.BadInput["operator"];
  State.Log.write(log_class::State, "operator.rejected",
                  {{"key", Key}, {"fault", Fault}});
}

static auto applyConfig(node_state &State, const std::string &Key) -> bool {
  const auto *Record = State.Operator.find(Key);
  if (Record == nullptr) {
    return false;
  }
  auto Config = platform::decodeConfig(Record->Value, State.ConfigCache);
  if (!isOk(Config)) {
    rejectInput(State, Key, errorOf(Config).Message);
    return false;
  }
  if (auto Fault = mesh::findFault(valueOf(Config))) {
    rejectInput(State, Key, Fault->Where + ": " + Fault->What);
    return false;
  }
  auto Version = valueOf(Config).Version;
  if (State.Routes && State.Routes->config().Version >= Version) {
    return false;
  }
  State.Routes = std::make_shared<const mesh::route_table>(
      std::make_shared<const mesh::mesh_config>(std::move(valueOf(Config))));
  State.ConfigAt = State.Loop.now();
  State.Log.write(log_class::State, "config.applied",
                  {{"version", static_cast<std::int64_t>(Version.Value)},
                   {"offset", static_cast<std::int64_t>(Record->Offset.Value)},
                   {"routes", static_cast<std::int64_t>(
                                  State.Routes->config().Routes.size())}});
  return true;
}

static auto applyOrder(node_state &State, const std::string &Key) -> bool {
  const auto *Record = State.Operator.find(Key);
  if (Record == nullptr) {
    return false;
  }
  auto Order = platform::decodeRolloutOrder(Record->Value);
  if (!isOk(Order)) {
    rejectInput(State, Key, errorOf(Order).Message);
    return false;
  }
  auto News = rollout::rollout_state();
  News.Order = valueOf(Order);
  News.OrderOffset = Record->Offset;
  News.SeenAt = State.Loop.now();
  auto Told = State.ToldProgress.find(News.Order.Service);
  if (Told != State.ToldProgress.end() &&
      Told->second.OrderOffset == News.OrderOffset) {
    rollout::mergeRollout(News, Told->second);
  }
  auto [Held, IsNew] = State.Rollouts.try_emplace(News.Order.Service, News);
  auto Changed = IsNew || rollout::mergeRollout(Held->second, News);
  // A peer may have told of the order before its document was read.
  Held->second.Order.Duration = News.Order.Duration;
  if (Changed) {
    State.Log.write(
        log_class::State, "rollout.ordered",
        {{"service", News.Order.Service.Value},
         {"version", News.Order.Version.Value},
         {"duration_ms", News.Order.Duration.count()},
         {"offset", static_cast<std::int64_t>(News.OrderOffset.Value)}});
  }
  return Changed;
}

static auto applyEvacuation(node_state &State, const std::string &Key,
                            const zone_id &Zone) -> bool {
  auto Evacuated = State.Operator.find(Key) != nullptr;
  auto Changed = Evacuated ? State.Evacuated.insert(Zone).second
                           : State.Evacuated.erase(Zone) > 0;
  if (Changed) {
    State.Log.write(
        log_class::State, "zone.evacuation",
        {{"zone", Zone.Value}, {"evacuated", std::int64_t{Evacuated ? 1 : 0}}});
  }
  return Changed;
}

auto applyOperatorKeys(node_state &State, const std::vector<std::string> &Keys)
    -> bool {
  using kind = platform::operator_key::kind;
  auto Changed = false;
  for (const auto &Key : Keys) {
    auto Subject = platform::decodeOperatorKey(Key);
    switch (Subject.Kind) {
    case kind::Config:
      Changed = applyConfig(State, Key) || Changed;
      break;
    case kind::Rollout:
      Changed = applyOrder(State, Key) || Changed;
      break;
    case kind::Evacuation:
      Changed = applyEvacuation(State, Key, {Subject.Name}) || Changed;
      break;
    case kind::Other:
      break;
    }
  }
  return Changed;
}

} // namespace sycamorelb::sidecar
