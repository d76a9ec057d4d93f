/** @file number_func.h Conversions of figures from outside, which may be of any
 * size. */
#pragma once

#include "sycamorelb/core/unit_type.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace sycamorelb {

/** Longest time in use: a century, far from the limits of 64 bits also after
 * sums and products with small factors. A longer one is the same as none. */
inline constexpr auto MaxTime = micros(std::int64_t{3'155'760'000'000'000});

/** @return the whole part of a number, or the nearest value of the type; 0 if
 * it is not a number. */
template <class Integer> auto saturatedCast(double Number) -> Integer {
  using limits = std::numeric_limits<Integer>;
  if (!(Number == Number)) {
    return 0;
  }
  if (Number <= static_cast<double>(limits::min())) {
    return limits::min();
  }
  return Number >= static_cast<double>(limits::max())
             ? limits::max()
             : static_cast<Integer>(Number);
}

/** @return the time nearest to a number of microseconds, up to MaxTime. */
inline auto saturatedMicros(double Number) -> micros {
  auto Time = micros(saturatedCast<std::int64_t>(Number));
  return std::clamp(Time, -MaxTime, MaxTime);
}

/** @return a time as microseconds in 32 bits, or the nearest such number. */
inline auto microsIn32Bits(micros Time) -> std::uint32_t {
  return saturatedCast<std::uint32_t>(static_cast<double>(Time.count()));
}

} // namespace sycamorelb
