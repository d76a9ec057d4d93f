/** @file worker_pool.cpp Thread pool with a bounded queue. */
#include "inner/worker_pool.h"

#include <utility>

namespace sycamorelb::inner {

worker_pool::worker_pool(std::size_t ThreadCount, std::size_t QueueLimit)
    : MaxQueued(QueueLimit) {
  for (auto Index = std::size_t{0}; Index < ThreadCount; ++Index) {
    Threads.emplace_back([this]() { runJobs(); });
  }
}

worker_pool::~worker_pool() { stop(); }

auto worker_pool::submit(std::function<void()> Job) -> bool {
  {
    auto Lock = std::lock_guard{Mutex};
    if (Stopped || Jobs.size() >= MaxQueued) {
      return false;
    }
    Jobs.push_back(std::move(Job));
  }
  JobsChanged.notify_one();
  return true;
}

void worker_pool::stop() {
  auto Discarded = std::deque<std::function<void()>>{};
  {
    auto Lock = std::lock_guard{Mutex};
    Stopped = true;
    Discarded.swap(Jobs);
  }
  JobsChanged.notify_all();
  for (auto &Thread : Threads) {
    Thread.join();
  }
  Threads.clear();
}

void worker_pool::runJobs() {
  for (;;) {
    auto Job = std::function<void()>{};
    {
      auto Lock = std::unique_lock{Mutex};
      JobsChanged.wait(Lock, [this]() { return Stopped || !Jobs.empty(); });
      if (Jobs.empty()) {
        return;
      }
      Job = std::move(Jobs.front());
      Jobs.pop_front();
    }
    Job();
  }
}

} // namespace sycamorelb::inner
