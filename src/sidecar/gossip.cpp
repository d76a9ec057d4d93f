/** @file gossip.cpp Spreads what nodes know among them. */
#include "sidecar/gossip.h"

#include "sycamorelb/mesh/reader_func.h"
#include "sycamorelb/mesh/relay_func.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace sycamorelb::sidecar {

using namespace inner;

/** Interval of the exchange with a random node. A node whose news were lost
 * hears of them within a few intervals. */
static constexpr auto ExchangeInterval = micros(1'000'000);
/** One in so many exchanges goes to a node of another zone. */
static constexpr auto FarExchange = std::uint32_t{5};
/** Interval at which a reader of the store tells its zone that it is there. */
static constexpr auto ReaderInterval = micros(500'000);
/** Silence of the readers after which a node reads the store itself. */
static constexpr auto ReaderSilence = micros(1'300'000);
/** Nodes of other zones that a reader tells of a change. */
static constexpr auto FarNotices = std::size_t{2};
/** Nodes of each other zone that are told of a change and tell their zone;
 * bytes between zones are dear, and one of them may be down or cut off. */
static constexpr auto RelaysPerZone = std::size_t{3};
/** Nodes of the own zone that are asked for what they know, at the start. */
static constexpr auto AskedAtStart = std::size_t{2};
/** Time after which the hosts of other zones are greeted, and its spread. */
static constexpr auto FarGreetingDelay = micros(300'000);
static constexpr auto FarGreetingSpreadMicros = std::uint32_t{700'000};
/** Time in which a node hears of a change from a reader of its zone, or reads
 * it itself, before it asks another node that told of it. */
static constexpr auto OwnReadTime = micros(700'000);

void publishOwn(node_state &State) {
  ++State.Own.Revision;
  State.Hosts.merge(State.Own);
}

struct gossip::implementation {
  node_state &State;
  peer_links &Links;
  gossip_events Events;
  steady_time ReaderHeardAt{};
  std::set<node_id> Waiting; // Asked for records before there were any.

  auto message() const -> gossip_message;
  auto others(bool SameZone) const -> std::vector<node_id>;
  void exchange();
  void tellZone();
  void tellNear(const gossip_message &Message);
  void tellFar(gossip_message Message);
  void relay(const gossip_message &Message);
  void askRecordsLater(const node_id &Node, log_offset End);
  void mergeRecords(const gossip_message &Message);
};

gossip::gossip(node_state &State, peer_links &Links, gossip_events Events)
    : Impl(std::make_unique<implementation>(
          implementation{State, Links, std::move(Events), {}, {}})) {}

gossip::~gossip() = default;

auto gossip::implementation::message() const -> gossip_message {
  auto Message = gossip_message();
  Message.Sender = State.Own;
  Message.OperatorEnd = State.Operator.end();
  Message.ReadsStore = mesh::isReader(State.Hosts, State.Own) &&
                       !State.Own.StoreLost && State.StoreListed;
  for (const auto &[Service, Rollout] : State.Rollouts) {
    Message.Rollouts.push_back(Rollout);
  }
  return Message;
}

auto gossip::implementation::others(bool SameZone) const
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
  auto Far = randomBelow(State.Random, FarExchange) == 0;
  auto Nodes = others(!Far);
  if (Nodes.empty()) {
    Nodes = others(Far);
  }
  mesh::keepRandom(Nodes, 1, State.Random);
  if (!Nodes.empty() && !State.Stopping) {
    auto Message = message();
    Message.HostDigest = State.Hosts.digest();
    Links.send(Nodes[0], Message);
  }
  State.Loop.addTimer(State.Loop.now() + ExchangeInterval,
                      [this] { exchange(); });
}

void gossip::implementation::tellZone() {
  if (mesh::isReader(State.Hosts, State.Own) && !State.Own.StoreLost &&
      State.StoreListed && !State.Stopping) {
    tellNear(message());
  }
  State.Loop.addTimer(State.Loop.now() + ReaderInterval,
                      [this] { tellZone(); });
}

void gossip::start() {
  // Gives the readers of the zone time to tell that they are there.
  Impl->ReaderHeardAt = Impl->State.Loop.now();
  Impl->State.Loop.addTimer(Impl->State.Loop.now() + ExchangeInterval,
                            [this] { Impl->exchange(); });
  Impl->tellZone();
}

auto gossip::mustReadStore() const -> bool {
  auto &State = Impl->State;
  return mesh::isReader(State.Hosts, State.Own) ||
         State.Loop.now() - Impl->ReaderHeardAt > ReaderSilence;
}

void gossip::implementation::tellNear(const gossip_message &Message) {
  for (const auto &Node : others(true)) {
    Links.send(Node, Message);
  }
}

void gossip::implementation::tellFar(gossip_message Message) {
  Message.RelayToZone = true;
  for (const auto &Node : mesh::chooseRelays(State.Hosts, State.Own,
                                             RelaysPerZone, State.Random)) {
    Links.send(Node, Message);
  }
}

void gossip::implementation::relay(const gossip_message &Message) {
  auto Passed = message();
  Passed.Hosts.push_back(Message.Sender);
  tellNear(Passed);
}

void gossip::tellNews() {
  auto Message = Impl->message();
  Impl->tellNear(Message);
  Impl->tellFar(std::move(Message));
}

void gossip::tellOperatorChanges(log_offset From) {
  auto &State = Impl->State;
  auto Message = Impl->message();
  auto Far = Impl->others(false);
  mesh::keepRandom(Far, FarNotices, State.Random);
  for (const auto &[Node, Host] : State.Hosts.records()) {
    if (Host.StoreLost && Host.Zone != State.Own.Zone && !Host.Leaving) {
      Far.push_back(Node);
    }
  }
  for (const auto &Node : Far) {
    Impl->Links.send(Node, Message);
  }
  if (!mesh::isReader(State.Hosts, State.Own)) {
    return;
  }
  Message.Records = State.Operator.changesFrom(From);
  Message.RecordsFrom = From;
  Impl->tellNear(Message);
}

void gossip::greetAll() {
  auto &State = Impl->State;
  auto Message = Impl->message();
  auto Near = Impl->others(true);
  auto Asked = std::vector<node_id>();
  for (const auto &Node : Near) {
    Impl->Links.send(Node, Message);
    if (State.Hosts.find(Node)->Capable) {
      Asked.push_back(Node);
    }
  }
  Asked = !Asked.empty() ? Asked : (!Near.empty() ? Near : Impl->others(false));
  mesh::keepRandom(Asked, AskedAtStart, State.Random);
  Message.WantHosts = true;
  Message.WantRecords = true;
  for (const auto &Node : Asked) {
    Impl->Links.send(Node, Message);
  }
  // Many nodes may start at once; this spreads the work of the greetings.
  auto Delay = FarGreetingDelay +
               micros(randomBelow(State.Random, FarGreetingSpreadMicros));
  State.Loop.addTimer(State.Loop.now() + Delay,
                      [this] { Impl->tellFar(Impl->message()); });
}

auto gossip::canRelyOnZone() const -> bool {
  auto &State = Impl->State;
  auto Near = Impl->others(true);
  return !State.Own.Capable &&
         std::any_of(Near.begin(), Near.end(), [&State](const auto &Node) {
           const auto *Host = State.Hosts.find(Node);
           return Host->Capable && !Host->StoreLost;
         });
}

void gossip::answerWaiting() {
  auto Waiting = std::exchange(Impl->Waiting, {});
  if (Waiting.empty()) {
    return;
  }
  auto Message = Impl->message();
  Message.Records = Impl->State.Operator.changesFrom(log_offset{0});
  for (const auto &Node : Waiting) {
    Impl->Links.send(Node, Message);
  }
}

void gossip::tellEvidence(const node_id &Node,
                          const rollout_evidence_report &Report) {
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
      tellNews();
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
  auto Complete =
      Message.RecordsFrom <= State.Operator.end() && !Message.Records.empty();
  auto LacksBase = false;
  for (const auto &Record : Message.Records) {
    auto Held = State.Operator.records().find(Record.Key);
    if (Held != State.Operator.records().end() &&
        Held->second.Offset >= Record.Offset) {
      continue;
    }
    auto Whole = State.Operator.expand(Record);
    Complete = Complete && Whole;
    LacksBase = LacksBase || !Whole;
    if (Whole && State.Operator.merge(*Whole)) {
      Keys.push_back(Record.Key);
    }
  }
  if (Complete) {
    State.Operator.noteEnd(Message.OperatorEnd);
  }
  if (LacksBase) {
    // Asks for everything, which then comes as whole records.
    auto Question = message();
    Question.WantRecords = true;
    Question.OperatorEnd = log_offset{0};
    Links.send(Message.Sender.Node, Question);
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

/** @return how new the records of all hosts are. */
static auto summaryOf(const node_state &State) -> std::vector<host_revision> {
  auto Summary = std::vector<host_revision>();
  for (const auto &[Node, Host] : State.Hosts.records()) {
    Summary.push_back({Node, Host.Incarnation, Host.Revision});
  }
  return Summary;
}

/** @return the hosts of which the sender of the summary knows less. */
static auto newerThan(const node_state &State,
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

/** @return whether the sender of the summary knows more of some host. */
static auto lacksSome(const node_state &State,
                      const std::vector<host_revision> &Summary) -> bool {
  return std::any_of(Summary.begin(), Summary.end(),
                     [&State](const host_revision &Entry) {
                       const auto *Held = State.Hosts.find(Entry.Node);
                       return Held == nullptr ||
                              std::tie(Entry.Incarnation, Entry.Revision) >
                                  std::tie(Held->Incarnation, Held->Revision);
                     });
}

void gossip::handle(const gossip_message &Message,
                    const std::function<void(const mesh_message &)> &Answer) {
  auto &State = Impl->State;
  if (Message.ReadsStore && Message.Sender.Zone == State.Own.Zone) {
    Impl->ReaderHeardAt = State.Loop.now();
  }
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
  if (Message.RelayToZone && Message.Sender.Zone != State.Own.Zone) {
    Impl->relay(Message);
  }
  // A differing digest is answered by a summary. A summary is answered by the
  // records that its sender lacks, and by a summary if this node lacks some.
  auto Reply = Impl->message();
  auto Answers = false;
  if (Message.HostDigest != 0 && Message.HostDigest != State.Hosts.digest()) {
    Reply.Summary = summaryOf(State);
    Answers = true;
  }
  if (!Message.Summary.empty()) {
    Reply.Hosts = newerThan(State, Message.Summary);
    if (lacksSome(State, Message.Summary)) {
      Reply.Summary = summaryOf(State);
    }
    Answers = !Reply.Hosts.empty() || !Reply.Summary.empty();
  }
  if (Message.WantHosts) {
    Reply.Hosts = newerThan(State, {});
    if (const auto *Former = State.Hosts.formerOf(Message.Sender.Node)) {
      Reply.Hosts.push_back(*Former);
    }
    Answers = true;
  }
  if (Message.WantRecords && !State.Routes) {
    Impl->Waiting.insert(Message.Sender.Node);
  } else if (Message.WantRecords) {
    Reply.Records = State.Operator.changesFrom(Message.OperatorEnd);
    Reply.RecordsFrom = Message.OperatorEnd;
    Answers = true;
  }
  if (Answers) {
    Answer(Reply);
  }
  if (Message.OperatorEnd > State.Operator.end()) {
    Impl->askRecordsLater(Message.Sender.Node, Message.OperatorEnd);
  }
}

} // namespace sycamorelb::sidecar
