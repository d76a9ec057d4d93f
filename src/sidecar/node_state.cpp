/** @file node_state.cpp Applies operator records to the state of a node. */
#include "sidecar/node_state.h"

#include "sidecar/message_sample.h"

#include <optional>
#include <random>

namespace sycamorelb::sidecar {

/** Minimum bandwidth and CPU share of a host that reads the store for its zone:
 * it must forward a configuration of several hundred KB within a few ms. */
static constexpr auto MinReaderLinkMbps = 100.0;
static constexpr auto MinReaderCpuShare = 0.2;

/** @return a random number; unlike the time of day, it can't be the same as
 * that of a previous process. */
static auto drawProcessId() -> process_id {
  auto Device = std::random_device();
  return {std::uint64_t{Device()} << 32U | Device()};
}

node_state::node_state(event::loop &Loop, node_settings Settings,
                       std::uint64_t Seed)
    : Loop(Loop), Settings(std::move(Settings)), Random(Seed),
      Log(Loop, this->Settings.Node), Compressor(sampleMessages()) {
  if (this->Settings.MemoryMb > 0) {
    Loop.memory()->LimitBytes = event::bufferLimit(this->Settings.MemoryMb);
  }
  StartedAt = Loop.now();
  Own.Node = this->Settings.Node;
  Own.Process = drawProcessId();
  Own.Peer = this->Settings.AdvertisedPeerAddress.Port == 0
                 ? this->Settings.PeerAddress
                 : this->Settings.AdvertisedPeerAddress;
  Own.Zone = this->Settings.Zone;
  Own.Target.Service = this->Settings.Service;
  Own.Compression = Compressor.dictionaryId();
  Own.ReaderCapable = this->Settings.LinkMbps >= MinReaderLinkMbps &&
                      this->Settings.CpuShare >= MinReaderCpuShare;
}

/** Time for an answer at the deadline to reach the caller. */
static constexpr auto AnswerTime = micros(100'000);

auto endsBeforeStop(const node_state &State, steady_time DeadlineAt) -> bool {
  return DeadlineAt <= State.StopEndsAt - AnswerTime;
}

auto findRollout(const node_state &State, const service_id &Service)
    -> const rollout::rollout_state * {
  auto Found = State.Rollouts.find(Service);
  return Found == State.Rollouts.end() ? nullptr : &Found->second;
}

auto oldestVersion(const node_state &State, const service_id &Service)
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
      Rollout == nullptr ? oldestVersion(State, Target.Service) : version_id();
  return rollout::versionUse(Target.Version, Rollout, Base);
}

static void rejectRecord(node_state &State, const std::string &Key,
                         const std::string &ErrorText) {
  ++State.Counters.BadInput["operator"];
  State.Log.write(log_class::State, "operator.rejected",
                  {{"key", Key}, {"fault", ErrorText}});
}

static auto applyConfig(node_state &State, const std::string &Key) -> bool {
  const auto *Record = State.Operator.find(Key);
  if (Record == nullptr) {
    return false;
  }
  auto Config = platform::decodeConfig(Record->Value, State.ConfigCache);
  if (!isOk(Config)) {
    rejectRecord(State, Key, errorOf(Config).Message);
    return false;
  }
  if (auto Error = mesh::findConfigError(valueOf(Config))) {
    rejectRecord(State, Key, Error->Subject + ": " + Error->Message);
    return false;
  }
  auto Version = valueOf(Config).Version;
  if (State.Routes && State.Routes->config().Version >= Version) {
    return false;
  }
  State.Routes = std::make_shared<const mesh::route_table>(
      std::make_shared<const mesh::mesh_config>(std::move(valueOf(Config))));
  State.ConfigAppliedAt = State.Loop.now();
  State.Log.write(log_class::State, "config.applied",
                  {{"version", static_cast<std::int64_t>(Version.Value)},
                   {"offset", static_cast<std::int64_t>(Record->Offset.Value)},
                   {"source", State.RecordSource.LastChange},
                   {"ignored_fault", State.Routes->config().IgnoredFault},
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
    rejectRecord(State, Key, errorOf(Order).Message);
    return false;
  }
  auto Rollout = rollout::rollout_state();
  Rollout.Order = valueOf(Order);
  Rollout.OrderOffset = Record->Offset;
  Rollout.SeenAt = State.Loop.now();
  auto Early = State.EarlyProgress.find(Rollout.Order.Service);
  if (Early != State.EarlyProgress.end() &&
      Early->second.OrderOffset == Rollout.OrderOffset) {
    rollout::mergeRollout(Rollout, Early->second);
  }
  auto [Current, IsNew] =
      State.Rollouts.try_emplace(Rollout.Order.Service, Rollout);
  auto Changed = IsNew || rollout::mergeRollout(Current->second, Rollout);
  // A peer may have sent the rollout before its document was read here.
  Current->second.Order.Duration = Rollout.Order.Duration;
  if (Changed) {
    State.Log.write(
        log_class::State, "rollout.ordered",
        {{"service", Rollout.Order.Service.Value},
         {"version", Rollout.Order.Version.Value},
         {"duration_ms", Rollout.Order.Duration.count()},
         {"offset", static_cast<std::int64_t>(Rollout.OrderOffset.Value)}});
  }
  return Changed;
}

static auto applyEvacuation(node_state &State, const std::string &Key,
                            const zone_id &Zone) -> bool {
  auto Evacuated = State.Operator.find(Key) != nullptr;
  auto Changed = Evacuated ? State.EvacuatedZones.insert(Zone).second
                           : State.EvacuatedZones.erase(Zone) > 0;
  if (Changed) {
    State.Log.write(
        log_class::State, "zone.evacuation",
        {{"zone", Zone.Value}, {"evacuated", std::int64_t{Evacuated ? 1 : 0}}});
  }
  return Changed;
}

void logMissingRoute(node_state &State, const request_id &Id) {
  auto Age = [&State](steady_time Since) {
    return Since == steady_time() ? std::int64_t{-1}
                                  : (State.Loop.now() - Since).count();
  };
  const auto &Source = State.RecordSource;
  State.Log.write(
      log_class::Decision, "route.missing",
      {{"id", Id.Value},
       {"version",
        static_cast<std::int64_t>(State.Routes->config().Version.Value)},
       {"applied_us", Age(State.ConfigAppliedAt)},
       {"source", Source.LastChange},
       {"end", static_cast<std::int64_t>(State.Operator.end().Value)},
       {"confirmed_us", Age(Source.ConfirmedAt)},
       {"store_lost", std::int64_t{State.Own.StoreLost ? 1 : 0}},
       {"reader", Source.Reader.Value},
       {"reader_confirmed_us", Age(Source.ReaderConfirmedAt)}});
}

auto applyOperatorRecords(node_state &State,
                          const std::vector<std::string> &Keys) -> bool {
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
