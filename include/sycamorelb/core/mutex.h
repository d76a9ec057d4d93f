/** @file mutex.h Mutex with a rank; locks are taken in ascending rank order. */
#pragma once

#include <mutex>

namespace sycamorelb {

/** Ranks of all locks, as listed in docs/design.md section 8. */
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

/** Records that the thread takes a lock; aborts when the order is violated. */
void noteLock(lock_rank Rank);
/** Records that the thread released a lock. */
void noteUnlock(lock_rank Rank);

/** Mutex that checks the lock order when SYCAMORELB_LOCK_CHECKS is defined. */
template <lock_rank Rank> class ranked_mutex {
public:
  void lock() {
#ifdef SYCAMORELB_LOCK_CHECKS
    noteLock(Rank);
#endif
    Mutex.lock();
  }
  void unlock() {
    Mutex.unlock();
#ifdef SYCAMORELB_LOCK_CHECKS
    noteUnlock(Rank);
#endif
  }

private:
  std::mutex Mutex;
};

} // namespace sycamorelb
