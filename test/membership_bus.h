/** @file membership_bus.h Simulated message bus with fault injection for the
 * tests of the membership protocol. */
#pragma once

#include "membership/gossip.h"
#include "sycamorelb/inner/auth_func.h"
#include "sycamorelb/inner/codec_func.h"
#include "sycamorelb/membership/exchange_func.h"

#include <algorithm>
#include <set>

namespace sycamorelb::membership {

/** One simulated node. */
struct bus_node {
  member_table Table;
  bool Running = true;   ///< False after a crash.
  bool Paused = false;   ///< A paused node's messages stay queued, as in a
                         ///< socket buffer.
  micros ClockOffset{0}; ///< Offset of its steady clock.
  /** Messages received while paused. */
  std::vector<std::pair<std::string, message>> Inbox;
};

/** Message bus that loses, duplicates and reorders messages. */
struct bus {
  steady_time Now{std::chrono::seconds(1000)};
  random_source Random;
  std::map<std::string, bus_node> Nodes; ///< By inner address.
  std::multimap<steady_time, std::tuple<std::string, std::string, message>>
      InTransit;
  std::set<std::string> PartitionB; ///< Nodes on the other side of a partition.
  bool Partitioned = false;         ///< Whether the two sides are separated.
  std::uint32_t LossPercent = 0;
  std::uint32_t DuplicatePercent = 0;
  std::size_t LargestDatagram = 0;      ///< Largest encoded size seen.
  std::size_t LargestUnderestimate = 0; ///< Most bytes by which a datagram
                                        ///< exceeded its estimate.
  std::uint64_t Bytes = 0;              ///< Bytes of all datagrams sent.
  std::uint64_t Datagrams = 0;          ///< Number of datagrams sent.
  bool Measure = false; ///< Whether datagrams are encoded to measure
                        ///< their size.
  /** Processes that any node declared dead. */
  std::set<std::pair<node_id, incarnation>> DeclaredDead;

  explicit bus(std::uint64_t Seed) : Random(Seed) {}

  static auto address(int Index) -> std::string {
    return "10.0." + std::to_string(Index / 250) + "." +
           std::to_string(1 + Index % 250) + ":7000";
  }

  auto nowOf(const bus_node &Node) const -> instant {
    auto Local = Now + Node.ClockOffset;
    return {.Steady = Local, .Wall = {Now.time_since_epoch().count() / 1000}};
  }

  /** Starts or restarts a node. */
  void start(int Index, std::uint64_t Incarnation) {
    auto Self = member{};
    Self.Id.Value = "node-" + std::to_string(Index);
    Self.Incarnation.Value = Incarnation;
    Self.Addresses.Inner = address(Index);
    Self.Zone.Value = "zone-" + std::to_string(Index % 4);
    Self.Region.Value = "region-" + std::to_string(Index % 2);
    auto &Node = Nodes[address(Index)] = bus_node{};
    Node.Table = makeTable(Self, {address(0), address(1), address(2)}, {},
                           Random.Generator(), nowOf(Node).Steady);
  }

  auto isPartitioned(const std::string &From, const std::string &To) const
      -> bool {
    return Partitioned && PartitionB.contains(From) != PartitionB.contains(To);
  }

