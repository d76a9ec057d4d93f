/** @file membership_protocol_test.cpp Properties of the membership protocol. */
#include "membership_bus.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace sycamorelb;
using namespace sycamorelb::membership;

namespace {

constexpr auto Second = millis{1000};

auto makeBus(int Count, std::uint64_t Seed) -> bus {
  auto Bus = bus{Seed};
  for (auto Index = 0; Index < Count; ++Index) {
    Bus.start(Index, 1000);
  }
  return Bus;
}

/** @return the seconds until all nodes have converged, or Limit. */
auto secondsToConverge(bus &Bus, int Limit) -> int {
  for (auto Elapsed = 0; Elapsed < Limit; ++Elapsed) {
    if (Bus.hasConverged()) {
      return Elapsed;
    }
    Bus.run(Second);
  }
  return Limit;
}

/** Gives all nodes records of the size that is typical in production. */
void enlargeRecords(bus &Bus) {
  for (auto &[Address, Node] : Bus.Nodes) {
    auto &Own = ownEntry(Node.Table).Member;
    Own.Addresses = {
        .Inner = Address, .Peer = Address, .Caller = Address, .Admin = Address};
    Own.Upstreams.push_back({.Service = {"service-41"},
                             .Version = {"v1"},
                             .Address = Address,
                             .Slots = 10,
                             .Connections = 120,
                             .State = upstream_state::Warm,
                             .Limit = 10,
                             .InFlight = 3});
  }
}

/** Applies one random fault to a node or the network. */
void injectFault(bus &Bus, int Count, std::uint64_t &Incarnation) {
  auto Index = *rc::gen::inRange(0, Count);
  auto Address = bus::address(Index);
  auto &Node = Bus.Nodes.at(Address);
  switch (*rc::gen::inRange(0, 8)) {
  case 0:
    Node.Running = false;
    break;
  case 1:
    Bus.start(Index, ++Incarnation);
    break;
  case 2:
    Node.Paused = true;
    break;
  case 3:
    Bus.resume(Address);
    break;
  case 4:
    Node.ClockOffset += millis{*rc::gen::inRange(-20'000, 20'000)};
    break;
  case 5:
    Bus.Partitioned = !Bus.Partitioned;
    break;
  case 6:
    Bus.LossPercent = *rc::gen::inRange(0, 40);
    Bus.DuplicatePercent = *rc::gen::inRange(0, 40);
    break;
  default:
    if (Node.Running && !Node.Paused) {
      auto Upstream = upstream_info{};
      Upstream.Slots = *rc::gen::inRange<std::uint32_t>(1, 100);
      RC_ASSERT(isOk(setOwnUpstreams(Node.Table, {Upstream})));
    }
  }
}

/** Ends all faults; crashed nodes stay down. */
void endFaults(bus &Bus) {
  Bus.Partitioned = false;
  Bus.LossPercent = 0;
  Bus.DuplicatePercent = 0;
  for (auto &[Address, Node] : Bus.Nodes) {
    if (Node.Paused) {
      Bus.resume(Address);
    }
  }
}

} // namespace

// Guards against tables that never agree again after loss, duplication,
// reordering, crashes, restarts, pauses, clock steps and partitions, against a
// reachable member that stays dead, and against oversized datagrams.
Test(membership_protocol, converges_after_any_faults, .timeout = 100) {
  cr_assert(rc::check("convergence", []() {
    constexpr auto Count = 7;
    auto Bus = makeBus(Count, *rc::gen::arbitrary<std::uint32_t>());
    Bus.Measure = true;
    Bus.PartitionB = {bus::address(1), bus::address(4), bus::address(5)};
    Bus.run(3 * Second);
    auto Incarnation = std::uint64_t{2000};
    auto Faults = *rc::gen::inRange(1, 10);
    for (auto Fault = 0; Fault < Faults; ++Fault) {
      injectFault(Bus, Count, Incarnation);
      Bus.run(millis{*rc::gen::inRange(0, 8000)});
    }
    endFaults(Bus);
    RC_ASSERT(secondsToConverge(Bus, 120) < 120);
    // The tables must stay unchanged after they have converged.
    Bus.DeclaredDead.clear();
    Bus.run(35 * Second);
    RC_ASSERT(Bus.hasConverged());
    RC_ASSERT(Bus.DeclaredDead.empty());
    RC_ASSERT(Bus.LargestDatagram <= inner::MaxDatagramBytes);
    RC_ASSERT(Bus.LargestUnderestimate == 0U);
  }));
}

