/** @file config_store_test.cpp Tests of the configuration store and of the
 * decisions on distribution. */
#include "config_fixture.h"
#include "sycamorelb/config/checkpoint_func.h"
#include "sycamorelb/config/config_store.h"
#include "sycamorelb/config/distribution_func.h"

#include <criterion/criterion.h>
#include <set>
#include <thread>

using namespace sycamorelb;
using namespace sycamorelb::config;

/** Reference store: keeps all records and replays them from the start for each
 * state. */
struct reference_store {
  std::vector<raw_record> Records;

  auto state() const -> config_state {
    auto State = config_state();
    for (const auto &Record : Records) {
      State = replay(State, Record.Offset, Record.Bytes).Next;
    }
    return State;
  }
  void apply(const std::vector<raw_record> &Delivered) {
    auto Next = Records;
    for (const auto &Record : Delivered) {
      if (Record.Offset.Value == Next.size() + 1) {
        Next.push_back(Record);
      } else if (Record.Offset.Value > Next.size()) {
        return; // A gap: none of the records are applied.
      }
    }
    Records = Next;
  }
};

/** @return a random contiguous range of the records. */
static auto randomRange(const history &History) -> std::vector<raw_record> {
  auto Size = static_cast<int>(History.Records.size());
  auto Begin = *rc::gen::inRange(0, Size);
  auto End = *rc::gen::inRange(Begin, Size + 1);
  return {History.Records.begin() + Begin, History.Records.begin() + End};
}

// Guards against a store whose position decreases, whose state diverges, or
// which applies records in part when deliveries are reordered, repeated or
// lost. Compares it with a reference store.
Test(config_store, matches_the_reference_store_for_any_deliveries) {
  cr_assert(rc::check("differential", [] {
    auto History = randomHistory(15);
    auto Store = config_store();
    auto Reference = reference_store();
    for (auto Round = 0; Round < 12; ++Round) {
      auto Range = randomRange(History);
      auto Before = Store.current();
      auto Result = Store.apply(Range);
      Reference.apply(Range);
      auto After = Store.current();
      RC_ASSERT(After->State == Reference.state());
      RC_ASSERT(After->State.Position >= Before->State.Position);
      RC_ASSERT((Result.Kind == update_status::Advanced) ==
                (After->State.Position > Before->State.Position));
    }
  }));
}

// Guards against a diverging state when records from a peer are corrupted,
// truncated or dropped in transit, and when the states of peers are older or
// have a wrong chain hash.
Test(config_store, corrupt_deliveries_never_fork_the_state) {
  cr_assert(rc::check("damaged deliveries", [] {
    auto History = randomHistory(15);
    auto Store = config_store();
    for (auto Round = 0; Round < 12; ++Round) {
      auto Before = Store.point();
      auto Range = randomRange(History);
      auto At = *rc::gen::inRange<std::size_t>(0, Range.size() + 1);
      if (Range.empty()) {
        continue;
      }
      const auto &End = History.States[Range.back().Offset.Value];
      auto Kind = *rc::gen::inRange(0, 5);
      if (Kind == 0 && At < Range.size()) {
        Range[At].Bytes = corruptBytes(Range[At].Bytes);
      } else if (Kind == 1 && At < Range.size()) {
        Range.erase(Range.begin() + static_cast<std::ptrdiff_t>(At));
      } else if (Kind == 2) {
        auto State = End;
        State.ChainHash ^= *rc::gen::inRange<std::uint64_t>(0, 2);
        if (State.Position.Value <= Before.Position.Value) {
          Store.installState(State);
        }
        Store.installState(End);
      }
      if (Kind < 2 || Kind > 2) {
        Store.apply(record_batch{Range, {End.Position, End.ChainHash}});
      }
      const auto &State = Store.current()->State;
      RC_ASSERT(State.Position >= Before.Position);
      RC_ASSERT(State == History.States[State.Position.Value]);
    }
  }));
}

// Guards against serving records from which a peer does not reach the state of
// this node.
Test(config_store, peers_catch_up_from_kept_records) {
  cr_assert(rc::check("catch up", [] {
    auto History = randomHistory(15);
    auto Ahead = config_store();
    Ahead.apply(History.Records);
    auto Behind = config_store();
    auto Known = *rc::gen::inRange<std::size_t>(0, History.Records.size());
    Behind.apply({History.Records.begin(), History.Records.begin() + Known});
    while (Behind.point() != Ahead.point()) {
      auto Served = Ahead.recordsAfter(Behind.point(), 500);
      RC_ASSERT(Served.index() == 0U);
      auto Result = Behind.apply(std::get<0>(Served));
      RC_ASSERT(Result.Kind == update_status::Advanced);
    }
    RC_ASSERT(Behind.current()->State == Ahead.current()->State);
    auto Forked = chain_point{History.States[Known].Position, 1};
    RC_ASSERT(std::get<1>(Ahead.recordsAfter(Forked, 500)) ==
              no_records::Forked);
  }));
}

