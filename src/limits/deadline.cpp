/** @file deadline.cpp Deadline propagation. */
#include "sycamorelb/limits/deadline_func.h"

#include <algorithm>
#include <charconv>

namespace sycamorelb::limits {

auto callDeadline(std::optional<millis> Header, millis RouteTimeout,
                  steady_time Now) -> steady_time {
  auto Timeout = std::min(RouteTimeout, MaxDeadline);
  return Now + std::min(Header.value_or(Timeout), Timeout);
}

auto remainingForHop(steady_time Deadline, micros OneWayLatency,
                     steady_time Now) -> std::optional<millis> {
  auto Remaining = Deadline - Now - OneWayLatency - ProcessingMargin;
  auto WholeMillis = std::chrono::floor<millis>(Remaining);
  if (WholeMillis <= millis{0})
    return std::nullopt;
  return WholeMillis;
}

auto parseDeadline(std::string_view Header) -> std::optional<millis> {
  auto Value = std::uint64_t{0};
  const auto *End = Header.data() + Header.size();
  auto [Stop, Failure] = std::from_chars(Header.data(), End, Value);
  if (Stop != End || Header.empty())
    return std::nullopt;
  // A number too large for the type is valid and capped.
  auto Bound = static_cast<std::uint64_t>(MaxDeadline.count());
  if (Failure == std::errc::result_out_of_range)
    return MaxDeadline;
  if (Failure != std::errc{})
    return std::nullopt;
  return millis(static_cast<std::int64_t>(std::min(Value, Bound)));
}

auto renderDeadline(millis Remaining) -> std::string {
  return std::to_string(std::max<std::int64_t>(Remaining.count(), 0));
}

} // namespace sycamorelb::limits
