/** @file stop_signal.h Delivers process signals as event loop callbacks. */
#pragma once

#include "sycamorelb/event/loop.h"

#include <functional>

namespace sycamorelb::sidecar {

/** Delivers SIGTERM, SIGINT and SIGHUP to an event loop. At most one instance
 * per process. */
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
