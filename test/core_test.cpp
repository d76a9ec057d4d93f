/** @file core_test.cpp Tests of rendezvous hashing and lock ranks. */
#include "sycamorelb/core/hash_func.h"
#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/mutex.h"

#include <criterion/criterion.h>
#include <csignal>
#include <rapidcheck.h>
#include <set>

using namespace sycamorelb;

// Guards against scores that reassign keys between remaining candidates:
// removing a candidate may only reassign the keys it owned.
Test(core, removal_reassigns_only_keys_of_the_removed_candidate) {
  cr_assert(rc::check("rendezvous stability", [](const std::string &Key) {
    auto Owner = [&Key](int ExcludedIndex) {
      auto Best = -1;
      auto BestScore = std::uint64_t{0};
      for (auto Index = 0; Index < 12; ++Index) {
        auto Score = rendezvousScore(Key, "node-" + std::to_string(Index));
        if (Index != ExcludedIndex && (Best < 0 || Score > BestScore)) {
          Best = Index;
          BestScore = Score;
        }
      }
      return Best;
    };
    auto Before = Owner(-1);
    auto Removed = *rc::gen::inRange(0, 12);
    RC_ASSERT(Removed == Before || Owner(Removed) == Before);
  }));
}

// Guards against a lock order check that detects no violation.
Test(core, lock_order_violation_aborts, .signal = SIGABRT) {
  recordLock(lock_rank::Claims);
  recordLock(lock_rank::MemberTable);
}
