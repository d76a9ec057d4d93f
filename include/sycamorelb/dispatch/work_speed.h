/** @file work_speed.h How long work takes on a target's machine at this moment.
 *
 * Targets of one service differ in speed, and bursts of noise on their machines
 * slow them down for some hundred milliseconds. A mean run time follows such a
 * burst only after it has ended.
 */
#pragma once

#include "sycamorelb/core/unit_type.h"

#include <cstdint>

namespace sycamorelb::dispatch {

/** Work figures that a target reported; empty until the first one. */
struct work_speed {
  double Current = 0;       ///< Recent figure in percent; 0 if none.
  double Usual = 0;         ///< Mean figure of the last seconds in percent.
  steady_time ReportedAt{}; ///< When the last figure arrived.
};

/** Takes over a figure, bounded so that one false figure has little effect. */
void observeWork(work_speed &Speed, double Percent, steady_time Now);

/** @return whether the target reports work figures. */
auto isKnown(const work_speed &Speed) -> bool;

/** @return the work time now relative to the target's own usual one, in
 * percent; 0 if unknown. */
auto relativeWorkPercent(const work_speed &Speed, steady_time Now)
    -> std::uint32_t;

/** @return the factor on usual run times by a figure of this age, which decays
 * to 1 because a burst ends; 1 if the figure is 0 (unknown). */
auto workFactor(std::uint32_t RelativePercent, micros Age) -> double;

/** Effect of the momentary speed on a call before it starts. */
struct start_forecast {
  micros Delay{0};   ///< Time by which it must start earlier to be on time.
  bool Late = false; ///< It would be late at the current speed, not as usual.
};

/** @return the effect of the current speed on a call.
 * @param UsualRun usual run time of its route at the target.
 * @param Factor run time now relative to the usual one.
 * @param TimeToStartOnTime time left to start by the usual run time. */
auto forecastStart(micros UsualRun, double Factor, micros TimeToStartOnTime)
    -> start_forecast;

/** @return a time scaled by a factor. */
auto scaled(micros Time, double Factor) -> micros;

} // namespace sycamorelb::dispatch
