/** @file unit_type.h Units of time and traffic share. */
#pragma once

#include <chrono>
#include <cstdint>

namespace sycamorelb {

using millis = std::chrono::duration<std::int64_t, std::milli>;
using micros = std::chrono::duration<std::int64_t, std::micro>;

/** Clock type that tags monotonic time points; their origin is arbitrary. */
struct steady_clock_tag {
  using duration = micros;
  using rep = duration::rep;
  using period = duration::period;
  static constexpr bool is_steady = true; // NOLINT: name fixed by <chrono>.
};
/** Monotonic time in microseconds since an arbitrary origin. */
using steady_time = std::chrono::time_point<steady_clock_tag, micros>;

/** Wall time in milliseconds since the Unix epoch. */
struct wall_ms {
  std::int64_t Value = 0; ///< Milliseconds since the Unix epoch.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const wall_ms &) const = default;
};

/** Share of traffic in parts per million, 0 to 1,000,000. */
struct share_ppm {
  std::uint32_t Value = 0; ///< Parts per million.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const share_ppm &) const = default;
};

inline constexpr share_ppm FullShare{1'000'000};

} // namespace sycamorelb
