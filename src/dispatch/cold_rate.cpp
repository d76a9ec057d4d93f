/** @file cold_rate.cpp Sliding window over one second. */
#include "sycamorelb/dispatch/cold_rate.h"

#include <algorithm>
#include <cmath>

namespace sycamorelb::dispatch {

/** Window in which calls are counted: a second, and a margin for calls that
 * reach the target earlier or later than they were sent. */
static constexpr auto Window = micros(1'050'000);

/** Time beyond what a target said for which it still counts as cold. */
static constexpr auto ColdMargin = micros(300'000);

/** Share of the allowed calls that is sent, for calls that reach the target
 * closer together than they were sent. */
static constexpr auto AllowedShare = 0.85;

auto coldAllowance(double CallsPerSecond, double Factor, double Slack)
    -> double {
  if (CallsPerSecond <= 0) {
    return 0;
  }
  // Never below what the target bears by its own word.
  return std::max(CallsPerSecond,
                  (CallsPerSecond * Factor + Slack) * AllowedShare);
}

auto coldEnd(steady_time Now, micros ColdFor) -> steady_time {
  return ColdFor > micros(0) ? Now + ColdFor + ColdMargin : Now;
}

/** @return the calls that fit into a window. */
static auto windowLimit(double CallsPerSecond) -> std::size_t {
  return static_cast<std::size_t>(std::max(1.0, std::floor(CallsPerSecond)));
}

void noteCall(cold_rate &Rate, steady_time Now) {
  Rate.Sent.push_back(Now);
  while (Rate.Sent.front() + Window < Now) {
    Rate.Sent.pop_front();
  }
}

void assumeFull(cold_rate &Rate, double CallsPerSecond, steady_time Now) {
  Rate.Sent.assign(windowLimit(CallsPerSecond), Now);
}

auto nextColdCall(const cold_rate &Rate, double CallsPerSecond, steady_time Now)
    -> steady_time {
  auto Limit = windowLimit(CallsPerSecond);
  if (Rate.Sent.size() < Limit) {
    return Now;
  }
  return Rate.Sent[Rate.Sent.size() - Limit] + Window;
}

auto coldWindow() -> micros { return Window; }

auto coldStartWaits(const cold_rate &Rate, double CallsPerSecond,
                    steady_time Now) -> std::vector<micros> {
  auto Limit = windowLimit(CallsPerSecond);
  auto Held = std::min(Rate.Sent.size(), Limit);
  auto Waits = std::vector<micros>(Limit - Held, micros(0));
  for (auto Index = Rate.Sent.size() - Held; Index < Rate.Sent.size();
       ++Index) {
    Waits.push_back(std::max(micros(0), Rate.Sent[Index] + Window - Now));
  }
  return Waits;
}

} // namespace sycamorelb::dispatch
