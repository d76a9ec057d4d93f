/** @file mesh_tables_test.cpp Tests of the tables that nodes merge with each
 * other. */
#include "sycamorelb/mesh/compress.h"
#include "sycamorelb/mesh/host_table.h"
#include "sycamorelb/mesh/operator_table.h"
#include "sycamorelb/mesh/reader_func.h"
#include "sycamorelb/mesh/record_delta.h"
#include "sycamorelb/mesh/relay_func.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <numeric>
#include <rapidcheck.h>
#include <set>

using namespace sycamorelb;
using namespace sycamorelb::mesh;

static auto host(const std::string &Name, std::uint64_t Incarnation,
                 std::uint64_t Revision) -> host_record {
  auto Host = host_record();
  Host.Node = {Name};
  Host.Incarnation = Incarnation;
  Host.Revision = Revision;
  return Host;
}

// Guards against tables that depend on the order in which records arrive, and
// against different digests of equal tables.
Test(mesh_tables, hosts_converge_in_any_order) {
  cr_assert(rc::check("hosts", [] {
    auto Records = std::vector<host_record>();
    auto Count = *rc::gen::inRange(0, 30);
    for (auto Index = 0; Index < Count; ++Index) {
      Records.push_back(host(*rc::gen::element<std::string>("a", "b", "c"),
                             *rc::gen::inRange(1U, 4U),
                             *rc::gen::inRange(1U, 4U)));
    }
    auto Left = host_table();
    auto Right = host_table();
    for (const auto &Record : Records) {
      Left.merge(Record);
    }
    std::reverse(Records.begin(), Records.end());
    for (const auto &Record : Records) {
      Right.merge(Record);
      Right.merge(Record);
    }
    RC_ASSERT(Left.digest() == Right.digest());
    RC_ASSERT(Left.records() == Right.records());
  }));
}

// Guards against losing the acknowledged leave of a target when its node is
// killed right afterwards: peers dropped the previous record as soon as the new
// process of the node sent its first message, so they couldn't return it.
Test(mesh_tables, record_of_the_previous_process_is_kept) {
  auto Hosts = host_table();
  cr_assert_null(Hosts.findPrevious({"a"}));
  auto Previous = host("a", 1, 4);
  Previous.Target.Id = {"i-1"};
  Previous.Target.State = target_state::Draining;
  Hosts.merge(Previous);
  Hosts.merge(host("a", 2, 1));
  cr_assert_not_null(Hosts.findPrevious({"a"}));
  cr_assert(*Hosts.findPrevious({"a"}) == Previous);
  // A process that ended before it knew its target doesn't replace the record.
  Hosts.merge(host("a", 3, 1));
  cr_assert(*Hosts.findPrevious({"a"}) == Previous);
}

static auto record(const std::string &Key, std::uint64_t Offset,
                   std::string Value) -> operator_record {
  return {Key, {Offset}, Value.empty(), std::move(Value), std::nullopt};
}

// Guards against an older record that replaces a newer one.
Test(mesh_tables, older_operator_record_is_ignored) {
  auto Table = operator_table();
  cr_assert(Table.merge(record("config", 5, "new")));
  cr_assert_not(Table.merge(record("config", 3, "old")));
  cr_assert_str_eq(Table.find("config")->Value.c_str(), "new");
}

// Guards against an evacuation that stays in force on a node that missed its
// removal, and against losing a record written during the listing.
Test(mesh_tables, keys_missing_from_a_listing_are_deleted) {
  auto Table = operator_table();
  Table.merge(record("evacuate/a", 2, "{}"));
  Table.merge(record("evacuate/b", 9, "{}"));
  auto Changed = Table.mergeListing({record("config", 4, "c")}, {8}, {10});
  cr_assert_null(Table.find("evacuate/a"));
  cr_assert_not_null(Table.find("evacuate/b"));
  cr_assert_eq(Changed.size(), 2U);
  cr_assert(Table.merge(record("evacuate/a", 11, "{}")));
  cr_assert_not_null(Table.find("evacuate/a"));
}

/** @return a document similar to a configuration, with one resource for each
 * number. */
static auto document(const std::vector<int> &Numbers) -> std::string {
  auto Text = std::string("{\"version\":\"r1\",\"resources\":[");
  for (auto Number : Numbers) {
    Text += "{\"name\":\"route-" + std::to_string(Number) +
            "\",\"prefix\":\"/a-long-enough-prefix/\"},";
  }
  return Text + "]}";
}

// Guards against deltas that don't reproduce the content.
Test(mesh_tables, deltas_reproduce_the_text) {
  cr_assert(rc::check("delta", [] {
    auto Numbers =
        rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50));
    auto Base = document(*Numbers);
    auto Text = document(*Numbers);
    auto Delta = encodeDelta(Base, Text);
    RC_ASSERT(applyDelta(Base, Delta) == Text);
    Delta[*rc::gen::inRange<std::size_t>(0, Delta.size())] ^= 1;
    auto Damaged = applyDelta(Base, Delta);
    RC_ASSERT((!Damaged || *Damaged == Text));
  }));
}

// Guards against crashes on malformed bytes from a faulty node.
Test(mesh_tables, malformed_deltas_and_compressed_texts_are_rejected) {
  cr_assert(rc::check("malformed", [] {
    auto Bytes = *rc::gen::string<std::string>();
    applyDelta("base", Bytes);
    decompressText(Bytes);
  }));
  cr_assert_not(decompressText(compressText("text").substr(0, 9)).has_value());
  cr_assert(decompressText(compressText("text")) == "text");
}

