/** @file mutex.cpp Per-thread tracking of the ranks of held locks. */
#include "sycamorelb/core/mutex.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

namespace sycamorelb {

static auto heldRanks() -> std::vector<lock_rank> & {
  thread_local auto Held = std::vector<lock_rank>();
  return Held;
}

void recordLock(lock_rank Rank) {
  auto &Held = heldRanks();
  if (!Held.empty() && Held.back() >= Rank) {
    std::fprintf(stderr, "lock order violated: rank %d while holding %d\n",
                 static_cast<int>(Rank), static_cast<int>(Held.back()));
    std::abort();
  }
  Held.push_back(Rank);
}

void recordUnlock(lock_rank Rank) {
  auto &Held = heldRanks();
  auto Found = std::find(Held.begin(), Held.end(), Rank);
  if (Found != Held.end()) {
    Held.erase(Found);
  }
}

} // namespace sycamorelb