// Guards against removing members when a partition heals: after a partition
// that lasted long enough for both sides to declare each other dead, the sides
// merge again, and no member is declared dead a second time by its own side.
Test(membership_protocol, heals_a_partition_without_new_deaths) {
  auto Bus = makeBus(20, 7);
  for (auto Index = 0; Index < 20; Index += 2) {
    Bus.PartitionB.insert(bus::address(Index));
  }
  cr_assert_lt(secondsToConverge(Bus, 60), 60);
  Bus.Partitioned = true;
  Bus.run(120 * Second);
  for (const auto &[Address, Node] : Bus.Nodes) {
    cr_assert_eq(liveMembers(Node.Table).size(), 10);
  }
  Bus.DeclaredDead.clear();
  Bus.Partitioned = false;
  auto Seconds = secondsToConverge(Bus, 60);
  cr_log_info("healed after %d s\n", Seconds);
  cr_assert_lt(Seconds, 60);
  cr_assert(Bus.DeclaredDead.empty());
}

// Guards against slow or false detection: all nodes declare a crashed node dead
// within 10 s (5 s are expected), and no other node is declared dead.
Test(membership_protocol, declares_only_the_crashed_node_dead) {
  auto Bus = makeBus(20, 11);
  cr_assert_lt(secondsToConverge(Bus, 60), 60);
  Bus.LossPercent = 5;
  Bus.Nodes.at(bus::address(5)).Running = false;
  Bus.run(10 * Second);
  for (const auto &[Address, Node] : Bus.Nodes) {
    if (Node.Running) {
      cr_assert_eq(findMember(Node.Table, {"node-5"})->State,
                   member_state::Dead);
    }
  }
  cr_assert_eq(Bus.DeclaredDead.size(), 1);
}

// Guards against a resumed node that declares other nodes dead because its
// timers expired during the pause, and against one that stays dead after it
// resumed.
Test(membership_protocol,
     resumed_node_declares_no_other_node_dead_and_rejoins) {
  auto Bus = makeBus(10, 13);
  cr_assert_lt(secondsToConverge(Bus, 60), 60);
  Bus.Nodes.at(bus::address(3)).Paused = true;
  Bus.run(60 * Second);
  cr_assert_eq(Bus.DeclaredDead.size(), 1);
  Bus.resume(bus::address(3));
  cr_assert_lt(secondsToConverge(Bus, 60), 60);
  cr_assert_eq(Bus.DeclaredDead.size(), 1);
}

// Guards against an old process that displaces its successor: it resumes after
// a process on another host took over its id, and must stop.
Test(membership_protocol, replaced_process_is_superseded) {
  auto Bus = makeBus(6, 17);
  cr_assert_lt(secondsToConverge(Bus, 60), 60);
  Bus.run(15 * Second);
  Bus.Nodes.at(bus::address(3)).Paused = true;
  Bus.run(5 * Second);
  Bus.start(9, 5000);
  auto &Table = Bus.Nodes.at(bus::address(9)).Table;
  auto Self = ownEntry(Table).Member;
  Self.Id.Value = "node-3";
  Table = makeTable(Self, {bus::address(0)}, {}, 99, Bus.Now);
  Bus.run(10 * Second);
  Bus.resume(bus::address(3));
  Bus.run(20 * Second);
  cr_assert(Bus.Nodes.at(bus::address(3)).Table.Superseded);
  Bus.Nodes.at(bus::address(3)).Running = false;
  cr_assert(Bus.hasConverged());
}

// Guards against a restarted process that is mistaken for the old one because
// the wall clock was set back in between.
Test(membership_protocol, restart_with_a_smaller_start_time_is_accepted) {
  auto Bus = makeBus(6, 19);
  cr_assert_lt(secondsToConverge(Bus, 60), 60);
  Bus.start(4, 500);
  cr_assert_lt(secondsToConverge(Bus, 60), 60);
  cr_assert_gt(
      ownEntry(Bus.Nodes.at(bus::address(4)).Table).Member.Incarnation.Value,
      1000);
}