// Guards against unbounded growth of the kept records, and against serving
// records with a gap before them.
Test(config_store, kept_records_are_bounded) {
  auto Store = config_store();
  auto Records = std::vector<raw_record>();
  for (auto Index = std::uint64_t{1}; Index <= MaxKeptRecords + 5; ++Index) {
    Records.push_back({{Index}, "garbage"});
  }
  cr_assert(Store.apply(Records).Kind == update_status::Advanced);
  cr_assert(std::get<1>(Store.recordsAfter({{4}, 0}, 1000)) ==
            no_records::TooOld);
  cr_assert(std::get<1>(Store.recordsAfter({{9999}, 0}, 1000)) ==
            no_records::PeerAhead);
  auto Large = std::vector<raw_record>();
  for (auto Index = std::uint64_t{0}; Index < 12; ++Index) {
    Large.push_back({{Records.size() + 1 + Index}, std::string(1 << 20, 'x')});
  }
  auto Before = Store.point();
  cr_assert(Store.apply(Large).Kind == update_status::Advanced);
  cr_assert(std::get<1>(Store.recordsAfter(Before, 1000)) ==
            no_records::TooOld);
}

// Guards against installing states with unresolved references, older states and
// states with another chain hash.
Test(config_store, invalid_older_and_forked_states_are_rejected) {
  auto History = history{{}, {config_state()}};
  for (auto Index = 0; Index < 3; ++Index) {
    History.append(
        encodeRecord(makeApply(History.States.back(), sampleDeclaration(Index),
                               {"r" + std::to_string(Index)}, wall_ms{0})));
  }
  auto Store = config_store();
  cr_assert(Store.installState(History.States[2]).Kind ==
            update_status::Advanced);
  cr_assert(Store.installState(History.States[1]).Kind == update_status::Older);
  auto Forked = History.States[2];
  Forked.ChainHash ^= 1;
  cr_assert(Store.installState(Forked).Kind == update_status::Forked);
  auto Invalid = History.States[3];
  Invalid.Declared.Services.erase({"roster"});
  cr_assert(Store.installState(Invalid).Kind == update_status::Invalid);
  auto OlderVersion = History.States[3];
  OlderVersion.Version = OlderVersion.DeclaredAt = {1};
  cr_assert(Store.installState(OlderVersion).Kind == update_status::Forked);
  cr_assert(Store.current()->State == History.States[2]);
  cr_assert(Store.apply(History.Records).Kind == update_status::Advanced);
  cr_assert(Store.current()->State == History.States[3]);
}

// Guards against missing that records come from a different log than those
// replayed before.
Test(config_store, contradicting_records_are_reported) {
  auto Store = config_store();
  Store.apply({{{1}, "a"}, {{2}, "b"}});
  auto Before = Store.point();
  auto Result = Store.apply({{{2}, "other"}, {{3}, "c"}});
  cr_assert(Result.Kind == update_status::Forked);
  cr_assert(Store.point() == Before);
}

// Guards against readers that see a partial or an older snapshot while several
// threads apply the same records.
Test(config_store, readers_see_complete_snapshots_in_order) {
  auto History = history{{}, {config_state()}};
  for (auto Index = 0; Index < 60; ++Index) {
    History.append(
        encodeRecord(makeApply(History.States.back(), sampleDeclaration(Index),
                               {"r" + std::to_string(Index)}, wall_ms{0})));
  }
  auto Store = config_store();
  auto Writers = std::vector<std::thread>();
  for (auto Writer = 0; Writer < 3; ++Writer) {
    Writers.emplace_back([&Store, &History] {
      for (const auto &Record : History.Records) {
        Store.apply({Record});
      }
    });
  }
  auto Last = log_offset{0};
  while (Last.Value < 60) {
    auto Snapshot = Store.current();
    cr_assert(Snapshot->State.Position >= Last);
    Last = Snapshot->State.Position;
    cr_assert(Snapshot->State == History.States[Last.Value]);
    cr_assert_eq(Snapshot->RoutesByPrefix.size(),
                 Snapshot->State.Declared.Routes.size());
  }
  for (auto &Writer : Writers) {
    Writer.join();
  }
}

// Guards against a route index that puts shorter prefixes first.
Test(config_store, longer_prefixes_come_first) {
  auto State = config_state();
  State.Declared = sampleDeclaration(1);
  auto Snapshot = makeSnapshot(State);
  cr_assert_eq(Snapshot->RoutesByPrefix.at(0), 1U);
  cr_assert_eq(Snapshot->RoutesByPrefix.at(1), 0U);
}

static auto randomPeers() -> std::vector<peer> {
  auto Peers = std::vector<peer>();
  for (auto Count = *rc::gen::inRange(1, 30); Count > 0; --Count) {
    auto Zone = "z" + std::to_string(*rc::gen::inRange(0, 3));
    Peers.push_back({{"n" + std::to_string(Count)}, {Zone}, {"r"}});
  }
  return Peers;
}

