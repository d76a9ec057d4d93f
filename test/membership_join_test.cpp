/** @file membership_join_test.cpp Tests of merging member records. */
#include "sycamorelb/membership/membership_func.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace sycamorelb;
using namespace sycamorelb::membership;

namespace {

/** @return a generator of records from a small domain, so that ties are
 * frequent. */
auto arbitraryMember() -> rc::Gen<member> {
  return rc::gen::exec([]() {
    auto Member = member{};
    Member.Id.Value = "m";
    Member.Incarnation.Value = *rc::gen::inRange(1, 4);
    Member.State = static_cast<member_state>(*rc::gen::inRange(0, 4));
    Member.Revision = *rc::gen::inRange(0, 3);
    Member.ConfigPosition.Value = *rc::gen::inRange(0, 3);
    Member.Zone.Value = *rc::gen::element<std::string>("a", "b");
    Member.Upstreams.resize(*rc::gen::inRange(0, 3));
    for (auto &Upstream : Member.Upstreams) {
      Upstream.Limit = *rc::gen::inRange(0, 2);
    }
    return Member;
  });
}

/** Reference implementation of the merge: from all updates of the greatest
 * incarnation, takes the latest state, the greatest position and the data of
 * the greatest revision. */
auto naiveMerge(const std::vector<member> &Seen) -> member {
  auto Greatest = incarnation{0};
  for (const auto &Member : Seen) {
    Greatest = std::max(Greatest, Member.Incarnation);
  }
  auto Result = member{};
  auto First = true;
  for (const auto &Member : Seen) {
    if (Member.Incarnation != Greatest) {
      continue;
    }
    auto State = First ? Member.State : std::max(Result.State, Member.State);
    auto Position =
        First ? Member.ConfigPosition
              : std::max(Result.ConfigPosition, Member.ConfigPosition);
    if (First || Member.Revision > Result.Revision) {
      Result = Member;
    }
    Result.State = State;
    Result.ConfigPosition = Position;
    First = false;
  }
  return Result;
}

} // namespace

// Guards against tables that never converge because updates arrived in a
// different order or grouping, or more than once.
Test(membership_join, is_commutative_associative_idempotent) {
  cr_assert(rc::check("join laws", []() {
    auto A = *arbitraryMember();
    auto B = *arbitraryMember();
    auto C = *arbitraryMember();
    RC_ASSERT(mergeRecords(A, B) == mergeRecords(B, A));
    RC_ASSERT(mergeRecords(mergeRecords(A, B), C) ==
              mergeRecords(A, mergeRecords(B, C)));
    RC_ASSERT(mergeRecords(A, A) == A);
  }));
}

// Guards against a merge that is consistent but wrong: it must equal the
// reference implementation over the whole history.
Test(membership_join, equals_the_naive_merge_of_all_updates) {
  cr_assert(rc::check("differential", []() {
    auto Seen = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<member>>(arbitraryMember()));
    for (auto &Member : Seen) {
      // As in production, all records of one revision carry the same data.
      Member.Zone.Value = "zone-" + std::to_string(Member.Incarnation.Value) +
                          "-" + std::to_string(Member.Revision);
      Member.Upstreams.clear();
    }
    auto Merged = Seen.front();
    for (const auto &Member : Seen) {
      Merged = mergeRecords(Merged, Member);
    }
    RC_ASSERT(Merged == naiveMerge(Seen));
  }));
}

// Guards against a table that returns to an older record: the record of a
// member never decreases, whichever updates are merged, in any order.
Test(membership_join, merged_records_never_regress) {
  cr_assert(rc::check("monotonic table", []() {
    auto Self = member{};
    Self.Id.Value = "self";
    auto Now = instant{};
    auto Table = makeTable(Self, {}, {}, 1, Now.Steady);
    auto Updates = *rc::gen::container<std::vector<member>>(arbitraryMember());
    auto Effects = effects{};
    for (const auto &Member : Updates) {
      const auto *Known = findMember(Table, {"m"});
      auto Before = Known == nullptr ? Member : *Known;
      mergeMember(Table, {.Member = Member}, Now, Effects);
      const auto &After = *findMember(Table, {"m"});
      RC_ASSERT(mergeRecords(Before, After) == After);
      RC_ASSERT(After.Incarnation >= Member.Incarnation);
    }
  }));
}

// Guards against distributing each small change of load: small changes must not
// increment the revision, material ones must.
Test(membership_join, only_material_changes_raise_the_revision) {
  auto Self = member{};
  Self.Id.Value = "self";
  auto Table = makeTable(Self, {}, {}, 1, steady_time{});
  auto Upstream = upstream_info{.Service = {"roster"},
                                .Version = {"v1"},
                                .Address = "10.0.0.1:80",
                                .Slots = 10,
                                .Connections = 120,
                                .State = upstream_state::Cold,
                                .Limit = 4,
                                .InFlight = 0};
  auto Raises = [&]() {
    auto Result = setOwnUpstreams(Table, {Upstream});
    return isOk(Result) && valueOf(Result);
  };
  cr_assert(Raises());
  Upstream.InFlight = 3;
  Upstream.Limit = 7;
  cr_assert(!Raises());
  Upstream.Limit = 8;
  cr_assert(Raises());
  Upstream.State = upstream_state::Warm;
  cr_assert(Raises());
  cr_assert_eq(findMember(Table, {"self"})->Revision, 3);
  Upstream.Address = std::string(65, 'x');
  cr_assert(!isOk(setOwnUpstreams(Table, {Upstream})));
}
