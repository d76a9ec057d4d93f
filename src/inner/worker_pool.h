/** @file worker_pool.h Small pool of threads with a bounded queue. */
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace sycamorelb::inner {

/** Runs jobs on threads; stop() or the destructor joins them. */
class worker_pool {
public:
  worker_pool(std::size_t Threads, std::size_t MaxQueued);
  ~worker_pool();
  worker_pool(const worker_pool &) = delete;
  auto operator=(const worker_pool &) -> worker_pool & = delete;

  /** @return false when the queue is full or the pool has stopped; Job is then
   * destroyed without being run. */
  auto submit(std::function<void()> Job) -> bool;
  /** Waits for running jobs; drops those that have not started. */
  void stop();

private:
  void work();

  std::mutex Mutex; // Leaf lock; no other lock is taken while it is held.
  std::condition_variable Changed;
  std::deque<std::function<void()>> Jobs;
  std::size_t MaxQueued;
  bool Stopped = false;
  std::vector<std::thread> Threads;
};

} // namespace sycamorelb::inner
