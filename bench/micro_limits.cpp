/** @file micro_limits.cpp Microbenchmarks of admission and retry budgets. */
#include "sycamorelb/core/random_func.h"
#include "sycamorelb/limits/budget_func.h"
#include "sycamorelb/limits/limiter_func.h"

#include <benchmark/benchmark.h>
#include <vector>

using namespace sycamorelb;
using namespace sycamorelb::limits;

namespace {

constexpr auto CallTime = micros{10'000};

/** Admits, starts and finishes one call at a random one of N upstreams. */
void admitAndFinish(benchmark::State &State) {
  auto Limiters = std::vector<upstream_limiter>(
      static_cast<std::size_t>(State.range(0)), makeLimiter({10, 120}));
  auto Random = random_source{42};
  auto Now = steady_time{micros{1'000'000}};
  for ([[maybe_unused]] auto Iteration : State) {
    auto &Limiter = Limiters[randomBelow(
        Random, static_cast<std::uint32_t>(Limiters.size()))];
    Now += micros{7};
    auto Work = work_offer{work_priority::Idempotent, Now + micros{1'000'000}};
    benchmark::DoNotOptimize(onAdmit(Limiter, Work, Now));
    onStart(Limiter, Now);
    benchmark::DoNotOptimize(
        onFinish(Limiter, call_outcome::Success, CallTime, Now));
  }
}
BENCHMARK(admitAndFinish)->Arg(12)->Arg(100)->Arg(880)->Arg(5000);

/** Admits and finishes calls at one upstream whose queue is full. */
void admitUnderOverload(benchmark::State &State) {
  auto Limiter = makeLimiter({10, 120});
  auto Now = steady_time{micros{1'000'000}};
  auto Offer = [&] {
    auto Work = work_offer{work_priority::Idempotent, Now + micros{1'000'000}};
    return onAdmit(Limiter, Work, Now);
  };
  for (auto Call = 0; Call < 20; ++Call)
    Offer();
  for ([[maybe_unused]] auto Iteration : State) {
    Now += micros{7};
    benchmark::DoNotOptimize(Offer());
    benchmark::DoNotOptimize(
        onFinish(Limiter, call_outcome::NotStarted, micros{0}, Now));
  }
}
BENCHMARK(admitUnderOverload);

void takeFromBudget(benchmark::State &State) {
  auto Config = budget_config{20};
  auto Budget = attempt_budget{};
  auto Now = steady_time{micros{1'000'000}};
  for ([[maybe_unused]] auto Iteration : State) {
    Now += micros{7};
    onCall(Budget, Config);
    benchmark::DoNotOptimize(tryTake(Budget, Config, Now));
  }
}
BENCHMARK(takeFromBudget);

} // namespace
