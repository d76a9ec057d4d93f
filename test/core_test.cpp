/** @file core_test.cpp Tests of the core helpers. */
#include "sycamorelb/core/hash_func.h"
#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/mutex.h"

#include <criterion/criterion.h>
#include <csignal>
#include <rapidcheck.h>
#include <set>

using namespace sycamorelb;

// Guards against a rank that moves keys between candidates that both remain:
// removing one candidate may only move the keys it owned.
Test(core, rendezvous_moves_only_keys_of_the_removed_candidate) {
  cr_assert(rc::check("rendezvous stability", [](const std::string &Key) {
    auto Owner = [&Key](int Skipped) {
      auto Best = -1;
      auto BestScore = std::uint64_t{0};
      for (auto Index = 0; Index < 12; ++Index) {
        auto Score = rendezvousScore(Key, "node-" + std::to_string(Index));
        if (Index != Skipped && (Best < 0 || Score > BestScore)) {
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

// Guards against a lock-order check that never fires.
Test(core, descending_lock_ranks_abort, .signal = SIGABRT) {
  noteLock(lock_rank::Claims);
  noteLock(lock_rank::MemberTable);
}
