/** @file mesh_era_test.cpp Tests of operator records across eras of the store,
 * and of the era in its answers. */
#include "platform/log_store.h"
#include "sycamorelb/mesh/operator_table.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace sycamorelb;
using namespace sycamorelb::mesh;

static auto record(const std::string &Key, std::uint64_t Era,
                   std::uint64_t Offset, std::string Value) -> operator_record {
  auto Dropped = Value.empty();
  return {Key, {Offset}, Dropped, std::move(Value), std::nullopt, false, {Era}};
}

static auto config(std::uint64_t Era, std::uint64_t Offset, int Version)
    -> operator_record {
  return record("config", Era, Offset,
                "{\"version\":\"r" + std::to_string(Version) +
                    "\",\"resources\":[]}");
}

static auto answer(proxy::header_list Headers) -> http::response {
  return {200, "", std::move(Headers), R"({"items":[],"end":7})"};
}

// Guards against a node that takes a malformed header for an era: it could
// never return to the true one.
Test(mesh_era, malformed_headers_are_no_era) {
  cr_assert_eq(platform::decodeStoreEra(answer({{"store-era", "12"}})).Value,
               12U);
  for (const auto *Text :
       {"", "-1", "1.5", "0x3", "1e3", " 4", "4,5", "9999999999999999999999"}) {
    cr_assert_eq(platform::decodeStoreEra(answer({{"Store-Era", Text}})).Value,
                 0U, "%s", Text);
  }
  auto Twice = answer({{"Store-Era", "3"}, {"Store-Era", "4"}});
  cr_assert_eq(platform::decodeStoreEra(Twice).Value, 0U);
  cr_assert_eq(platform::decodeStoreEra(answer({})).Value, 0U);
  auto Page = platform::decodeList(answer({{"Store-Era", "5"}}));
  cr_assert_eq(valueOf(Page).Era.Value, 5U);
}

// Guards against comparing offsets of different eras: after a rewind, new
// records have lower offsets than those they replace.
Test(mesh_era, later_era_replaces_higher_offset) {
  auto Table = operator_table();
  Table.merge(record("rollout/a", 1, 90, "old"));
  cr_assert(Table.beginEra({2}));
  cr_assert_not(Table.beginEra({1}));
  cr_assert(Table.merge(record("rollout/a", 2, 4, "new")));
  cr_assert_not(Table.merge(record("rollout/a", 1, 95, "late")));
  cr_assert_str_eq(Table.find("rollout/a")->Value.c_str(), "new");
}

// Guards against an evacuation that ends because the older copy lacks it, and
// against one that never ends although the operators don't write it again.
Test(mesh_era, absent_records_stay_until_they_could_be_written_again) {
  auto Table = operator_table();
  Table.mergeListing({record("evacuate/a", 1, 8, "{}")}, {9}, {9});
  Table.beginEra({2});
  for (auto Begin : {5U, 0U}) {
    Table.mergeListing({}, {Begin}, {Begin});
    cr_assert_not_null(Table.find("evacuate/a"));
  }
  cr_assert(Table.hasUnconfirmedRecords());
  Table.endRewriteTime();
  auto Changed = Table.mergeListing({}, {0}, {0});
  cr_assert_eq(Changed.size(), 1U);
  cr_assert_null(Table.find("evacuate/a"));
  // A node that is still behind doesn't bring it back; a new order does.
  cr_assert_not(Table.merge(record("evacuate/a", 1, 8, "{}")));
  cr_assert_not(Table.merge(record("evacuate/a", 1, 9, "{}")));
  cr_assert(Table.merge(record("evacuate/a", 2, 0, "{}")));
}

// Guards against a tombstone that is not followed because its era is new.
Test(mesh_era, tombstone_of_the_new_era_deletes_at_once) {
  auto Table = operator_table();
  Table.merge(record("evacuate/a", 1, 8, "{}"));
  Table.beginEra({2});
  cr_assert(Table.merge(record("evacuate/a", 2, 3, "")));
  cr_assert_null(Table.find("evacuate/a"));
}

// Guards against a configuration that goes back to the version of the copy, or
// is forgotten, on a node or on those that start later and ask it.
Test(mesh_era, configuration_does_not_go_back) {
  auto Table = operator_table(platform::recordRank);
  Table.mergeListing({config(1, 8, 5)}, {9}, {9});
  Table.beginEra({2});
  Table.mergeListing({config(2, 3, 4)}, {4}, {4});
  Table.endRewriteTime();
  Table.mergeListing({}, {5}, {5});
  cr_assert(*Table.find("config") == config(1, 8, 5));
  auto Started = operator_table(platform::recordRank);
  Started.beginEra({2});
  Started.endRewriteTime();
  Started.mergeListing({config(2, 3, 4)}, {4}, {4});
  for (const auto &Record : Table.changesFrom({{2}, {4}}, true)) {
    Started.merge(*Started.expand(Record));
  }
  cr_assert(*Started.find("config") == config(1, 8, 5));
  cr_assert(Started.merge(config(2, 6, 5)));
  cr_assert(Table.merge(config(2, 7, 6)));
}

// Guards against a delta that is applied to the record that has the offset of
// its base in another era, and against bases that the other node lacks.
Test(mesh_era, base_of_a_delta_is_of_the_same_era) {
  auto Padding = std::string(4000, 'x');
  auto Reader = operator_table();
  auto Behind = operator_table();
  for (auto *Table : {&Reader, &Behind}) {
    Table->merge(record("config", 1, 3, "{" + Padding));
  }
  Reader.beginEra({2});
  Reader.merge(record("config", 2, 3, "{other" + Padding));
  Reader.merge(record("config", 2, 4, "{new" + Padding));
  Reader.advanceEnd({5});
  auto Delta = Reader.changesFrom({{2}, {4}}, true);
  cr_assert(Delta.at(0).Base == log_offset{3});
  cr_assert_not(Behind.expand(Delta[0]).has_value());
  auto Full = Reader.changesFrom({{1}, {4}}, true);
  cr_assert_not(Full.at(0).Base.has_value());
  cr_assert(Behind.merge(*Behind.expand(Full[0])));
  cr_assert(*Behind.find("config") == *Reader.find("config"));
}

// Guards against tables that depend on the order in which records of several
// eras arrive from the store and from nodes that are ahead or behind.
Test(mesh_era, tables_converge_in_any_order) {
  cr_assert(rc::check("eras", [] {
    auto Records = std::vector<operator_record>();
    auto Count = *rc::gen::inRange(0, 20);
    for (auto Index = 0; Index < Count; ++Index) {
      auto Era = *rc::gen::inRange(1U, 4U);
      auto Offset = *rc::gen::inRange(0U, 6U);
      // Within an era, the version of a configuration rises with its offset.
      Records.push_back(
          *rc::gen::arbitrary<bool>()
              ? config(Era, Offset, static_cast<int>(Offset + 3 - Era))
              : record("evacuate/a", Era, Offset, Offset % 2 == 0 ? "" : "{}"));
    }
    auto Left = operator_table(platform::recordRank);
    auto Right = operator_table(platform::recordRank);
    for (auto *Table : {&Left, &Right}) {
      Table->beginEra({3});
      for (const auto &Record : Records) {
        Table->merge(Record);
      }
      std::reverse(Records.begin(), Records.end());
    }
    RC_ASSERT(Left.records() == Right.records());
  }));
}
