/** @file start_limit.cpp Token bucket for the starts of calls. */
#include "sycamorelb/dispatch/start_limit.h"

#include "sycamorelb/core/number_func.h"

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
  return saturatedMicros(
      std::ceil(std::max(0.0, Missing) / rateOf(Limit) * 1e6));
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

auto limitedStartWait(const start_limit &Limit, steady_time Now,
                      std::size_t Ahead) -> micros {
  return Limit.CallsPerSecond
             ? waitFor(Limit, static_cast<double>(Ahead) + 1, Now)
             : micros(0);
}

auto limitedStartGap(const start_limit &Limit) -> micros {
  return Limit.CallsPerSecond ? saturatedMicros(1e6 / rateOf(Limit))
                              : micros(0);
}

} // namespace sycamorelb::dispatch
