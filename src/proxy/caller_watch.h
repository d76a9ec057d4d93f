/** @file caller_watch.h Notices callers that leave while their call waits for a
 * decision. */
#pragma once

#include "sycamorelb/proxy/cancellation.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace sycamorelb::proxy {

/**
 * One epoll thread that raises the cancellation of a call when its caller
 * closes the connection. It serves calls that wait in a hook; a call that waits
 * for a socket polls its caller's socket itself.
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

  int Epoll;
  int Wake;                 // Event descriptor that ends the thread.
  std::mutex Mutex;         // A leaf lock: nothing is called while it is held.
  std::uint64_t NextId = 1; // 0 stands for Wake.
  std::map<std::uint64_t, std::shared_ptr<cancellation>> Watched;
  std::thread Thread;
};

} // namespace sycamorelb::proxy
