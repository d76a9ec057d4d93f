/** @file membership_join_test.cpp Tests of the join of member records. */
#include "sycamorelb/membership/membership_func.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace sycamorelb;
using namespace sycamorelb::membership;

namespace {

/** @return a record from a small space, so that ties are frequent. */
auto anyMember() -> rc::Gen<member> {
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

/** Naive join: looks at all updates ever seen, and takes from those of the
 * greatest incarnation the latest state, the greatest position and the data of
 * the greatest revision. */
auto naiveJoin(const std::vector<member> &Seen) -> member {
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

// Guards against tables that differ for ever because updates arrived in
// another order, in other groups or twice.
Test(membership_join, is_commutative_associative_idempotent) {
  cr_assert(rc::check("join laws", []() {
    auto A = *anyMember();
    auto B = *anyMember();
    auto C = *anyMember();
    RC_ASSERT(joinMembers(A, B) == joinMembers(B, A));
    RC_ASSERT(joinMembers(joinMembers(A, B), C) ==
              joinMembers(A, joinMembers(B, C)));
    RC_ASSERT(joinMembers(A, A) == A);
  }));
}

// Guards against a join that is consistent but wrong: differs from looking at
// the whole history at once.
Test(membership_join, equals_the_naive_join_of_all_updates) {
  cr_assert(rc::check("differential", []() {
    auto Seen = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<member>>(anyMember()));
    for (auto &Member : Seen) {
      // As in operation, the data of one revision are always the same.
      Member.Zone.Value = "zone-" + std::to_string(Member.Incarnation.Value) +
                          "-" + std::to_string(Member.Revision);
      Member.Upstreams.clear();
    }
    auto Joined = Seen.front();
    for (const auto &Member : Seen) {
      Joined = joinMembers(Joined, Member);
    }
    RC_ASSERT(Joined == naiveJoin(Seen));
  }));
}

// Guards against a table that goes back: the record of a member never
// decreases, whatever is merged, in whatever order.
Test(membership_join, table_never_goes_back) {
  cr_assert(rc::check("monotonic table", []() {
    auto Self = member{};
    Self.Id.Value = "self";
    auto Now = instant{};
    auto Table = makeTable(Self, {}, {}, 1, Now.Steady);
    auto Updates = *rc::gen::container<std::vector<member>>(anyMember());
    auto Effects = effects{};
    for (const auto &Member : Updates) {
      const auto *Known = findMember(Table, {"m"});
      auto Before = Known == nullptr ? Member : *Known;
      mergeMember(Table, {.Member = Member}, Now, Effects);
      const auto &After = *findMember(Table, {"m"});
      RC_ASSERT(joinMembers(Before, After) == After);
      RC_ASSERT(After.Incarnation >= Member.Incarnation);
    }
  }));
}

// Guards against records with the load state of each moment: small changes
// must not raise the revision, important ones must.
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
