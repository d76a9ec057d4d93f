/** @file clock.cpp Clock access. */
#include "sycamorelb/core/clock_func.h"

namespace sycamorelb {

auto steadyNow() -> steady_time {
  auto SinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
  return steady_time(std::chrono::duration_cast<micros>(SinceEpoch));
}

auto wallNow() -> wall_ms {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return {std::chrono::duration_cast<millis>(SinceEpoch).count()};
}

} // namespace sycamorelb
