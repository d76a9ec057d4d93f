/** @file loop.h Event loop of one thread: descriptors, timers, signals. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace sycamorelb::event {

using timer_id = strong_id<struct timer_tag, std::uint64_t>;

/** @return the time since boot. Unlike the monotonic clock it also counts the
 * time for which the host was suspended. */
auto bootTime() -> steady_time;

/**
 * Event loop. All methods and callbacks belong to the thread that calls run().
 */
class loop {
public:
  using callback = std::function<void()>;
  using ready_callback = std::function<void(std::uint32_t)>;

  loop();
  ~loop();
  loop(const loop &) = delete;
  auto operator=(const loop &) -> loop & = delete;

  /** @return the time since boot at which the current iteration began. */
  auto now() const -> steady_time;

  /** Counts bytes that crossed the host's link. */
  void noteTraffic(std::size_t Received, std::size_t Sent);
  /** @return bytes received over the link since the start. */
  auto receivedBytes() const -> std::uint64_t;
  /** @return bytes sent over the link since the start. */
  auto sentBytes() const -> std::uint64_t;

  /** Calls Run once, at At or slightly later. */
  auto addTimer(steady_time At, callback Run) -> timer_id;
  /** Forgets a timer; unknown ids are ignored. */
  void cancelTimer(timer_id Id);
  /** Calls Run at the end of the current iteration. */
  void defer(callback Run);

  /** Calls Ready with the epoll events of the descriptor. */
  void watch(int Descriptor, std::uint32_t Events, ready_callback Ready);
  /** Changes the events of a watched descriptor. */
  void rewatch(int Descriptor, std::uint32_t Events);
  /** Forgets a descriptor; the caller closes it. */
  void unwatch(int Descriptor);

  /** Runs until stop() is called. */
  void run();
  /** Ends run() after the current iteration. */
  void stop();

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::event
