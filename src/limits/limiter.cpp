/** @file limiter.cpp Combines concurrency limit, cold start and queue. */
#include "sycamorelb/limits/limiter_func.h"

#include <algorithm>
#include <cmath>

namespace sycamorelb::limits {

namespace {

auto adaptiveLimit(const upstream_limiter &Limiter) -> std::uint32_t {
  auto Limit = static_cast<std::uint32_t>(Limiter.Concurrency.Limit);
  return std::clamp(Limit, 1U, hardLimit(Limiter.Bounds));
}

auto currentCapacity(const upstream_limiter &Limiter, steady_time Now)
    -> admission_capacity {
  return {currentLimit(Limiter, Now), expectedServiceTime(Limiter)};
}

/// Growth of the known warm latency per cold window without a raise. Without it
/// an upstream that became permanently slower would stay at the cold limit; at
/// 2 % a fivefold latency is accepted after 61 windows.
constexpr double WarmLatencyGrowth = 1.02;

void relaxWarmLatency(concurrency_state &State) {
  for (auto *Latency : {&State.Baseline, &State.TypicalLatency})
    *Latency = micros(std::llround(toDouble(*Latency) * WarmLatencyGrowth));
}

/** Updates the limits with the outcome of a started call. */
void recordOutcome(upstream_limiter &Limiter, call_outcome Outcome,
                   micros Latency, std::uint32_t InFlight, steady_time Now) {
  auto WasCold = Limiter.Cold.Cold;
  auto Event = observeCall(Limiter.Cold, Limiter.Config.ColdStart, Outcome,
                           Latency, Limiter.Concurrency.TypicalLatency,
                           adaptiveLimit(Limiter), Now);
  if (Event == cold_event::BecameCold || Event == cold_event::Warm)
    Limiter.Concurrency.Window = latency_window{};
  if (Event == cold_event::Held)
    relaxWarmLatency(Limiter.Concurrency);
  // The latency of a cold upstream does not count as warm latency, unless none
  // is known and the upstream has just become warm.
  if (Event == cold_event::Warm &&
      Limiter.Concurrency.TypicalLatency == micros{0}) {
    Limiter.Concurrency.Baseline = Limiter.Cold.RecentMedian;
    Limiter.Concurrency.TypicalLatency = Limiter.Cold.RecentMedian;
  }
  if (WasCold || Limiter.Cold.Cold)
    return;
  observeCall(Limiter.Concurrency, Limiter.Config.Concurrency, Limiter.Bounds,
              Outcome, Latency, InFlight, Now);
}

} // namespace

auto makeLimiter(const capacity_bounds &Bounds, const limiter_config &Config)
    -> upstream_limiter {
  auto Limiter = upstream_limiter{};
  Limiter.Config = Config;
  Limiter.Bounds = Bounds;
  Limiter.Concurrency = makeConcurrency(Bounds);
  Limiter.Cold = makeColdStart(Config.ColdStart);
  return Limiter;
}

void onAnnounce(upstream_limiter &Limiter, const capacity_bounds &Bounds) {
  // A larger announcement raises only the bound; the limit grows with
  // successes.
  Limiter.Bounds = Bounds;
  Limiter.Concurrency.Limit = std::min(Limiter.Concurrency.Limit,
                                       static_cast<double>(hardLimit(Bounds)));
}

void onRestart(upstream_limiter &Limiter, bool SameVersion) {
  resetToCold(Limiter.Cold, Limiter.Config.ColdStart);
  if (!SameVersion)
    Limiter.Concurrency = makeConcurrency(Limiter.Bounds);
}

auto onAdmit(upstream_limiter &Limiter, const work_offer &Work, steady_time Now)
    -> offer_result {
  return offer(Limiter.Queue, Work, currentCapacity(Limiter, Now), Now);
}

void onStart(upstream_limiter &Limiter, steady_time Now) {
  if (Limiter.Started == 0)
    Limiter.LastProgress = Now;
  ++Limiter.Started;
}

auto onFinish(upstream_limiter &Limiter, call_outcome Outcome, micros Latency,
              steady_time Now) -> queue_step {
  if (Outcome != call_outcome::NotStarted) {
    recordOutcome(Limiter, Outcome, Latency, Limiter.Started, Now);
    Limiter.Started -= Limiter.Started > 0 ? 1 : 0;
    Limiter.LastProgress = Now;
  }
  return release(Limiter.Queue, currentCapacity(Limiter, Now), Now);
}

auto onTick(upstream_limiter &Limiter, steady_time Now) -> queue_step {
  return expire(Limiter.Queue, currentCapacity(Limiter, Now), Now);
}

auto currentLimit(const upstream_limiter &Limiter, steady_time Now)
    -> std::uint32_t {
  auto Limit = adaptiveLimit(Limiter);
  if (Limiter.Cold.Cold)
    Limit = std::min(Limit, Limiter.Cold.Limit);
  if (isStalled(Limiter, Now))
    Limit = std::min(Limit, Limiter.Config.ColdStart.ColdLimit);
  return std::max(1U, Limit);
}

auto isCold(const upstream_limiter &Limiter) -> bool {
  return Limiter.Cold.Cold;
}

auto isStalled(const upstream_limiter &Limiter, steady_time Now) -> bool {
  auto TypicalLatency = Limiter.Concurrency.TypicalLatency;
  if (Limiter.Started == 0 || TypicalLatency == micros{0})
    return false;
  auto Allowed = micros(
      std::llround(toDouble(TypicalLatency) * Limiter.Config.StallFactor));
  return Now - Limiter.LastProgress >
         std::max(Allowed, Limiter.Config.MinStall);
}

auto expectedServiceTime(const upstream_limiter &Limiter) -> micros {
  const auto &Cold = Limiter.Cold;
  if (Cold.Cold && Cold.RecentMedian > micros{0})
    return Cold.RecentMedian;
  return Limiter.Concurrency.TypicalLatency;
}

} // namespace sycamorelb::limits
