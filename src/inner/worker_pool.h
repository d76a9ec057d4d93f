/** @file worker_pool.h Thread pool with a bounded queue. */
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace sycamorelb::inner {

/** Runs jobs on a fixed number of threads; stop() and the destructor join
 * them. */
class worker_pool {
public:
  worker_pool(std::size_t Threads, std::size_t MaxQueued);
  ~worker_pool();
  worker_pool(const worker_pool &) = delete;
  auto operator=(const worker_pool &) -> worker_pool & = delete;

  /** Queues a job.
   * @return false when the queue is full or the pool has stopped; Job is then
   * destroyed without being run. */
  auto submit(std::function<void()> Job) -> bool;
  /** Discards queued jobs and waits for the running ones. */
  void stop();

private:
  void runJobs();

  std::mutex Mutex; // No other lock is taken while it is held.
  std::condition_variable JobsChanged;
  std::deque<std::function<void()>> Jobs;
  std::size_t MaxQueued;
  bool Stopped = false;
  std::vector<std::thread> Threads;
};

} // namespace sycamorelb::inner