// Guards against brakes and departures that reach some nodes late, and against
// brakes that circulate forever.
Test(membership_protocol, urgent_updates_reach_all_nodes_within_a_second) {
  auto Bus = makeBus(40, 23);
  cr_assert_lt(secondsToConverge(Bus, 60), 60);
  Bus.run(60 * Second);
  auto &Node = Bus.Nodes.at(bus::address(7));
  auto Brake = brake_notice{.Move = {"m"},
                            .Service = {"roster"},
                            .Version = {"v2"},
                            .IssuedAt = Bus.nowOf(Node).Wall,
                            .Reason = "failures"};
  Bus.applyEffects(bus::address(7),
                   raiseBrake(Node.Table, Brake, Bus.nowOf(Node)));
  Bus.applyEffects(bus::address(7), beginLeaving(Node.Table, Bus.nowOf(Node)));
  Bus.run(Second);
  for (const auto &[Address, Other] : Bus.Nodes) {
    cr_assert_eq(Other.Table.Brakes.size(), 1);
    cr_assert_eq(findMember(Other.Table, {"node-7"})->State,
                 member_state::Leaving);
  }
  Bus.run(60 * Second);
  for (const auto &[Address, Other] : Bus.Nodes) {
    cr_assert_leq(Other.Table.Brakes[0].SendCount,
                  retransmitLimit(Other.Table));
    cr_assert(Other.Table.Queue.empty());
  }
  // A delayed copy that arrives after the nodes removed the brake is ignored.
  Bus.run(millis{600'000});
  auto Late = message{.Kind = message_kind::Gossip, .From = {"node-1"}};
  Late.Brakes = {Brake};
  auto Effects = onMessage(Node.Table, Late, bus::address(1), Bus.nowOf(Node));
  cr_assert(Effects.NewBrakes.empty());
}

// Guards against memory use that grows with each replaced host.
Test(membership_protocol, tombstones_are_bounded_in_time_and_number) {
  auto Bus = makeBus(1, 29);
  auto &Node = Bus.Nodes.at(bus::address(0));
  Node.Table.Options.MaxTombstones = 10;
  auto Effects = effects{};
  for (auto Index = 0; Index < 30; ++Index) {
    auto Dead = member_update{};
    Dead.Member.Id.Value = "gone-" + std::to_string(Index);
    Dead.Member.State = member_state::Dead;
    Dead.DeadFor = millis{1000 * Index};
    mergeMember(Node.Table, Dead, Bus.nowOf(Node), Effects);
  }
  Bus.run(Second);
  cr_assert_eq(Node.Table.Entries.size(), 11);
  cr_assert(findMember(Node.Table, {"gone-0"}) != nullptr,
            "the most recent deaths are kept");
  Bus.run(millis{3'600'000});
  cr_assert_eq(Node.Table.Entries.size(), 1);
}

// Guards against datagrams that exceed the size limit, or that stay more than
// half empty, when many more updates are queued than fit: all nodes start at
// once. Sizes are upper bounds, so the limit itself is not reached.
Test(membership_protocol, cold_start_fills_datagrams_to_the_limit) {
  auto Bus = makeBus(100, 37);
  enlargeRecords(Bus);
  Bus.Measure = true;
  auto Seconds = secondsToConverge(Bus, 60);
  cr_log_info("100 nodes converged %d s after a cold start, largest datagram "
              "%zu\n",
              Seconds, Bus.LargestDatagram);
  cr_assert_lt(Seconds, 60);
  cr_assert_leq(Bus.LargestDatagram, inner::MaxDatagramBytes);
  cr_assert_gt(Bus.LargestDatagram, inner::MaxDatagramBytes / 2);
  cr_assert_eq(Bus.LargestUnderestimate, 0);
}

// Guards against control traffic that exceeds 5 KB/s per node at the target
// size in normal operation.
Test(membership_protocol, traffic_at_target_size_is_within_bounds,
     .timeout = 100) {
  auto Bus = bus{31};
  for (auto Index = 0; Index < 880; ++Index) {
    Bus.start(Index, 1'700'000'000'000);
  }
  enlargeRecords(Bus);
  auto Members = std::vector<member>{};
  for (auto &[Address, Node] : Bus.Nodes) {
    Members.push_back(ownEntry(Node.Table).Member);
  }
  for (auto &[Address, Node] : Bus.Nodes) {
    for (const auto &Member : Members) {
      Node.Table.Entries[Member.Id].Member = Member;
    }
    Node.Table.Queue.clear();
  }
  Bus.Measure = true;
  Bus.run(5 * Second);
  auto Idle = static_cast<double>(Bus.Bytes) / 880 / 5;
  Bus.Bytes = 0;
  Bus.Nodes.at(bus::address(17)).Running = false;
  Bus.run(20 * Second);
  auto AfterDeath = static_cast<double>(Bus.Bytes) / 880 / 20;
  cr_log_info("bytes sent per node and second: idle %.0f, in the 20 s after a "
              "death %.0f, largest datagram %zu\n",
              Idle, AfterDeath, Bus.LargestDatagram);
  cr_assert_lt(Idle, 1000);
  cr_assert_lt(AfterDeath, 2500);
  cr_assert_leq(Bus.LargestDatagram, inner::MaxDatagramBytes);
  cr_assert_eq(Bus.DeclaredDead.size(), 1);
}
