/** @file gossip.cpp Spreads what nodes know among them. */
#include "sidecar/gossip.h"

#include <algorithm>

namespace sycamorelb::sidecar {

using namespace inner;

/** Interval of the exchange with a random node. A node whose news were lost
 * hears of them within a few intervals. */
static constexpr auto ExchangeInterval = micros(1'000'000);
/** Random nodes that are told at once that operators wrote something. */
static constexpr auto NoticeFanout = std::size_t{4};
/** Time in which a node with access to the store reads a change itself before
 * it asks the node that told of it. */
static constexpr auto OwnReadTime = micros(250'000);

void publishOwn(node_state &State) {
  ++State.Own.Revision;
  State.Hosts.merge(State.Own);
}

struct gossip::implementation {
  node_state &State;
  peer_links &Links;
  gossip_events Events;

  auto message() const -> gossip_message;
  auto others() const -> std::vector<node_id>;
  void exchange();
  void askRecordsLater(const node_id &Node, log_offset End);
  void mergeRecords(const gossip_message &Message);
};

gossip::gossip(node_state &State, peer_links &Links, gossip_events Events)
    : Impl(std::make_unique<implementation>(
          implementation{State, Links, std::move(Events)})) {}

gossip::~gossip() = default;

auto gossip::implementation::message() const -> gossip_message {
  auto Message = gossip_message();
  Message.Sender = State.Own;
  Message.OperatorEnd = State.Operator.end();
  Message.HostDigest = State.Hosts.digest();
  for (const auto &[Service, Rollout] : State.Rollouts) {
    Message.Rollouts.push_back(Rollout);
  }
  return Message;
}

auto gossip::implementation::others() const -> std::vector<node_id> {
  auto Nodes = std::vector<node_id>();
  for (const auto &[Node, Host] : State.Hosts.records()) {
    if (Node != State.Own.Node && !Host.Leaving) {
      Nodes.push_back(Node);
    }
  }
  return Nodes;
}

void gossip::implementation::exchange() {
  auto Nodes = others();
  if (!Nodes.empty() && !State.Stopping) {
    auto Index =
        randomBelow(State.Random, static_cast<std::uint32_t>(Nodes.size()));
    Links.send(Nodes[Index], message());
  }
  State.Loop.addTimer(State.Loop.now() + ExchangeInterval,
                      [this] { exchange(); });
}

void gossip::start() {
  Impl->State.Loop.addTimer(Impl->State.Loop.now() + ExchangeInterval,
                            [this] { Impl->exchange(); });
}

void gossip::tellOwnRecord() { Impl->Links.broadcast(Impl->message()); }

void gossip::tellRollouts() { Impl->Links.broadcast(Impl->message()); }

void gossip::tellOperatorEnd() {
  auto Nodes = Impl->others();
  auto Message = Impl->message();
  for (auto Index = std::size_t{0}; Index < Nodes.size(); ++Index) {
    auto Left = static_cast<std::uint32_t>(Nodes.size() - Index);
    std::swap(Nodes[Index],
              Nodes[Index + randomBelow(Impl->State.Random, Left)]);
    const auto *Host = Impl->State.Hosts.find(Nodes[Index]);
    if (Index < NoticeFanout || (Host != nullptr && Host->StoreLost)) {
      Impl->Links.send(Nodes[Index], Message);
    }
  }
}

void gossip::greetAll() {
  auto Message = Impl->message();
  Message.WantHosts = true;
  Message.WantRecords = true;
  Impl->Links.broadcast(Message);
}

void gossip::tellEvidence(const node_id &Node, const evidence_report &Report) {
  auto Message = Impl->message();
  Message.Evidence.push_back(Report);
  Impl->Links.send(Node, Message);
}

void gossip::mergeHost(const mesh::host_record &Record) {
  auto &State = Impl->State;
  if (Record.Node == State.Own.Node) {
    if (mesh::isNewer(Record, State.Own)) {
      // An earlier process of this host, whose clock was ahead.
      State.Own.Incarnation = Record.Incarnation + 1;
      publishOwn(State);
      Impl->Events.OnEarlierSelf(Record);
      tellOwnRecord();
    } else if (Record.Incarnation < State.Own.Incarnation) {
      Impl->Events.OnEarlierSelf(Record);
    }
    return;
  }
  const auto *Held = State.Hosts.find(Record.Node);
  auto Changed = Held == nullptr || Held->Target != Record.Target ||
                 Held->Leaving != Record.Leaving;
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

void gossip::implementation::askRecordsLater(const node_id &Node,
                                             log_offset End) {
  auto Ask = [this, Node, End] {
    if (State.Operator.end() < End) {
      auto Message = message();
      Message.WantRecords = true;
      Links.send(Node, Message);
    }
  };
  if (State.Own.StoreLost || !State.Routes) {
    return Ask();
  }
  State.Loop.addTimer(State.Loop.now() + OwnReadTime, Ask);
}

void gossip::implementation::mergeRecords(const gossip_message &Message) {
  auto Keys = std::vector<std::string>();
  for (const auto &Record : Message.Records) {
    if (State.Operator.merge(Record)) {
      Keys.push_back(Record.Key);
    }
  }
  if (!Message.Records.empty()) {
    // The sender gave all records from the end that was asked for.
    State.Operator.noteEnd(Message.OperatorEnd);
  }
  if (!Keys.empty()) {
    State.Log.write(
        log_class::State, "operator.from_peer",
        {{"peer", Message.Sender.Node.Value},
         {"records", static_cast<std::int64_t>(Keys.size())},
         {"end", static_cast<std::int64_t>(Message.OperatorEnd.Value)}});
    Events.OnOperatorKeys(Keys);
  }
}

void gossip::handle(
    const gossip_message &Message,
    const std::function<void(const mesh_message &)> &Answer) {
  auto &State = Impl->State;
  mergeHost(Message.Sender);
  for (const auto &Host : Message.Hosts) {
    mergeHost(Host);
  }
  Impl->mergeRecords(Message);
  for (const auto &Rollout : Message.Rollouts) {
    Impl->Events.OnRollout(Rollout);
  }
  for (const auto &Report : Message.Evidence) {
    Impl->Events.OnEvidence(Report);
  }
  auto Reply = Impl->message();
  auto Differs = Message.HostDigest != State.Hosts.digest();
  if (Message.WantHosts || Differs) {
    for (const auto &[Node, Host] : State.Hosts.records()) {
      Reply.Hosts.push_back(Host);
    }
    // Asks for the others' only if this is not an answer to such a question.
    Reply.WantHosts = Differs && !Message.WantHosts && Message.Hosts.empty();
  }
  if (Message.WantRecords) {
    for (const auto &[Key, Record] : State.Operator.records()) {
      if (Record.Offset >= Message.OperatorEnd) {
        Reply.Records.push_back(Record);
      }
    }
  }
  auto Asked = Message.WantHosts || Message.WantRecords;
  if (Asked || (Differs && Message.Hosts.empty())) {
    Answer(Reply);
  }
  if (Message.OperatorEnd > State.Operator.end()) {
    Impl->askRecordsLater(Message.Sender.Node, Message.OperatorEnd);
  }
}

} // namespace sycamorelb::sidecar
