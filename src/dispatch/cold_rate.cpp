/** @file cold_rate.cpp Sliding-window rate limit for cold targets. */
#include "sycamorelb/dispatch/cold_rate.h"

#include <algorithm>
#include <cmath>

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
  // Never below the configured limit of the target.
  return std::max(CallsPerSecond,
                  (CallsPerSecond * Factor + Slack) * UsedRateShare);
}

auto coldEndTime(steady_time Now, micros ColdFor) -> steady_time {
  return ColdFor > micros(0) ? Now + ColdFor + ColdMargin : Now;
}

/** @return the number of calls allowed in a window. */
static auto callsPerWindow(double CallsPerSecond) -> std::size_t {
  return static_cast<std::size_t>(std::max(1.0, std::floor(CallsPerSecond)));
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
  if (Window.Sent.size() < Limit) {
    return std::max(Now, Window.FullUntil);
  }
  return std::max(Window.Sent[Window.Sent.size() - Limit] + WindowLength,
                  Window.FullUntil);
}

auto coldWindow() -> micros { return WindowLength; }

auto coldCallWaits(const call_rate_window &Window, double CallsPerSecond,
                   steady_time Now) -> std::vector<micros> {
  auto Limit = callsPerWindow(CallsPerSecond);
  auto Recent = std::min(Window.Sent.size(), Limit);
  auto Full = std::max(micros(0), Window.FullUntil - Now);
  auto Waits = std::vector<micros>(Limit - Recent, Full);
  for (auto Index = Window.Sent.size() - Recent; Index < Window.Sent.size();
       ++Index) {
    Waits.push_back(std::max(Full, Window.Sent[Index] + WindowLength - Now));
  }
  return Waits;
}

} // namespace sycamorelb::dispatch
