/** @file worker_pool.cpp Small pool of threads with a bounded queue. */
#include "inner/worker_pool.h"

#include <utility>

namespace sycamorelb::inner {

worker_pool::worker_pool(std::size_t Count, std::size_t Limit)
    : MaxQueued(Limit) {
  for (auto Index = std::size_t{0}; Index < Count; ++Index) {
    Threads.emplace_back([this]() { work(); });
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
  Changed.notify_one();
  return true;
}

void worker_pool::stop() {
  auto Dropped = std::deque<std::function<void()>>{};
  {
    auto Lock = std::lock_guard{Mutex};
    Stopped = true;
    Dropped.swap(Jobs);
  }
  Changed.notify_all();
  for (auto &Thread : Threads) {
    Thread.join();
  }
  Threads.clear();
}

void worker_pool::work() {
  for (;;) {
    auto Job = std::function<void()>{};
    {
      auto Lock = std::unique_lock{Mutex};
      Changed.wait(Lock, [this]() { return Stopped || !Jobs.empty(); });
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
