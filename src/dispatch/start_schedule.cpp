/** @file start_schedule.cpp Prediction of the starts that rate limits allow. */
#include "sycamorelb/dispatch/start_schedule.h"

#include <algorithm>

namespace sycamorelb::dispatch {

auto startWait(const start_schedule &Schedule, std::size_t Ahead) -> micros {
  auto Wait = micros(0);
  if (Schedule.Cold != nullptr) {
    Wait = coldCallWait(*Schedule.Cold, Schedule.ColdCallsPerSecond,
                        Schedule.Now, Ahead);
  }
  if (Schedule.Named != nullptr) {
    Wait =
        std::max(Wait, limitedStartWait(*Schedule.Named, Schedule.Now, Ahead));
  }
  return Wait;
}

auto meanStartGap(const start_schedule &Schedule) -> micros {
  auto Gap = micros(0);
  if (Schedule.Cold != nullptr) {
    Gap = coldCallGap(Schedule.ColdCallsPerSecond);
  }
  if (Schedule.Named != nullptr) {
    Gap = std::max(Gap, limitedStartGap(*Schedule.Named));
  }
  return Gap;
}

} // namespace sycamorelb::dispatch