// Guards against zones with no log readers or with too many.
Test(config_distribution, each_zone_has_two_readers) {
  cr_assert(rc::check("readers", [] {
    auto Live = randomPeers();
    auto Nodes = std::map<zone_id, std::size_t>();
    auto Readers = std::map<zone_id, std::size_t>();
    auto First = std::set<zone_id>();
    for (const auto &Peer : Live) {
      ++Nodes[Peer.Zone];
      Readers[Peer.Zone] += isReader(Live, Peer) ? 1 : 0;
      if (isFirstZone(Live, Peer)) {
        First.insert(Peer.Zone);
      }
    }
    for (const auto &[Zone, Count] : Nodes) {
      RC_ASSERT(Readers[Zone] == std::min(Count, ReadersPerZone));
    }
    RC_ASSERT(First.size() == 1U);
  }));
}

// Guards against notifying the node itself, one peer twice, or one zone only.
Test(config_distribution, notifications_reach_another_zone) {
  cr_assert(rc::check("notices", [] {
    auto Live = randomPeers();
    auto Self = Live.front();
    auto Random = random_source(*rc::gen::arbitrary<std::uint64_t>());
    auto Chosen = choosePeersToNotify(Live, Self, Random);
    auto Unique = std::set<node_id>(Chosen.begin(), Chosen.end());
    RC_ASSERT(Unique.size() == Chosen.size());
    RC_ASSERT(!Unique.contains(Self.Id));
    RC_ASSERT(Chosen.size() == std::min(NotifyFanout, Live.size() - 1));
    auto InOtherZones =
        std::count_if(Live.begin(), Live.end(),
                      [&](const peer &Peer) { return Peer.Zone != Self.Zone; });
    auto ChosenInOtherZones =
        std::count_if(Live.begin(), Live.end(), [&](const peer &Peer) {
          return Peer.Zone != Self.Zone && Unique.contains(Peer.Id);
        });
    RC_ASSERT(ChosenInOtherZones >= std::min<std::ptrdiff_t>(1, InOtherZones));
  }));
}

// Guards against pulling from peers that are not ahead or are in backoff.
Test(config_distribution, pulls_go_to_peers_ahead) {
  auto Random = random_source(42);
  auto Self = peer{{"self"}, {"a"}, {"r"}};
  auto Now = steady_time(micros(1000));
  auto Later = Now + micros(1);
  auto Offers =
      std::vector<peer_offer>{{{{"same"}, {"a"}, {"r"}}, {{5}, 5}, {}},
                              {{{"busy"}, {"a"}, {"r"}}, {{9}, 9}, Later},
                              {{{"far"}, {"b"}, {"s"}}, {{9}, 9}, {}},
                              {{{"region"}, {"b"}, {"r"}}, {{7}, 7}, {}}};
  auto Pull = choosePullPeer({{5}, 5}, Self, Offers, Now, Random);
  cr_assert(Pull && Pull->From.Value == "region" && !Pull->Forked);
  cr_assert(!choosePullPeer({{9}, 9}, Self, Offers, Now, Random));
  Pull = choosePullPeer({{9}, 1}, Self, Offers, Now, Random);
  cr_assert(Pull && Pull->Forked);
}

// Guards against too many nodes reading the log at once, and against a node
// that stays behind.
Test(config_distribution, log_reads_and_backoff_are_bounded) {
  auto At = [](std::int64_t Ms) { return steady_time(millis(Ms)); };
  auto Input = direct_read_input{false, 3, At(1000), std::nullopt, At(0)};
  cr_expect_not(shouldReadLog(Input, At(2900)));
  cr_expect(shouldReadLog(Input, At(3100)));
  Input.LastServedAt = At(2500);
  cr_expect_not(shouldReadLog(Input, At(3100)));
  Input.NextAllowed = At(9000);
  cr_expect_not(shouldReadLog(Input, At(8000)));
  cr_expect(shouldReadLog(Input, At(9000)));
  cr_assert(rc::check("backoff", [] {
    auto Random = random_source(*rc::gen::arbitrary<std::uint64_t>());
    auto Attempt = *rc::gen::inRange(0U, 100U);
    auto Delay = backoffDelay(Attempt, millis(100), millis(5000), Random);
    auto Limit = Attempt < 6 ? 100 << Attempt : 5000;
    RC_ASSERT(Delay.count() >= 0);
    RC_ASSERT(Delay.count() <= std::min(Limit, 5000));
  }));
}

// Guards against checkpoints that no node or every node writes.
Test(config_distribution, checkpoints_are_due_by_records_and_age) {
  auto Input = checkpoint_input{0, true, {512}, {0}, millis(0), millis(1000)};
  cr_expect(shouldWriteCheckpoint(Input));
  Input.FirstZone = false;
  cr_expect_not(shouldWriteCheckpoint(Input));
  Input.Position = {768};
  cr_expect(shouldWriteCheckpoint(Input));
  Input = {0, true, {3}, {1}, millis(500), millis(1000)};
  cr_expect(shouldWriteCheckpoint(Input));
  Input.SinceLast = millis(499);
  cr_expect_not(shouldWriteCheckpoint(Input));
  Input.ReaderRank = 2;
  Input.SinceLast = millis(5000);
  cr_expect_not(shouldWriteCheckpoint(Input));
}
