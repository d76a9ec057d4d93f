/** @file cancellation.h Tells blocked work that its caller has gone. */
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

namespace sycamorelb::proxy {

/** Signal that is raised at most once; shared by a call and its watcher. */
class cancellation {
public:
  /** @return whether the signal was raised. */
  auto isCancelled() const -> bool { return Cancelled.load(); }

  /** Raises the signal and runs the subscribed callbacks. */
  void cancel();

  /**
   * Runs Callback when the signal is raised, on the raising thread; at once on
   * this thread if it was raised before. A callback must not block, and must
   * not call back into this object.
   * @return the id for unsubscribe.
   */
  auto subscribe(std::function<void()> Callback) -> std::uint64_t;

  /** Removes a callback; it is not running any more when this returns. */
  void unsubscribe(std::uint64_t Id);

private:
  std::atomic<bool> Cancelled{false};
  std::mutex Mutex; // A leaf lock: callbacks may take ranked locks only if the
                    // subscriber holds none while it subscribes.
  std::uint64_t NextId = 1;
  std::map<std::uint64_t, std::function<void()>> Callbacks;
};

} // namespace sycamorelb::proxy
