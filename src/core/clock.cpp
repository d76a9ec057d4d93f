/** @file clock.cpp Clock readings. */
#include "sycamorelb/core/clock_func.h"

namespace sycamorelb {

auto steadyNow() -> steady_time {
  auto Since = std::chrono::steady_clock::now().time_since_epoch();
  return steady_time(std::chrono::duration_cast<micros>(Since));
}

auto wallNow() -> wall_ms {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  return {std::chrono::duration_cast<millis>(Since).count()};
}

} // namespace sycamorelb
