/** @file start_limit.cpp Token bucket for the starts of calls. */
#include "sycamorelb/dispatch/start_limit.h"

#include <algorithm>
#include <cmath>

namespace sycamorelb::dispatch {

/** Starts per second while a target takes none, so that its answers show when
 * the limit ends. */
static constexpr auto MinCallsPerSecond = 0.25;
/** Size of the bucket in seconds of the limit, and its minimum in calls: lets
 * calls that arrive together start together. */
static constexpr auto BucketSeconds = 0.5;
static constexpr auto MinBucket = 2.0;
/** Time that startWaits() covers, and its maximum number of entries. */
static constexpr auto PredictedSeconds = 1.0;
static constexpr auto MaxPredictedStarts = 1000.0;

static auto rateOf(const start_limit &Limit) -> double {
  return std::max(MinCallsPerSecond, *Limit.CallsPerSecond);
}

/** @return the tokens at the given time. */
static auto tokensAt(const start_limit &Limit, steady_time Now) -> double {
  auto Rate = rateOf(Limit);
  auto Elapsed = static_cast<double>((Now - Limit.UpdatedAt).count()) / 1e6;
  return std::min(std::max(MinBucket, Rate * BucketSeconds),
                  Limit.Tokens + Elapsed * Rate);
}

/** @return the wait until the bucket has this many tokens. */
static auto waitFor(const start_limit &Limit, double Tokens, steady_time Now)
    -> micros {
  auto Missing = Tokens - tokensAt(Limit, Now);
  return micros(static_cast<std::int64_t>(
      std::ceil(std::max(0.0, Missing) / rateOf(Limit) * 1e6)));
}

/** @return the number of starts that startWaits() predicts. */
static auto predictedStarts(const start_limit &Limit) -> double {
  return std::clamp(std::round(rateOf(Limit) * PredictedSeconds), 1.0,
                    MaxPredictedStarts);
}

void applyNamedLimit(named_limit &Limit, std::optional<double> Named,
                     steady_time StartedAt, steady_time Now) {
  auto IsNewer = !Limit.DecidedAt || StartedAt > *Limit.DecidedAt;
  auto IsStricter =
      Named && (!Limit.CallsPerSecond || *Named <= *Limit.CallsPerSecond);
  if (IsNewer || IsStricter) {
    Limit = {Named, Now};
  }
}

void setStartRate(start_limit &Limit, std::optional<double> CallsPerSecond,
                  steady_time Now) {
  Limit.Tokens =
      Limit.CallsPerSecond && CallsPerSecond ? tokensAt(Limit, Now) : 0;
  Limit.UpdatedAt = Now;
  Limit.CallsPerSecond = CallsPerSecond;
}

void recordStart(start_limit &Limit, steady_time Now) {
  if (Limit.CallsPerSecond) {
    Limit.Tokens = tokensAt(Limit, Now) - 1;
    Limit.UpdatedAt = Now;
  }
}

auto nextStartTime(const start_limit &Limit, steady_time Now) -> steady_time {
  return Limit.CallsPerSecond ? Now + waitFor(Limit, 1, Now) : Now;
}

auto startWaits(const start_limit &Limit, steady_time Now)
    -> std::vector<micros> {
  auto Waits = std::vector<micros>();
  if (Limit.CallsPerSecond) {
    for (auto Start = 1.0; Start <= predictedStarts(Limit); ++Start) {
      Waits.push_back(waitFor(Limit, Start, Now));
    }
  }
  return Waits;
}

auto limitedWindow(const start_limit &Limit) -> micros {
  return Limit.CallsPerSecond
             ? micros(static_cast<std::int64_t>(predictedStarts(Limit) /
                                                rateOf(Limit) * 1e6))
             : micros(0);
}

} // namespace sycamorelb::dispatch
