/** @file cancellation.h Cancellation of blocking work after the caller
 * disconnects. */
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

namespace sycamorelb::proxy {

/** One-shot cancellation signal shared by a call and the watcher of its caller.
 */
class cancellation {
public:
  /** @return whether the signal was raised. */
  auto isCancelled() const -> bool { return Cancelled.load(); }

  /** Raises the signal and runs the subscribed callbacks. */
  void cancel();

  /**
   * Runs Callback on the raising thread when the signal is raised, or
   * immediately on this thread if it already was. A callback must not block or
   * call methods of this object.
   * @return the id for unsubscribe.
   */
  auto subscribe(std::function<void()> Callback) -> std::uint64_t;

  /** Removes a callback; after the return it is neither running nor called
   * again. */
  void unsubscribe(std::uint64_t Id);

private:
  std::atomic<bool> Cancelled{false};
  std::mutex Mutex; // Leaf lock: callbacks may acquire ranked locks only if the
                    // subscriber holds none while subscribing.
  std::uint64_t NextId = 1;
  std::map<std::uint64_t, std::function<void()>> Callbacks;
};

} // namespace sycamorelb::proxy
