/** @file cold_rate.cpp Sliding-window rate limit for cold targets. */
#include "sycamorelb/dispatch/cold_rate.h"

#include "sycamorelb/core/number_func.h"

#include <algorithm>
#include <limits>

namespace sycamorelb::dispatch {

/** Length of the window in which calls are counted: one second plus a margin
 * for the variable delay between sending and arrival at the target. */
static constexpr auto WindowLength = micros(1'050'000);

/** Time for which a target still counts as cold after the reported end. */
static constexpr auto ColdMargin = micros(300'000);

/** Share of the allowed rate that is used, because calls may reach the target
 * closer together than they were sent. */
static constexpr auto UsedRateShare = 0.85;

auto coldRateLimit(double CallsPerSecond, double Factor, double Slack)
    -> double {
  if (CallsPerSecond <= 0) {
    return 0;
  }
  auto Allowed = CallsPerSecond * Factor + Slack;
  // Not below the configured limit of the target, nor below a whole call.
  auto Least = std::max(CallsPerSecond, Allowed >= 1 ? 1.0 : 0.0);
  // 0 would mean that there is no limit.
  return std::max(std::numeric_limits<double>::min(),
                  std::min(Allowed, std::max(Least, Allowed * UsedRateShare)));
}

auto coldEndTime(steady_time Now, micros ColdFor) -> steady_time {
  return ColdFor > micros(0) ? Now + ColdFor + ColdMargin : Now;
}

/** Wait of a call that is not allowed as long as the target is cold. */
static constexpr auto NoStartWait = micros(86'400'000'000);

/** @return the number of calls allowed in a window; may be 0. */
static auto callsPerWindow(double CallsPerSecond) -> std::size_t {
  return saturatedCast<std::size_t>(CallsPerSecond);
}

void recordSentCall(call_rate_window &Window, steady_time Now) {
  Window.Sent.push_back(Now);
  while (Window.Sent.front() + WindowLength < Now) {
    Window.Sent.pop_front();
  }
}

void fillWindow(call_rate_window &Window, steady_time At) {
  Window.FullUntil = std::max(Window.FullUntil, At + WindowLength);
}

auto nextColdCallTime(const call_rate_window &Window, double CallsPerSecond,
                      steady_time Now) -> steady_time {
  auto Limit = callsPerWindow(CallsPerSecond);
  if (Limit == 0) {
    return Now + WindowLength;
  }
  if (Window.Sent.size() < Limit) {
    return std::max(Now, Window.FullUntil);
  }
  return std::max(Window.Sent[Window.Sent.size() - Limit] + WindowLength,
                  Window.FullUntil);
}

auto coldCallWait(const call_rate_window &Window, double CallsPerSecond,
                  steady_time Now, std::size_t Ahead) -> micros {
  auto Limit = callsPerWindow(CallsPerSecond);
  if (Limit == 0) {
    return NoStartWait;
  }
  // The window first allows what is left of it, then one call for each that
  // leaves it; later windows repeat that.
  auto Recent = std::min(Window.Sent.size(), Limit);
  auto Later = WindowLength * static_cast<std::int64_t>(Ahead / Limit);
  auto Full = std::max(micros(0), Window.FullUntil - Now);
  auto Place = Ahead % Limit;
  if (Place < Limit - Recent) {
    return Full + Later;
  }
  auto Leaving = Window.Sent[Window.Sent.size() - (Limit - Place)];
  return std::max(Full, Leaving + WindowLength - Now) + Later;
}

auto coldCallGap(double CallsPerSecond) -> micros {
  auto Limit = callsPerWindow(CallsPerSecond);
  return Limit == 0
             ? NoStartWait
             : saturatedMicros(static_cast<double>(WindowLength.count()) /
                               static_cast<double>(Limit));
}

} // namespace sycamorelb::dispatch
