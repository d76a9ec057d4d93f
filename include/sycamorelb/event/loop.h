/** @file loop.h Single-threaded event loop: descriptors, timers and deferred
 * callbacks. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"
#include "sycamorelb/event/memory_budget.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace sycamorelb::event {

using timer_id = strong_id<struct timer_tag, std::uint64_t>;

/** @return the time since boot. Unlike the monotonic clock it includes time
 * during which the host was suspended. */
auto bootTime() -> steady_time;

/**
 * Event loop over epoll. Only the thread that calls run() may call the other
 * methods; callbacks run on that thread.
 */
class loop {
public:
  using callback = std::function<void()>;
  using ready_callback = std::function<void(std::uint32_t)>;

  loop();
  ~loop();
  loop(const loop &) = delete;
  auto operator=(const loop &) -> loop & = delete;

  /** @return the time at which the events of a descriptor, or a series of
   * timers or deferred callbacks, began to be handled: the time since boot,
   * unless it is simulated. */
  auto now() const -> steady_time;
  /** @return the current time. It is later than now() if the process was
   * stopped meanwhile, but not if time is simulated. */
  auto clockTime() const -> steady_time;

  /** Adds to the byte counts of the host's network link. */
  void countTraffic(std::size_t Received, std::size_t Sent);
  /** @return the bytes received over the network link since the start. */
  auto receivedBytes() const -> std::uint64_t;
  /** @return the bytes sent over the network link since the start. */
  auto sentBytes() const -> std::uint64_t;
  /** @return the account of the buffers of this loop's streams, and of what is
   * made of them. */
  auto memory() const -> const std::shared_ptr<memory_budget> &;
  /** Counts the streams that close once their output is written. */
  void countLingering(int Change);
  /** @return the number of such streams now. */
  auto lingeringStreams() const -> int;

  /** Calls Run once, at time At or slightly later. */
  auto addTimer(steady_time At, callback Run) -> timer_id;
  /** Removes a timer; unknown ids are ignored. */
  void cancelTimer(timer_id Id);
  /** Calls Run at the end of the current iteration. */
  void defer(callback Run);

  /** Watches a descriptor; Ready is called with the epoll events that occurred.
   */
  void watch(int Descriptor, std::uint32_t Events, ready_callback Ready);
  /** Changes the epoll events for which a descriptor is watched. */
  void modifyWatch(int Descriptor, std::uint32_t Events);
  /** Stops watching a descriptor; the caller closes it. */
  void unwatch(int Descriptor);

  /** Runs until stop() is called. */
  void run();
  /** Runs until the given time or until stop() is called. */
  void runUntil(steady_time Until);
  /** Decouples the time from the clock: it advances to the next timer whenever
   * all watched descriptors are idle. For simulations in which all peers run on
   * this loop; call before anything is added. */
  void simulateTime();
  /** Makes run() return after the current iteration. */
  void stop();

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::event