// Guards against mistaking a delta against the record at offset 0 for content:
// the configuration was rejected as a whole.
Test(mesh_tables, delta_against_the_first_record_is_expanded) {
  auto Numbers = std::vector<int>(100);
  for (auto Index = 0; Index < 100; ++Index) {
    Numbers[static_cast<std::size_t>(Index)] = Index;
  }
  auto Reader = operator_table();
  auto Other = operator_table();
  auto First = record("config", 0, document(Numbers));
  Reader.merge(First);
  Other.merge(First);
  Other.advanceEnd({1});
  Numbers[50] = 1000;
  Reader.merge(record("config", 1, document(Numbers)));
  auto Changes = Reader.changesFrom({1});
  cr_assert_eq(Changes.size(), 1U);
  cr_assert(Changes[0].Base == log_offset{0});
  cr_assert_lt(Changes[0].Value.size(), 500U);
  auto Expanded = Other.expand(Changes[0]);
  cr_assert(Expanded.has_value());
  cr_assert(Expanded->Value == document(Numbers));
  // A node without the base can't expand the delta and requests all records.
  cr_assert_not(operator_table().expand(Changes[0]).has_value());
  auto All = Reader.changesFrom({0});
  cr_assert(All[0].Compressed);
  cr_assert(operator_table().expand(All[0])->Value == document(Numbers));
}

// Guards against a change with many added routes that saturates the links of a
// zone, because the added routes were sent uncompressed to every host.
Test(mesh_tables, large_deltas_are_compressed) {
  auto Numbers = std::vector<int>(300);
  std::iota(Numbers.begin(), Numbers.end(), 0);
  auto Reader = operator_table();
  auto Other = operator_table();
  Reader.merge(record("config", 0, document(Numbers)));
  Other.merge(record("config", 0, document(Numbers)));
  Numbers.resize(2000);
  std::iota(Numbers.begin(), Numbers.end(), 0);
  auto Grown = document(Numbers);
  Reader.merge(record("config", 1, Grown));
  auto Changes = Reader.changesFrom({1});
  cr_assert_eq(Changes.size(), 1U);
  cr_assert(Changes[0].Base == log_offset{0});
  // A tenth of the document; a link of 10 Mbit/s can carry that.
  cr_assert_lt(Changes[0].Value.size(), Grown.size() / 10);
  cr_assert(Other.expand(Changes[0])->Value == Grown);
  cr_assert_not(operator_table().expand(Changes[0]).has_value());
}

// Guards against sending an update between zones once for each host: a change
// of one host took 38 cross-zone messages in a mesh of 58 hosts.
Test(mesh_tables, relays_are_a_few_hosts_of_each_other_zone) {
  auto Hosts = host_table();
  for (auto Index = 0; Index < 60; ++Index) {
    auto Host = host("h" + std::to_string(Index), 1, 1);
    Host.Zone = {std::string(1, static_cast<char>('a' + Index % 3))};
    Host.Leaving = Index == 4;
    Hosts.merge(Host);
  }
  auto Random = random_source(7);
  for (auto Round = 0; Round < 50; ++Round) {
    auto Relays = chooseRelays(Hosts, *Hosts.find({"h0"}), 3, Random);
    auto Zones = std::map<std::string, int>();
    for (const auto &Node : Relays) {
      cr_assert_neq(Node.Value, "h4");
      ++Zones[Hosts.find(Node)->Zone.Value];
    }
    cr_assert(Zones == (std::map<std::string, int>{{"b", 3}, {"c", 3}}));
    cr_assert_eq(std::set(Relays.begin(), Relays.end()).size(), 6U);
  }
}

// Guards against zones without a reader, and against readers that can't reach
// the store.
Test(mesh_tables, each_zone_has_readers) {
  auto Hosts = host_table();
  for (auto Index = 0; Index < 20; ++Index) {
    auto Host = host("h" + std::to_string(Index), 1, 1);
    Host.Zone = {Index % 2 == 0 ? "a" : "b"};
    Host.ReaderCapable = Index >= 16;
    Host.StoreLost = Index == 16;
    Hosts.merge(Host);
  }
  auto Readers = std::vector<std::string>();
  for (const auto &[Node, Host] : Hosts.records()) {
    if (!Host.StoreLost && isReader(Hosts, Host)) {
      Readers.push_back(Node.Value);
    }
  }
  cr_assert_eq(Readers.size(), 4U);
  cr_assert(std::count(Readers.begin(), Readers.end(), "h18") == 1);
  cr_assert(std::count(Readers.begin(), Readers.end(), "h16") == 0);
}

// Guards against frequent polling by all nodes while the store is down (390
// calls in 8 s), and against a zone in which no node polls frequently.
Test(mesh_tables, few_hosts_of_a_zone_poll_an_unreachable_store_often) {
  auto Hosts = host_table();
  for (auto Index = 0; Index < 20; ++Index) {
    auto Host = host("h" + std::to_string(Index), 1, 1);
    Host.Zone = {Index % 2 == 0 ? "a" : "b"};
    Host.StoreLost = true;
    Hosts.merge(Host);
  }
  auto FrequentPollers = std::map<std::string, int>();
  for (const auto &[Node, Host] : Hosts.records()) {
    FrequentPollers[Host.Zone.Value] += isSpareReader(Hosts, Host) ? 0 : 1;
  }
  cr_assert(FrequentPollers ==
            (std::map<std::string, int>{{"a", 4}, {"b", 4}}));
}
