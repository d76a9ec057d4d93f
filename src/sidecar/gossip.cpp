/** @file gossip.cpp Gossip protocol that replicates host records, operator
 * records and rollout progress between nodes. */
#include "sidecar/gossip.h"

#include "sidecar/store_feed.h"
#include "sycamorelb/mesh/reader_func.h"
#include "sycamorelb/mesh/relay_func.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace sycamorelb::sidecar {

using namespace inner;

/** Interval of the exchange with a random node. It repairs lost updates within
 * a few intervals. */
static constexpr auto ExchangeInterval = micros(1'000'000);
/** One in this many exchanges goes to a node of another zone. */
static constexpr auto CrossZoneExchangePeriod = std::uint32_t{5};
/** Time beyond the interval between two answers of the store to a reader after
 * which another node reads the store itself; short enough that it meets the
 * time limit for changes. */
static constexpr auto MaxReadDelay = micros(250'000);
/** Number of nodes in other zones that are notified of an operator change. */
static constexpr auto CrossZoneNotices = std::size_t{2};
/** Number of relays in each other zone that receive an update and forward it
 * within their zone. Relays limit traffic between zones, which is expensive;
 * more than one is used because a relay may be down or partitioned. */
static constexpr auto RelaysPerZone = std::size_t{3};
/** Number of nodes other than readers that syncWithPeers() asks for their full
 * state. */
static constexpr auto InitialSyncPeers = std::size_t{2};
/** Delay before syncWithPeers() contacts relays in other zones, and the range
 * of the random delay added to it. */
static constexpr auto CrossZoneSyncDelay = micros(300'000);
static constexpr auto CrossZoneSyncJitterMicros = std::uint32_t{700'000};
/** Time for a change to arrive from a reader of the own zone or from the store
 * before the node that advertised it is asked for the records. */
static constexpr auto RecordRequestDelay = micros(700'000);

void publishOwnRecord(node_state &State) {
  ++State.Own.Revision;
  State.Hosts.merge(State.Own);
}

struct gossip::implementation {
  node_state &State;
  peer_links &Links;
  gossip_events Events;
  std::set<node_id> PendingRecordRequests; // Nodes that requested records
                                           // before there was a configuration.
  steady_time ConfigurationRequestedAt{};

  auto buildMessage() const -> gossip_message;
  auto listPeers(bool SameZone) const -> std::vector<node_id>;
  /** @return the nodes to ask for their full state: the readers of the zone,
   * who also tell how current they are, and a few others if readers may be
   * down. */
  auto chooseSyncPeers(const std::vector<node_id> &ZonePeers)
      -> std::vector<node_id>;
  void exchange();
  void sendToOwnZone(const gossip_message &Message);
  void sendToOtherZones(gossip_message Message);
  void relayToOwnZone(const gossip_message &Message);
  void scheduleRecordRequest(const node_id &Node, log_offset End);
  void mergeRecords(const gossip_message &Message);
};

gossip::gossip(node_state &State, peer_links &Links, gossip_events Events)
    : Impl(std::make_unique<implementation>(
          implementation{State, Links, std::move(Events), {}, {}})) {}

gossip::~gossip() = default;

auto gossip::implementation::buildMessage() const -> gossip_message {
  auto Message = gossip_message();
  Message.Sender = State.Own;
  Message.OperatorEnd = State.Operator.end();
  Message.OperatorEra = State.Operator.era();
  auto ConfirmedAt = State.RecordSource.ConfirmedAt;
  if (mesh::isReader(State.Hosts, State.Own) && !State.Own.StoreLost &&
      State.MeshTopicListed && ConfirmedAt != steady_time()) {
    Message.StoreAge = State.Loop.now() - ConfirmedAt;
  }
  for (const auto &[Service, Rollout] : State.Rollouts) {
    Message.Rollouts.push_back(Rollout);
  }
  Events.AddUsage(Message);
  return Message;
}

auto gossip::implementation::listPeers(bool SameZone) const
    -> std::vector<node_id> {
  auto Nodes = std::vector<node_id>();
  for (const auto &[Node, Host] : State.Hosts.records()) {
    if (Node != State.Own.Node && !Host.Leaving &&
        (Host.Zone == State.Own.Zone) == SameZone) {
      Nodes.push_back(Node);
    }
  }
  return Nodes;
}

void gossip::implementation::exchange() {
  auto CrossZone = randomBelow(State.Random, CrossZoneExchangePeriod) == 0;
  auto Nodes = listPeers(!CrossZone);
  if (Nodes.empty()) {
    Nodes = listPeers(CrossZone);
  }
  mesh::sampleNodes(Nodes, 1, State.Random);
  if (!Nodes.empty() && !State.Stopping) {
    auto Message = buildMessage();
    Message.HostDigest = State.Hosts.digest();
    Links.send(Nodes[0], Message);
  }
  State.Loop.addTimer(State.Loop.now() + ExchangeInterval,
                      [this] { exchange(); });
}

void gossip::announceReader() {
  auto &State = Impl->State;
  if (mesh::isReader(State.Hosts, State.Own) && State.MeshTopicListed &&
      !State.Stopping) {
    Impl->sendToOwnZone(Impl->buildMessage());
  }
}

void gossip::start() {
  // Gives the readers of the zone time to announce themselves.
  Impl->State.RecordSource.ReaderConfirmedAt = Impl->State.Loop.now();
  Impl->State.Loop.addTimer(Impl->State.Loop.now() + ExchangeInterval,
                            [this] { Impl->exchange(); });
}

auto gossip::storeReadTime() const -> steady_time {
  auto &State = Impl->State;
  return mesh::isReader(State.Hosts, State.Own)
             ? State.Loop.now()
             : State.RecordSource.ReaderConfirmedAt + MaxReadDelay +
                   storeReadInterval(State.Settings.Bounds.ConfigApply);
}

void gossip::implementation::sendToOwnZone(const gossip_message &Message) {
  for (const auto &Node : listPeers(true)) {
    Links.send(Node, Message);
  }
}

void gossip::implementation::sendToOtherZones(gossip_message Message) {
  Message.RelayToZone = true;
  for (const auto &Node : mesh::chooseRelays(State.Hosts, State.Own,
                                             RelaysPerZone, State.Random)) {
    Links.send(Node, Message);
  }
}

void gossip::implementation::relayToOwnZone(const gossip_message &Message) {
  auto Relayed = buildMessage();
  Relayed.Hosts.push_back(Message.Sender);
  sendToOwnZone(Relayed);
}

void gossip::broadcastState() {
  auto Message = Impl->buildMessage();
  Impl->sendToOwnZone(Message);
  Impl->sendToOtherZones(std::move(Message));
}

void gossip::broadcastOperatorChanges(log_offset From) {
  auto &State = Impl->State;
  auto Message = Impl->buildMessage();
  auto Receivers = Impl->listPeers(false);
  mesh::sampleNodes(Receivers, CrossZoneNotices, State.Random);
  for (const auto &[Node, Host] : State.Hosts.records()) {
    if (Host.StoreLost && Host.Zone != State.Own.Zone && !Host.Leaving) {
      Receivers.push_back(Node);
    }
  }
  for (const auto &Node : Receivers) {
    Impl->Links.send(Node, Message);
  }
  if (!mesh::isReader(State.Hosts, State.Own)) {
    return;
  }
  Message.Records = State.Operator.changesFrom(From);
  Message.RecordsFrom = From;
  Impl->sendToOwnZone(Message);
}

auto gossip::implementation::chooseSyncPeers(
    const std::vector<node_id> &ZonePeers) -> std::vector<node_id> {
  auto Others = ZonePeers.empty() ? listPeers(false) : ZonePeers;
  mesh::sampleNodes(Others, InitialSyncPeers, State.Random);
  auto Readers = std::vector<node_id>();
  for (const auto &Node : ZonePeers) {
    if (mesh::isReader(State.Hosts, *State.Hosts.find(Node))) {
      Readers.push_back(Node);
    }
  }
  // At a later start the readers may be down.
  if (Readers.empty() || !State.Settings.FirstStart) {
    Readers.insert(Readers.end(), Others.begin(), Others.end());
  }
  std::sort(Readers.begin(), Readers.end());
  Readers.erase(std::unique(Readers.begin(), Readers.end()), Readers.end());
  return Readers;
}

void gossip::syncWithPeers() {
  auto &State = Impl->State;
  auto Message = Impl->buildMessage();
  auto ZonePeers = Impl->listPeers(true);
  for (const auto &Node : ZonePeers) {
    Impl->Links.send(Node, Message);
  }
  auto SyncPeers = Impl->chooseSyncPeers(ZonePeers);
  Message.WantHosts = true;
  Message.WantRecords = true;
  for (const auto &Node : SyncPeers) {
    Impl->Links.send(Node, Message);
  }
  // Many nodes may start at once; the random delay spreads the load.
  auto Delay = CrossZoneSyncDelay +
               micros(randomBelow(State.Random, CrossZoneSyncJitterMicros));
  State.Loop.addTimer(State.Loop.now() + Delay,
                      [this] { Impl->sendToOtherZones(Impl->buildMessage()); });
}

auto gossip::canUseZoneReader() const -> bool {
  return !mesh::isReader(Impl->State.Hosts, Impl->State.Own);
}

void gossip::requestConfiguration(const node_id &Node) {
  auto &State = Impl->State;
  auto &RequestedAt = Impl->ConfigurationRequestedAt;
  auto Now = State.Loop.now();
  if (State.Routes || (RequestedAt != steady_time() &&
                       Now - RequestedAt < RecordRequestDelay)) {
    return;
  }
  RequestedAt = Now;
  auto Message = Impl->buildMessage();
  Message.WantHosts = true;
  Message.WantRecords = true;
  Impl->Links.send(Node, Message);
}

void gossip::answerPendingRequests() {
  auto PendingRecordRequests = std::exchange(Impl->PendingRecordRequests, {});
  if (PendingRecordRequests.empty()) {
    return;
  }
  auto Message = Impl->buildMessage();
  Message.Records = Impl->State.Operator.changesFrom(
      {Impl->State.Operator.era(), log_offset{0}}, true);
  for (const auto &Node : PendingRecordRequests) {
    Impl->Links.send(Node, Message);
  }
}

void gossip::sendEvidence(const node_id &Node,
                          const rollout_evidence_report &Report) {
  auto Message = Impl->buildMessage();
  Message.Evidence.push_back(Report);
  Impl->Links.send(Node, Message);
}

void gossip::sendUsage(const node_id &Node, std::vector<usage_counts> Counts) {
  auto Message = Impl->buildMessage();
  Message.Rollouts.clear();
  Message.Usage = std::move(Counts);
  Impl->Links.send(Node, Message);
}

void gossip::mergeHost(const mesh::host_record &Record) {
  auto &State = Impl->State;
  if (Record.Node == State.Own.Node) {
    if (mesh::isNewer(Record, State.Own)) {
      // A record of a previous process whose clock was ahead; move past its
      // incarnation.
      State.Log.write(
          log_class::State, "incarnation.raised",
          {{"from", static_cast<std::int64_t>(State.Own.Incarnation)},
           {"to", static_cast<std::int64_t>(Record.Incarnation + 1)}});
      State.Own.Incarnation = Record.Incarnation + 1;
      publishOwnRecord(State);
      Impl->Events.OnPreviousIncarnation(Record);
      broadcastState();
    } else if (Record.Incarnation < State.Own.Incarnation) {
      Impl->Events.OnPreviousIncarnation(Record);
    }
    return;
  }
  const auto *Current = State.Hosts.find(Record.Node);
  auto Changed = Current == nullptr || Current->Target != Record.Target ||
                 Current->Leaving != Record.Leaving;
  if (State.Hosts.merge(Record) && Changed) {
    State.Log.write(
        log_class::State, "host.changed",
        {{"host", Record.Node.Value},
         {"target", Record.Target.Id.Value},
         {"service", Record.Target.Service.Value},
         {"version", Record.Target.Version.Value},
         {"state", static_cast<std::int64_t>(Record.Target.State)},
         {"leaving", std::int64_t{Record.Leaving ? 1 : 0}},
         {"incarnation", static_cast<std::int64_t>(Record.Incarnation)},
         {"revision", static_cast<std::int64_t>(Record.Revision)}});
  }
}

void gossip::implementation::scheduleRecordRequest(const node_id &Node,
                                                   log_offset End) {
  auto Era = State.Operator.era();
  auto RequestRecords = [this, Node, Era, End] {
    if (State.Operator.era() == Era && State.Operator.end() < End) {
      auto Message = buildMessage();
      Message.WantRecords = true;
      Links.send(Node, Message);
    }
  };
  if (State.Own.StoreLost || !State.Routes) {
    return RequestRecords();
  }
  State.Loop.addTimer(State.Loop.now() + RecordRequestDelay, RequestRecords);
}

void gossip::implementation::mergeRecords(const gossip_message &Message) {
  if (State.Operator.records().empty() &&
      Message.RecordsFrom > State.Operator.end()) {
    // A configuration without the orders and evacuations that came before it
    // would allow calls that they forbid. All records are requested, as
    // OperatorEnd is greater than the end here.
    return;
  }
  auto Keys = std::vector<std::string>();
  auto Complete = Message.OperatorEra == State.Operator.era() &&
                  Message.RecordsFrom <= State.Operator.end() &&
                  !Message.Records.empty();
  auto MissingBase = false;
  for (const auto &Record : Message.Records) {
    if (!State.Operator.mayBeNewer(Record)) {
      continue;
    }
    auto Expanded = State.Operator.expand(Record);
    Complete = Complete && Expanded;
    MissingBase = MissingBase || !Expanded;
    if (Expanded && State.Operator.merge(*Expanded)) {
      Keys.push_back(Record.Key);
    }
  }
  if (Complete) {
    State.Operator.advanceEnd(Message.OperatorEnd);
  }
  if (MissingBase) {
    // Request all records from offset 0; they then arrive in full instead of as
    // deltas.
    auto Request = buildMessage();
    Request.WantRecords = true;
    Request.OperatorEnd = log_offset{0};
    Links.send(Message.Sender.Node, Request);
  }
  if (!Keys.empty()) {
    State.RecordSource.LastChange = Message.Sender.Node.Value;
    State.Log.write(
        log_class::State, "operator.from_peer",
        {{"peer", Message.Sender.Node.Value},
         {"records", static_cast<std::int64_t>(Keys.size())},
         {"end", static_cast<std::int64_t>(Message.OperatorEnd.Value)}});
    Events.OnOperatorRecords(Keys);
  }
}

/** @return the incarnation and revision of every known host record. */
static auto summarizeHosts(const node_state &State)
    -> std::vector<host_revision> {
  auto Summary = std::vector<host_revision>();
  for (const auto &[Node, Host] : State.Hosts.records()) {
    Summary.push_back({Node, Host.Incarnation, Host.Revision});
  }
  return Summary;
}

/** @return the host records that are missing or older in the summary. */
static auto hostsNewerThan(const node_state &State,
                           const std::vector<host_revision> &Summary)
    -> std::vector<mesh::host_record> {
  auto Known = std::map<node_id, const host_revision *>();
  for (const auto &Entry : Summary) {
    Known.emplace(Entry.Node, &Entry);
  }
  auto Newer = std::vector<mesh::host_record>();
  for (const auto &[Node, Host] : State.Hosts.records()) {
    auto Found = Known.find(Node);
    if (Found == Known.end() ||
        std::tie(Host.Incarnation, Host.Revision) >
            std::tie(Found->second->Incarnation, Found->second->Revision)) {
      Newer.push_back(Host);
    }
  }
  return Newer;
}

/** @return whether the summary lists a host record newer than the one held
 * here. */
static auto lacksRecords(const node_state &State,
                         const std::vector<host_revision> &Summary) -> bool {
  return std::any_of(
      Summary.begin(), Summary.end(), [&State](const host_revision &Entry) {
        const auto *Current = State.Hosts.find(Entry.Node);
        return Current == nullptr ||
               std::tie(Entry.Incarnation, Entry.Revision) >
                   std::tie(Current->Incarnation, Current->Revision);
      });
}

void gossip::handleMessage(
    const gossip_message &Message,
    const std::function<void(const mesh_message &)> &SendReply) {
  auto &State = Impl->State;
  if (Message.OperatorEra > State.StoreEra) {
    Impl->Events.OnStoreEra(Message.OperatorEra);
  }
  if (Message.StoreAge && Message.Sender.Zone == State.Own.Zone) {
    auto ConfirmedAt = State.Loop.now() - *Message.StoreAge;
    auto &Source = State.RecordSource;
    if (ConfirmedAt > Source.ReaderConfirmedAt) {
      Source.Reader = Message.Sender.Node;
      Source.ReaderConfirmedAt = ConfirmedAt;
    }
  }
  mergeHost(Message.Sender);
  for (const auto &Host : Message.Hosts) {
    mergeHost(Host);
  }
  Impl->mergeRecords(Message);
  for (const auto &Rollout : Message.Rollouts) {
    Impl->Events.OnRolloutProgress(Rollout);
  }
  for (const auto &Report : Message.Evidence) {
    Impl->Events.OnEvidence(Report);
  }
  Impl->Events.OnUsage(Message);
  if (Message.RelayToZone && Message.Sender.Zone != State.Own.Zone) {
    Impl->relayToOwnZone(Message);
  }
  // A different digest is answered with a summary of the host table. A summary
  // is answered with the records its sender lacks, and with a summary in return
  // if this node lacks some as well.
  auto Reply = Impl->buildMessage();
  auto ShouldReply = false;
  if (Message.HostDigest != 0 && Message.HostDigest != State.Hosts.digest()) {
    Reply.Summary = summarizeHosts(State);
    ShouldReply = true;
  }
  if (!Message.Summary.empty()) {
    Reply.Hosts = hostsNewerThan(State, Message.Summary);
    if (lacksRecords(State, Message.Summary)) {
      Reply.Summary = summarizeHosts(State);
    }
    ShouldReply = !Reply.Hosts.empty() || !Reply.Summary.empty();
  }
  if (Message.WantHosts) {
    Reply.Hosts = hostsNewerThan(State, {});
    if (const auto *Previous = State.Hosts.findPrevious(Message.Sender.Node)) {
      Reply.Hosts.push_back(*Previous);
    }
    ShouldReply = true;
  }
  if (Message.WantRecords && !State.Routes) {
    Impl->PendingRecordRequests.insert(Message.Sender.Node);
  } else if (Message.WantRecords) {
    // A node of another era gets all records.
    Reply.Records = State.Operator.changesFrom(
        {Message.OperatorEra, Message.OperatorEnd}, true);
    Reply.RecordsFrom = Message.OperatorEra == State.Operator.era()
                            ? Message.OperatorEnd
                            : log_offset{0};
    ShouldReply = true;
  }
  if (ShouldReply) {
    SendReply(Reply);
  }
  if (Message.OperatorEra == State.Operator.era() &&
      Message.OperatorEnd > State.Operator.end()) {
    Impl->scheduleRecordRequest(Message.Sender.Node, Message.OperatorEnd);
  }
}

} // namespace sycamorelb::sidecar
