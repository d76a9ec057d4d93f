/** @file caller_watch.h Detects callers that disconnect while their call waits
 * in a hook. */
#pragma once

#include "sycamorelb/proxy/cancellation.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace sycamorelb::proxy {

/**
 * Epoll thread that cancels a call when its caller closes the connection. Only
 * calls that wait in a hook need it; a call that waits for a socket polls its
 * caller's socket as well.
 */
class caller_watch {
public:
  caller_watch();
  ~caller_watch();
  caller_watch(const caller_watch &) = delete;
  auto operator=(const caller_watch &) -> caller_watch & = delete;

  /** Watches Fd until unwatch. @return the id for unwatch. */
  auto watch(int Fd, std::shared_ptr<cancellation> Cancel) -> std::uint64_t;

  /** Ends a watch; call before Fd is closed. */
  void unwatch(int Fd, std::uint64_t Id);

private:
  void run();

  int EpollFd;
  int StopEventFd;  // Eventfd that stops the thread.
  std::mutex Mutex; // Leaf lock: no other lock is taken while it is held.
  std::uint64_t NextId = 1; // 0 identifies StopEventFd.
  std::map<std::uint64_t, std::shared_ptr<cancellation>> Cancellations;
  std::thread Thread;
};

} // namespace sycamorelb::proxy
