/** @file node_state.cpp Applies operator records to the state of a node. */
#include "sidecar/node_state.h"

#include "sidecar/message_sample.h"
#include "sidecar/version_view.h"

#include <algorithm>
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

/** @return a salt that callers can't predict. */
static auto drawKeySalt() -> mesh::key_salt {
  auto Device = std::random_device();
  auto Salt = mesh::key_salt();
  for (auto &Byte : Salt) {
    Byte = static_cast<std::uint8_t>(Device());
  }
  return Salt;
}

node_state::node_state(event::loop &Loop, node_settings Settings,
                       std::uint64_t Seed)
    : Loop(Loop), Settings(std::move(Settings)), Random(Seed),
      Log(Loop, this->Settings.Node), Compressor(sampleMessages()) {
  if (this->Settings.MemoryMb > 0) {
    Loop.memory()->LimitBytes = event::bufferLimit(this->Settings.MemoryMb);
  }
  StartedAt = Loop.now();
  KeySalt = drawKeySalt();
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
  auto Customers =
      mesh::customer_table(valueOf(Config).Customers, State.KeySalt);
  auto AmbiguousKeys = Customers.ambiguousKeys();
  for (auto &Customer : valueOf(Config).Customers) {
    Customer.Keys.clear();
  }
  State.Routes = std::make_shared<const mesh::route_table>(
      std::make_shared<const mesh::mesh_config>(std::move(valueOf(Config))),
      std::move(Customers));
  State.ConfigAppliedAt = State.Loop.now();
  State.Log.write(log_class::State, "config.applied",
                  {{"version", static_cast<std::int64_t>(Version.Value)},
                   {"offset", static_cast<std::int64_t>(Record->Offset.Value)},
                   {"source", State.RecordSource.LastChange},
                   {"ignored_fault", State.Routes->config().IgnoredFault},
                   {"routes", static_cast<std::int64_t>(
                                  State.Routes->config().Routes.size())}});
  if (State.Routes->customers().hasCustomers()) {
    State.Log.write(
        log_class::State, "config.customers",
        {{"version", static_cast<std::int64_t>(Version.Value)},
         {"customers",
          static_cast<std::int64_t>(State.Routes->config().Customers.size())},
         {"ambiguous_keys", static_cast<std::int64_t>(AmbiguousKeys)}});
  }
  return true;
}

/** Number of replaced rollouts of a service that are remembered, to recognize
 * their orders when an older copy of the store brings them back. */
static constexpr auto MaxPastRollouts = std::size_t{4};

/** @return whether an order that operators wrote is the known one. Operators
 * may write it again long after the store came back without it. */
static auto isSameWrittenOrder(const rollout::rollout_state &Known,
                               const rollout::rollout_state &Found) -> bool {
  return rollout::isSameOrder(Known, Found, rollout::order_match::ByContent);
}

/** @return the rollouts of a service that newer ones replaced. */
static auto pastRollouts(const node_state &State, const service_id &Service)
    -> const std::vector<rollout::rollout_state> & {
  static const auto None = std::vector<rollout::rollout_state>();
  auto Found = State.PastRollouts.find(Service);
  return Found == State.PastRollouts.end() ? None : Found->second;
}

/** @return whether an older copy of the store brought back an order that the
 * current one of its service had replaced, and that one isn't written again
 * yet. */
static auto isReturnedOrder(const node_state &State,
                            const rollout::rollout_state &Rollout) -> bool {
  const auto *Current = findRollout(State, Rollout.Order.Service);
  if (Current == nullptr || Current->Stored.Era >= Rollout.Stored.Era ||
      isSameWrittenOrder(*Current, Rollout)) {
    return false;
  }
  const auto &Past = pastRollouts(State, Rollout.Order.Service);
  return std::any_of(Past.begin(), Past.end(), [&](const auto &Previous) {
    return isSameWrittenOrder(Previous, Rollout);
  });
}

/** @return the version to which the last completed rollout of a service has
 * moved its calls, or nothing if none is known. */
static auto completedVersion(const node_state &State, const service_id &Service)
    -> std::optional<version_id> {
  auto IsCompleted = [](const rollout::rollout_state &Rollout) {
    return Rollout.Stage == rollout::rollout_stage::Completed;
  };
  const auto *Current = findRollout(State, Service);
  if (Current != nullptr && IsCompleted(*Current)) {
    return Current->Order.Version;
  }
  const auto &Past = pastRollouts(State, Service);
  auto Found = std::find_if(Past.rbegin(), Past.rend(), IsCompleted);
  return Found == Past.rend() ? std::nullopt
                              : std::optional(Found->Order.Version);
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
  Rollout.OrderEra = Record->Era;
  Rollout.Stored = Record->position();
  Rollout.SeenAt = State.Loop.now();
  auto Early = State.EarlyProgress.find(Rollout.Order.Service);
  if (Early != State.EarlyProgress.end() &&
      rollout::isSameOrder(Rollout, Early->second,
                           rollout::order_match::ByOffset)) {
    rollout::mergeRollout(Rollout, Early->second);
  }
  if (isReturnedOrder(State, Rollout)) {
    State.Log.write(
        log_class::State, "rollout.returned",
        {{"service", Rollout.Order.Service.Value},
         {"version", Rollout.Order.Version.Value},
         {"offset", static_cast<std::int64_t>(Rollout.OrderOffset.Value)}});
    return false;
  }
  auto Completed = completedVersion(State, Rollout.Order.Service);
  auto [Current, IsNew] =
      State.Rollouts.try_emplace(Rollout.Order.Service, Rollout);
  if (!IsNew && !isSameWrittenOrder(Current->second, Rollout) &&
      Rollout.Stored > Current->second.Stored) {
    if (Completed == Rollout.Order.Version) {
      Rollout.Stage = rollout::rollout_stage::Completed;
      Rollout.NamedServing = true;
    }
    auto &Past = State.PastRollouts[Rollout.Order.Service];
    Past.push_back(Current->second);
    if (Past.size() > MaxPastRollouts) {
      Past.erase(Past.begin());
    }
  }
  auto PreviousStored = Current->second.Stored;
  auto Changed =
      IsNew || rollout::mergeRollout(Current->second, Rollout,
                                     rollout::order_match::ByContent);
  // A peer may have sent the rollout before its document was read here.
  Current->second.Order.Duration = Rollout.Order.Duration;
  if (Changed) {
    State.Log.write(
        log_class::State, "rollout.ordered",
        {{"service", Rollout.Order.Service.Value},
         {"version", Rollout.Order.Version.Value},
         {"duration_ms", Rollout.Order.Duration.count()},
         {"named_serving", std::int64_t{Rollout.NamedServing ? 1 : 0}},
         {"offset", static_cast<std::int64_t>(Rollout.OrderOffset.Value)}});
  }
  // Its decision is recorded again for the new position.
  return Changed || Current->second.Stored != PreviousStored;
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

auto areKeysHeld(const node_state &State) -> bool {
  auto Now = State.Loop.now();
  // Calls may be read before the check that notices the pause.
  auto IsCheckLate = State.CheckDueAt != steady_time() &&
                     Now - State.CheckDueAt > PauseThreshold;
  return IsCheckLate ||
         mesh::isHeld(State.KeyHold, State.RecordSource.ConfirmedAt, Now);
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
