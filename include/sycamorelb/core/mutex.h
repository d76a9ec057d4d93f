/** @file mutex.h Mutex with a rank; locks must be acquired in ascending rank
 * order. */
#pragma once

#include <mutex>

namespace sycamorelb {

/** Ranks of all locks; see docs/design.md section 8. */
enum class lock_rank : int {
  ConfigWrite = 10,
  MemberTable = 20,
  RoutingStats = 30,
  AdmissionTable = 40,
  MoveEvidence = 50,
  Claims = 60,
  ConnectionPools = 70,
  Telemetry = 80,
};

/** Records that the calling thread acquires a lock; aborts if the rank order is
 * violated. */
void recordLock(lock_rank Rank);
/** Records that the calling thread released a lock. */
void recordUnlock(lock_rank Rank);

/** Mutex that checks the lock order if SYCAMORELB_LOCK_CHECKS is defined. */
template <lock_rank Rank> class ranked_mutex {
public:
  void lock() {
#ifdef SYCAMORELB_LOCK_CHECKS
    recordLock(Rank);
#endif
    Mutex.lock();
  }
  void unlock() {
    Mutex.unlock();
#ifdef SYCAMORELB_LOCK_CHECKS
    recordUnlock(Rank);
#endif
  }

private:
  std::mutex Mutex;
};

} // namespace sycamorelb