  void measure(const message &Message) {
    ++Datagrams;
    if (!Measure) {
      return;
    }
    auto Encoded = inner::encodeDatagram(
        {.From = Message.From, .SentAt = {1'700'000'000'000}, .Body = Message});
    auto Size = std::size_t{100'000};
    if (isOk(Encoded)) {
      Size = valueOf(Encoded).size() + inner::DatagramOverhead;
    }
    auto Estimate = estimateBaseBytes(Message);
    for (const auto &Update : Message.Updates) {
      Estimate += estimateBytes(Update);
    }
    for (const auto &Brake : Message.Brakes) {
      Estimate += estimateBytes(Brake);
    }
    Bytes += Size;
    LargestDatagram = std::max(LargestDatagram, Size);
    LargestUnderestimate =
        std::max(LargestUnderestimate, Size > Estimate ? Size - Estimate : 0);
  }

  void transmit(const std::string &From, outgoing_message &Out) {
    measure(Out.Message);
    if (isPartitioned(From, Out.Address) ||
        randomBelow(Random, 100) < LossPercent) {
      return;
    }
    auto Copies = randomBelow(Random, 100) < DuplicatePercent ? 2 : 1;
    for (auto Copy = 0; Copy < Copies; ++Copy) {
      // Random delays reorder the messages.
      auto At = Now + micros{1000 + randomBelow(Random, 60'000)};
      InTransit.emplace(At, std::tuple{From, Out.Address, Out.Message});
    }
  }

  void applyEffects(const std::string &From, effects Effects) {
    for (const auto &Change : Effects.Changes) {
      if (Change.After == member_state::Dead) {
        const auto *Record = findMember(Nodes.at(From).Table, Change.Id);
        DeclaredDead.emplace(Change.Id, Record->Incarnation);
      }
    }
    for (auto &Out : Effects.Messages) {
      transmit(From, Out);
    }
    for (const auto &Target : Effects.Exchanges) {
      exchange(From, Target.Address);
    }
  }

  /** Runs a full table exchange; the RPC completes immediately or fails. */
  void exchange(const std::string &From, const std::string &To) {
    auto Found = Nodes.find(To);
    if (Found == Nodes.end() || !Found->second.Running ||
        Found->second.Paused || isPartitioned(From, To)) {
      return;
    }
    auto &One = Nodes.at(From);
    auto &Other = Found->second;
    auto Answer =
        answerExchange(Other.Table, beginExchange(One.Table), nowOf(Other));
    auto End = finishExchange(One.Table, Answer.Answer, nowOf(One));
    applyEffects(To, std::move(Answer.Effects));
    if (End.FollowUp) {
      auto Last = answerExchange(Other.Table, *End.FollowUp, nowOf(Other));
      applyEffects(To, std::move(Last.Effects));
    }
    applyEffects(From, std::move(End.Effects));
  }

  void receive(const std::string &To, const std::string &From,
               const message &Message) {
    auto Found = Nodes.find(To);
    if (Found == Nodes.end() || !Found->second.Running) {
      return;
    }
    auto &Node = Found->second;
    if (Node.Paused) {
      Node.Inbox.emplace_back(From, Message);
      return;
    }
    applyEffects(To, onMessage(Node.Table, Message, From, nowOf(Node)));
  }

  /** Resumes a paused node, which first handles its queued messages. */
  void resume(const std::string &Address) {
    auto &Node = Nodes.at(Address);
    Node.Paused = false;
    for (auto &[From, Message] : std::exchange(Node.Inbox, {})) {
      receive(Address, From, Message);
    }
  }

  /** Simulates a span of time in ticks of 100 ms. */
  void run(millis Time) {
    for (auto End = Now + Time; Now < End;) {
      Now += millis{100};
      while (!InTransit.empty() && InTransit.begin()->first <= Now) {
        auto [From, To, Message] = std::move(InTransit.begin()->second);
        InTransit.erase(InTransit.begin());
        receive(To, From, Message);
      }
      for (auto &[Address, Node] : Nodes) {
        if (Node.Running && !Node.Paused) {
          applyEffects(Address, onTick(Node.Table, nowOf(Node)));
        }
      }
    }
  }

  /** @return whether the live members known to each running node are exactly
   * the running nodes with their current records. */
  auto hasConverged() const -> bool {
    auto Live = std::map<node_id, member>{};
    for (const auto &[Address, Node] : Nodes) {
      if (Node.Running) {
        Live[Node.Table.Self] = *findMember(Node.Table, Node.Table.Self);
      }
    }
    return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &Item) {
      const auto &Node = Item.second;
      if (!Node.Running) {
        return true;
      }
      auto Known = std::map<node_id, member>{};
      for (const auto &Member : liveMembers(Node.Table)) {
        Known[Member.Id] = Member;
      }
      return Known == Live;
    });
  }
};

} // namespace sycamorelb::membership
