/** @file work_speed.cpp Smoothing and aging of work figures. */
#include "sycamorelb/dispatch/work_speed.h"

#include "sycamorelb/core/number_func.h"

#include <algorithm>
#include <cmath>

namespace sycamorelb::dispatch {

/** Bounds of a figure in percent; bursts reach 250 on machines of 0.6 to 1.6
 * times the usual speed. */
static constexpr auto MinFigure = 25.0;
static constexpr auto MaxFigure = 500.0;
/** Weight of a new figure: a slow machine gets less work after one or two
 * answers, and one odd figure has half its effect. */
static constexpr auto FigureWeight = 0.6;
/** Time constant of the usual figure, in microseconds: long against a burst of
 * 600 ms. */
static constexpr auto UsualTimeConstant = 5e6;
/** Maximum weight of one figure in the usual one, after an idle period. */
static constexpr auto MaxUsualWeight = 0.1;
/** Half-life of the deviation from usual, in microseconds: the mean time that
 * is left of a burst of 600 ms. */
static constexpr auto DeviationHalfLife = 300e3;
/** Age from which a figure is ignored: the deviation is below a tenth. */
static constexpr auto MaxFigureAge = micros(1'000'000);

/** Slow-down from which calls that would be late are refused, so that another
 * target gets them; below it a second attempt costs more than it gains. */
static constexpr auto SlowFactor = 1.25;
/** Share of the run time by which a call on a slow machine must be able to
 * exceed its mean and still be on time. */
static constexpr auto RunTimeReserve = 1.0;

void observeWork(work_speed &Speed, double Percent, steady_time Now) {
  auto Figure = std::clamp(Percent, MinFigure, MaxFigure);
  if (!isKnown(Speed)) {
    Speed = {Figure, Figure, Now};
    return;
  }
  auto Age = std::max(micros(0), Now - Speed.ReportedAt);
  auto UsualWeight =
      std::min(MaxUsualWeight, 1 - std::exp(-static_cast<double>(Age.count()) /
                                            UsualTimeConstant));
  Speed.Usual += UsualWeight * (Figure - Speed.Usual);
  Speed.Current = Age > MaxFigureAge
                      ? Figure
                      : Speed.Current + FigureWeight * (Figure - Speed.Current);
  Speed.ReportedAt = Now;
}

auto isKnown(const work_speed &Speed) -> bool { return Speed.Current > 0; }

auto workFactor(std::uint32_t RelativePercent, micros Age) -> double {
  if (RelativePercent == 0 || Age > MaxFigureAge) {
    return 1;
  }
  auto Decay =
      std::exp2(-static_cast<double>(std::max(micros(0), Age).count()) /
                DeviationHalfLife);
  return 1 + (RelativePercent / 100.0 - 1) * Decay;
}

auto relativeWorkPercent(const work_speed &Speed, steady_time Now)
    -> std::uint32_t {
  if (!isKnown(Speed)) {
    return 0;
  }
  auto Relative = static_cast<std::uint32_t>(
      std::lround(100 * Speed.Current / Speed.Usual));
  return static_cast<std::uint32_t>(
      std::lround(100 * workFactor(Relative, Now - Speed.ReportedAt)));
}

auto forecastStart(micros UsualRun, double Factor, micros TimeToStartOnTime)
    -> start_forecast {
  if (Factor <= 1) {
    return {};
  }
  auto Delay = scaled(UsualRun, Factor - 1);
  auto Reserve = scaled(UsualRun, Factor * RunTimeReserve);
  auto Late = Factor > SlowFactor && TimeToStartOnTime < Delay + Reserve;
  return {Delay, Late};
}

auto scaled(micros Time, double Factor) -> micros {
  return saturatedMicros(static_cast<double>(Time.count()) * Factor);
}

} // namespace sycamorelb::dispatch
