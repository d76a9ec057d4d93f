/** @file stop_signal.h Signals as events of a loop. */
#pragma once

#include "sycamorelb/event/loop.h"

#include <functional>

namespace sycamorelb::sidecar {

/** Delivers SIGTERM, SIGINT and SIGHUP to a loop; one object a process. */
class signal_events {
public:
  /** @param OnStop called for SIGTERM and SIGINT.
   * @param OnReload called for SIGHUP. */
  signal_events(event::loop &Loop, std::function<void()> OnStop,
                std::function<void()> OnReload);
  ~signal_events();
  signal_events(const signal_events &) = delete;
  auto operator=(const signal_events &) -> signal_events & = delete;

private:
  event::loop &Loop;
};

} // namespace sycamorelb::sidecar
