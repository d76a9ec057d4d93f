/** @file limits_budget_test.cpp Tests of budgets, allowances and deadlines. */
#include "sycamorelb/core/random_func.h"
#include "sycamorelb/limits/budget_func.h"
#include "sycamorelb/limits/deadline_func.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <vector>

using namespace sycamorelb;
using namespace sycamorelb::limits;

namespace {

constexpr auto Start = steady_time{micros{1'000'000'000}};

/** A call and the calls nested in it. */
struct call {
  std::vector<call> Nested;
};

/** Runs calls that fail at random and counts their attempts. */
struct call_run {
  random_source Random;
  std::uint32_t FailPercent;
  std::uint32_t Attempts = 0;

  auto chance(std::uint32_t Percent) -> bool {
    return randomBelow(Random, 100) < Percent;
  }

  /** @return the reported remaining allowance; nullopt for a lost response. */
  auto report(std::uint32_t Left) -> std::optional<std::uint32_t> {
    return chance(20) ? std::nullopt : std::optional{Left};
  }

  /** Makes attempts until one succeeds or none is left.
   * @return what is left of the allowance. */
  auto run(const call &Call, attempt_allowance Allowance) -> std::uint32_t {
    while (true) {
      auto Sent = takeForAttempt(Allowance);
      auto Parent = attempt_allowance{Sent};
      ++Attempts;
      for (const auto &Nested : Call.Nested) {
        auto Part = takeForNestedCall(Parent);
        auto Left = run(Nested, Part);
        returnUnused(Parent, Part.Left, report(Left));
      }
      returnUnused(Allowance, Sent, report(Parent.Left));
      if (!chance(FailPercent) || !takeExtraAttempt(Allowance))
        return Allowance.Left;
    }
  }
};

/** @return a random call tree; adds its number of calls to Calls, and adds no
 * children beyond 60. */
auto makeTree(random_source &Random, int Depth, std::uint32_t &Calls) -> call {
  auto Call = call{};
  ++Calls;
  auto Fanout = 1 + randomBelow(Random, 3);
  for (auto Child = 0U; Child < Fanout && Depth > 1 && Calls < 60; ++Child)
    Call.Nested.push_back(makeTree(Random, Depth - 1, Calls));
  return Call;
}

} // namespace

// Guards against retry amplification over nested calls: with allowance A and T
// calls in the tree, at most (1 + A) * T attempts are made.
Test(limits_budget, attempts_are_bounded_over_the_call_tree) {
  cr_assert(rc::check("attempt bound", [](std::uint64_t Seed) {
    auto Random = random_source{Seed};
    auto Calls = 0U;
    auto Tree = makeTree(Random, *rc::gen::inRange(1, 25), Calls);
    auto Fail = *rc::gen::element(10U, 50U, 100U);
    auto Run = call_run{random_source{Seed + 1}, Fail};
    Run.run(Tree, {RootAllowance});
    RC_ASSERT(Run.Attempts >= Calls);
    RC_ASSERT(Run.Attempts <= (1 + RootAllowance) * Calls);
  }));
}

// Guards against an attempt bound that does not hold for a long chain: 24
// nested calls in which every attempt fails.
Test(limits_budget, failing_chain_of_24_is_bounded) {
  auto Chain = call{};
  for (auto Level = 1; Level < 24; ++Level) {
    auto Outer = call{};
    Outer.Nested.push_back(Chain);
    Chain = Outer;
  }
  for (auto Seed = 1U; Seed <= 100; ++Seed) {
    auto Run = call_run{random_source{Seed}, 100};
    Run.run(Chain, {RootAllowance});
    cr_assert(Run.Attempts > 24 && Run.Attempts <= (1 + RootAllowance) * 24);
  }
}

// Guards against a report that creates allowance.
Test(limits_budget, wrong_report_returns_at_most_what_was_taken) {
  auto Call = attempt_allowance{5};
  auto Taken = takeForAttempt(Call);
  returnUnused(Call, Taken, 4'000'000'000U);
  cr_assert(Call.Left == 5);
}

// Guards against a deeply nested call that cannot be retried although its
// callers have allowance.
Test(limits_budget, deepest_call_can_be_retried) {
  auto Left = RootAllowance;
  for (auto Level = 0; Level < 24; ++Level) {
    auto Allowance = attempt_allowance{Left};
    Left = takeForAttempt(Allowance);
    auto Parent = attempt_allowance{Left};
    Left = takeForNestedCall(Parent).Left;
  }
  cr_assert(Left >= 1);
}

// Guards against more extra attempts than the percentage and the minimum rate
// allow.
Test(limits_budget, extra_attempts_stay_within_the_budget) {
  cr_assert(rc::check("budget bound", [] {
    auto Config = budget_config{*rc::gen::inRange(0U, 101U)};
    auto Budget = attempt_budget{};
    auto Now = Start;
    auto Calls = 0;
    auto Taken = 0;
    for (auto Step = 0; Step < 500; ++Step) {
      Now += micros{*rc::gen::inRange(0, 100'000)};
      if (*rc::gen::arbitrary<bool>()) {
        onCall(Budget, Config);
        ++Calls;
      }
      Taken += tryTake(Budget, Config, Now) ? 1 : 0;
      auto Seconds = static_cast<double>((Now - Start).count()) / 1e6;
      auto Allowed =
          1 + Config.Percent / 100.0 * Calls + Config.MinPerSecond * Seconds;
      RC_ASSERT(Taken <= Allowed + 1e-6);
      RC_ASSERT(Config.Percent > 0 || Taken == 0);
    }
  }));
}

// Guards against a route with few calls that can never retry.
Test(limits_budget, minimum_rate_serves_routes_with_few_calls) {
  auto Config = budget_config{10};
  auto Budget = attempt_budget{};
  cr_assert(tryTake(Budget, Config, Start));
  cr_assert(!tryTake(Budget, Config, Start + micros{1'000'000}));
  cr_assert(tryTake(Budget, Config, Start + micros{5'000'000}));
}

// Guards against a deadline that grows from hop to hop or is sent although no
// time is left.
Test(limits_budget, deadlines_shrink_at_each_hop) {
  cr_assert(rc::check("deadline", [] {
    auto Remaining = std::optional{millis{*rc::gen::inRange(1, 5000)}};
    auto Now = Start;
    auto End = Start + *Remaining;
    for (auto Hop = 0; Hop < 24 && Remaining; ++Hop) {
      auto OneWayLatency = micros{*rc::gen::inRange(0, 8'000)};
      auto Deadline = callDeadline(Remaining, millis{10'000}, Now);
      RC_ASSERT(Deadline <= End);
      Now += micros{*rc::gen::inRange(0, 50'000)};
      Remaining = remainingForHop(Deadline, OneWayLatency, Now);
      RC_ASSERT(!Remaining || Remaining->count() > 0);
      RC_ASSERT(!Remaining || Now + OneWayLatency + *Remaining < Deadline);
    }
  }));
}

// Guards against headers that are parsed wrongly: signs, blanks, overflow and
// text that is no number.
Test(limits_budget, headers_are_parsed_strictly) {
  for (const auto *Bad : {"", "-1", "+1", " 1", "1 ", "1.5", "0x1", "abc"}) {
    cr_assert(!parseDeadline(Bad), "%s", Bad);
    cr_assert(!parseAllowance(Bad), "%s", Bad);
  }
  cr_assert(parseDeadline("250") == millis{250});
  cr_assert(parseDeadline("99999999999999999999999") == MaxDeadline);
  cr_assert(parseAllowance("3") == 3U);
  cr_assert(parseAllowance("4000000000") == RootAllowance);
  cr_assert(parseDeadline(renderDeadline(millis{77})) == millis{77});
}
