/** @file mesh_customer_test.cpp Tests of decisions by customers' keys. */
#include "sycamorelb/mesh/customer_table.h"

#include <criterion/criterion.h>

using namespace sycamorelb;
using namespace sycamorelb::mesh;

static const auto Salt = key_salt{1, 2, 3};

// Guards against a key that is accepted for another customer, and against one
// of two customers being charged for the calls of the other.
Test(mesh_customer, keys_are_found) {
  auto Table = customer_table(
      {{{"a"}, {"k1", "shared"}, 0}, {{"b"}, {"k2", "k2", "shared"}, {}}},
      Salt);
  cr_assert_eq(Table.find("k1")->Name.Value, "a");
  cr_assert_eq(Table.find("k1")->Priority.value(), 0U);
  cr_assert_eq(Table.find("k2")->Name.Value, "b");
  cr_assert_not(Table.find("k2")->Priority.has_value());
  for (const auto *Key : {"", "k", "k1 ", "K1", "shared"}) {
    cr_assert_null(Table.find(Key), "%s", Key);
  }
  cr_assert_eq(Table.ambiguousKeys(), 1U);
}

// Guards against a wrong rule for one of the combinations of key and route.
Test(mesh_customer, calls_are_decided) {
  auto Table = customer_table({{{"a"}, {"k"}, {}}}, Salt);
  auto Verdict = [&](const presented_key &Key, bool Anonymous, bool Held) {
    return decideByKey(Table, Key, Anonymous, Held).Verdict;
  };
  auto None = presented_key();
  auto Known = presented_key{true, false, "k"};
  auto Unknown = presented_key{true, false, "x"};
  auto Malformed = presented_key{true, true, ""};
  for (auto Anonymous : {false, true}) {
    cr_assert(Verdict(Known, Anonymous, false) == key_verdict::Accepted);
    cr_assert(Verdict(Unknown, Anonymous, false) == key_verdict::Unknown);
    cr_assert(Verdict(Malformed, Anonymous, false) == key_verdict::Malformed);
    for (const auto &Key : {Known, Unknown, Malformed}) {
      cr_assert(Verdict(Key, Anonymous, true) == key_verdict::Held);
    }
  }
  cr_assert(Verdict(None, false, false) == key_verdict::Missing);
  cr_assert(Verdict(None, false, true) == key_verdict::Held);
  cr_assert(Verdict(None, true, true) == key_verdict::Accepted);
  // Without customers, nothing changes, also after a pause.
  auto Empty = customer_table();
  for (const auto &Key : {None, Known, Malformed}) {
    cr_assert(decideByKey(Empty, Key, false, true).Verdict ==
              key_verdict::Accepted);
  }
}

// Guards against a key that was removed during a pause of the process and is
// accepted because of an answer of the store from before the pause.
Test(mesh_customer, keys_are_held_until_confirmed) {
  auto At = [](std::int64_t Time) { return steady_time(micros(Time)); };
  cr_assert_not(isHeld(key_hold(), steady_time(), At(1)));
  auto Hold = key_hold{At(100), At(200), At(90)};
  cr_assert(isHeld(Hold, At(90), At(199)));
  cr_assert(isHeld(Hold, At(99), At(199)));
  cr_assert_not(isHeld(Hold, At(100), At(101)));
  cr_assert_not(isHeld(Hold, At(90), At(200)));
  // The answer of a poll from before the pause may be read at its end.
  Hold.ConfirmedBefore = At(100);
  cr_assert(isHeld(Hold, At(100), At(101)));
  cr_assert_not(isHeld(Hold, At(101), At(102)));
}
