/** @file node_context.cpp Construction of the state shared by the threads. */
#include "node/node_context.h"

#include "sycamorelb/core/hash_func.h"

#include <unistd.h>

namespace sycamorelb::node {

static auto logClientSettings(const settings::log_settings &Settings)
    -> platform::log_client_settings {
  auto Client = platform::log_client_settings();
  auto Colon = Settings.Address.rfind(':');
  Client.Host = Settings.Address.substr(0, Colon);
  Client.Port = static_cast<std::uint16_t>(
      std::stoul(Settings.Address.substr(Colon + 1)));
  return Client;
}

static auto membershipOptions(const settings::timing_settings &Timing)
    -> membership::membership_options {
  auto Options = membership::membership_options();
  Options.ProbePeriod = Timing.Heartbeat;
  Options.DirectTimeout = Timing.Heartbeat * 2 / 5;
  Options.SuspicionTime = Timing.SuspicionTimeout;
  Options.ExchangePeriod = Timing.FullExchange;
  return Options;
}

static auto ownMember(const settings::node_settings &Settings,
                      incarnation Incarnation) -> membership::member {
  auto Self = membership::member();
  Self.Id = Settings.Id;
  Self.Incarnation = Incarnation;
  Self.Zone = Settings.Zone;
  Self.Region = Settings.Region;
  const auto &Listen = Settings.Listen;
  Self.Addresses = {ownAddress(Settings, Listen.InnerPort),
                    ownAddress(Settings, Listen.PeerPort),
                    ownAddress(Settings, Listen.CallerPort),
                    ownAddress(Settings, Listen.AdminPort)};
  return Self;
}

/** @return a random seed that differs between nodes started at the same time.
 */
static auto choiceSeed(const settings::node_settings &Settings)
    -> std::uint64_t {
  return hash64(Settings.Id.Value, static_cast<std::uint64_t>(wallNow().Value) +
                                       static_cast<std::uint64_t>(getpid()));
}

/** Threads for claims and mutations. Each may wait for the log service for some
 * seconds; with fewer threads, slow mutations would delay claims. */
static constexpr auto RpcWorkers = std::size_t{16};

static auto loopOptions() -> inner::rpc_loop_options {
  auto Options = inner::rpc_loop_options();
  Options.Workers = RpcWorkers;
  return Options;
}

node_context::node_context(settings::node_settings NodeSettings)
    : Settings(std::move(NodeSettings)), Self{Settings.Id, Settings.Zone,
                                              Settings.Region},
      Incarnation{static_cast<std::uint64_t>(wallNow().Value)},
      InnerKeys(toAuthKeys(Settings.InnerKeys)),
      Log(logClientSettings(Settings.Log)),
      Members(membership::makeTable(ownMember(Settings, Incarnation),
                                    Settings.Seeds,
                                    membershipOptions(Settings.Timing),
                                    choiceSeed(Settings), steadyNow())),
      Loop(loopOptions()), Rpc(Loop, {Settings.Id, InnerKeys}) {
  auto Subset = routing::subset_config();
  Subset.Size = Settings.Proxy.SubsetSize;
  View = buildMeshView(Members, Subset, 1);
}

auto innerAddress(const mesh_view &View, const node_id &Id) -> std::string {
  for (const auto &Member : View.Members) {
    if (Member.Id == Id) {
      return Member.Addresses.Inner;
    }
  }
  return "";
}

auto ownAddress(const settings::node_settings &Settings, std::uint16_t Port)
    -> std::string {
  return Settings.Listen.Ip + ":" + std::to_string(Port);
}

auto toAuthKeys(const std::vector<settings::secret_key> &Keys)
    -> inner::auth_keys {
  auto AuthKeys = inner::auth_keys();
  for (const auto &Key : Keys) {
    AuthKeys.push_back({Key.Id, Key.Secret});
  }
  return AuthKeys;
}

} // namespace sycamorelb::node
