/** @file limits_limiter_test.cpp Tests of the concurrency limit and of cold
 * start. */
#include "sycamorelb/core/random_func.h"
#include "sycamorelb/limits/limiter_func.h"

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <functional>
#include <numeric>
#include <rapidcheck.h>

using namespace sycamorelb;
using namespace sycamorelb::limits;

namespace {

constexpr auto Start = steady_time{micros{1'000'000'000}};
constexpr auto FarDeadline =
    work_offer{work_priority::Idempotent, Start + micros{1'000'000'000'000}};

/** Drives a limiter one call after another. */
struct driver {
  upstream_limiter Limiter;
  steady_time Now = Start;

  explicit driver(const capacity_bounds &Bounds)
      : Limiter(makeLimiter(Bounds)) {}

  /** Runs a batch of up to Width concurrent calls, as many as are admitted. */
  void batch(std::uint32_t Width, call_outcome Outcome, micros Latency) {
    batch(Width, Outcome, Latency, [Latency] { return Latency; });
  }

  /** Same as above with a latency drawn for each call. */
  void batch(std::uint32_t Width, call_outcome Outcome, micros Duration,
             const std::function<micros()> &Draw) {
    auto Admitted = 0U;
    while (Admitted < Width &&
           std::holds_alternative<run_now>(
               onAdmit(Limiter, FarDeadline, Now).Decision)) {
      onStart(Limiter, Now);
      ++Admitted;
    }
    Now += Duration;
    for (; Admitted > 0; --Admitted)
      release(Outcome, Draw());
  }

  void release(call_outcome Outcome, micros Latency) {
    auto Left = onFinish(Limiter, Outcome, Latency, Now).Run.size();
    while (Left > 0)
      Left += onFinish(Limiter, call_outcome::NotStarted, micros{0}, Now)
                  .Run.size() -
              1;
  }

  /** Warms up the upstream with calls of this latency. */
  void warmUp(micros Latency) {
    for (auto Round = 0; Round < 5000 && isCold(Limiter); ++Round)
      batch(currentLimit(Limiter, Now), call_outcome::Success, Latency);
    for (auto Round = 0; Round < 100; ++Round)
      batch(1, call_outcome::Success, Latency);
  }
};

auto genOutcome() -> rc::Gen<call_outcome> {
  return rc::gen::element(call_outcome::Success, call_outcome::Success,
                          call_outcome::Success, call_outcome::Failure,
                          call_outcome::Refused, call_outcome::Timeout,
                          call_outcome::Cancelled, call_outcome::NotStarted,
                          call_outcome::Unreachable);
}

} // namespace

// Guards against a limit of 0 or above the slots or connections, and against a
// rise without successes.
Test(limits_limiter, bounded_and_rises_only_with_success) {
  cr_assert(rc::check("limit bounds", [] {
    auto Bounds = capacity_bounds{*rc::gen::inRange(0U, 20U),
                                  *rc::gen::inRange(0U, 200U)};
    auto Driver = driver{Bounds};
    auto &Limiter = Driver.Limiter;
    for (auto Step = 0; Step < 300; ++Step) {
      auto Before = currentLimit(Limiter, Driver.Now);
      auto Stalled = isStalled(Limiter, Driver.Now);
      auto Outcome = *genOutcome();
      onAdmit(Limiter, FarDeadline, Driver.Now);
      if (Outcome != call_outcome::NotStarted)
        onStart(Limiter, Driver.Now);
      auto Latency = micros{*rc::gen::inRange(1, 300'000)};
      Driver.Now += Latency;
      Stalled = Stalled || isStalled(Limiter, Driver.Now);
      onFinish(Limiter, Outcome, Latency, Driver.Now);
      auto After = currentLimit(Limiter, Driver.Now);
      RC_ASSERT(After >= 1U && After <= hardLimit(Bounds));
      // The end of a stall restores the limit from before it.
      if (Outcome != call_outcome::Success && !Stalled)
        RC_ASSERT(After <= Before);
      RC_ASSERT(After <= 2 * Before || Stalled);
    }
  }));
}

// Guards against a cold upstream that gets full load at once, and against a
// limit that more than doubles per window.
Test(limits_limiter, starts_at_one_and_doubles_per_window) {
  auto Driver = driver{{10, 120}};
  auto Raises = std::vector<std::uint32_t>{1};
  cr_assert(currentLimit(Driver.Limiter, Start) == 1);
  for (auto Round = 0; Round < 500; ++Round) {
    Driver.batch(10, call_outcome::Success, micros{10'000});
    auto Limit = currentLimit(Driver.Limiter, Driver.Now);
    if (Limit != Raises.back())
      Raises.push_back(Limit);
  }
  cr_assert((Raises == std::vector<std::uint32_t>{1, 2, 4, 8, 10}));
  cr_assert(!isCold(Driver.Limiter));
}

// Guards against a raise while the latency is still falling during warm-up.
Test(limits_limiter, no_rise_while_latency_falls) {
  auto Driver = driver{{10, 120}};
  for (auto Latency = 200'000.0; Latency > 10'000; Latency *= 0.93)
    Driver.batch(1, call_outcome::Success,
                 micros{static_cast<std::int64_t>(Latency)});
  cr_assert(currentLimit(Driver.Limiter, Driver.Now) == 1);
  for (auto Round = 0; Round < 500; ++Round)
    Driver.batch(10, call_outcome::Success, micros{10'000});
  cr_assert(!isCold(Driver.Limiter));
}

// Guards against an upstream that has become cold and keeps its warm limit:
// slow or refused calls must bring it to the cold limit within
// MaxCallsToDetectCold.
Test(limits_limiter, becoming_cold_is_detected) {
  cr_assert(rc::check("detects cold", [](std::uint64_t Seed) {
    auto Driver = driver{{*rc::gen::inRange(2U, 20U), 120}};
    Driver.warmUp(micros{10'000});
    RC_ASSERT(!isCold(Driver.Limiter));
    auto Random = random_source{Seed};
    // A long latency tail while warm leads to a high learned ratio of slow
    // calls.
    for (auto Call = 0; Call < 1000; ++Call)
      Driver.batch(1, call_outcome::Success,
                   micros{randomBelow(Random, 8) == 0 ? 40'000 : 10'000});
    auto Refused = *rc::gen::arbitrary<bool>();
    auto Calls = 0U;
    while (!isCold(Driver.Limiter) && Calls <= MaxCallsToDetectCold) {
      Driver.batch(1, Refused ? call_outcome::Refused : call_outcome::Success,
                   micros{50'000});
      ++Calls;
    }
    RC_ASSERT(Calls <= MaxCallsToDetectCold);
    RC_ASSERT(currentLimit(Driver.Limiter, Driver.Now) == 1U);
  }));
}

// Guards against false detection of a cold upstream: exponential service times
// at low and at high load must not collapse the limit of a warm one.
Test(limits_limiter, noise_does_not_collapse_the_limit) {
  for (auto Width : {1U, 6U})
    for (auto Seed = 1U; Seed <= 10; ++Seed) {
      auto Driver = driver{{10, 120}};
      auto Random = random_source{Seed};
      for (auto Round = 0; Round < 20'000; ++Round) {
        Driver.batch(Width, call_outcome::Success,
                     micros{Width == 1 ? 1'000'000 : 10'000}, [&Random] {
                       auto Latency =
                           -10'000 * std::log(1 - randomUnit(Random));
                       return micros{std::llround(Latency) + 1};
                     });
        cr_assert(Round < 1000 || !isCold(Driver.Limiter), "seed %u round %d",
                  Seed, Round);
      }
      auto Limit = currentLimit(Driver.Limiter, Driver.Now);
      cr_assert(Limit >= 8, "seed %u width %u limit %u", Seed, Width, Limit);
    }
}

// Guards against a limit that does not adapt to an upstream with fewer slots
// than announced, or that never recovers.
Test(limits_limiter, follows_the_true_capacity) {
  auto Driver = driver{{10, 120}};
  Driver.warmUp(micros{10'000});
  auto Run = [&Driver](std::uint32_t TrueSlots) {
    for (auto Round = 0; Round < 1500; ++Round) {
      auto Used = currentLimit(Driver.Limiter, Driver.Now);
      auto Slowdown = std::max(1.0, Used / double(TrueSlots));
      Driver.batch(Used, call_outcome::Success,
                   micros{std::llround(10'000 * Slowdown)});
    }
    return currentLimit(Driver.Limiter, Driver.Now);
  };
  auto Reduced = Run(5);
  cr_assert(Reduced >= 4 && Reduced <= 8, "%u", Reduced);
  auto Restored = Run(10);
  cr_assert(Restored == 10, "%u", Restored);
}

// Guards against new work for an upstream whose calls all hang.
Test(limits_limiter, stalled_calls_lower_the_limit) {
  auto Driver = driver{{10, 120}};
  Driver.warmUp(micros{10'000});
  onAdmit(Driver.Limiter, FarDeadline, Driver.Now);
  onStart(Driver.Limiter, Driver.Now);
  cr_assert(currentLimit(Driver.Limiter, Driver.Now) == 10);
  cr_assert(currentLimit(Driver.Limiter, Driver.Now + micros{600'000}) == 1);
}

// Guards against an upstream that became permanently slower and stays at the
// cold limit.
Test(limits_limiter, lasting_slowdown_is_accepted) {
  auto Driver = driver{{10, 120}};
  Driver.warmUp(micros{10'000});
  for (auto Round = 0; Round < 20; ++Round)
    Driver.batch(10, call_outcome::Success, micros{50'000});
  cr_assert(isCold(Driver.Limiter));
  for (auto Round = 0; Round < 500; ++Round)
    Driver.batch(10, call_outcome::Success, micros{50'000});
  cr_assert(!isCold(Driver.Limiter));
}

// Guards against a median that differs from that of the sorted samples.
Test(limits_limiter, median_agrees_with_sort) {
  cr_assert(rc::check("median", [](std::vector<std::uint32_t> Values) {
    auto Window = latency_window{};
    for (auto Value : Values)
      addSample(Window, micros{Value}, Start);
    if (Values.size() > latency_window::Capacity)
      Values.erase(Values.begin(), Values.end() - latency_window::Capacity);
    std::ranges::sort(Values);
    auto Expected = Values.empty() ? 0U : Values[Values.size() / 2];
    RC_ASSERT(medianLatency(Window) == micros{Expected});
  }));
}

// Guards against a restarted upstream that keeps the limit of the old process.
Test(limits_limiter, restart_is_cold) {
  auto Driver = driver{{10, 120}};
  Driver.warmUp(micros{10'000});
  onRestart(Driver.Limiter, true);
  cr_assert(currentLimit(Driver.Limiter, Driver.Now) == 1);
  cr_assert(expectedServiceTime(Driver.Limiter) > micros{0});
}
