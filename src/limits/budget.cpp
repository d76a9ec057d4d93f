/** @file budget.cpp Token buckets and attempt allowances. */
#include "sycamorelb/limits/budget_func.h"

#include <algorithm>
#include <charconv>

namespace sycamorelb::limits {

namespace {

/** @return the number in Text; nullopt unless all of it is decimal digits. */
auto parseCount(std::string_view Text) -> std::optional<std::uint32_t> {
  auto Value = std::uint32_t{0};
  const auto *End = Text.data() + Text.size();
  auto [Stop, Failure] = std::from_chars(Text.data(), End, Value);
  if (Failure != std::errc{} || Stop != End)
    return std::nullopt;
  return Value;
}

} // namespace

void onCall(attempt_budget &Budget, const budget_config &Config) {
  Budget.Tokens =
      std::min(Budget.Tokens + Config.Percent / 100.0, Config.MaxTokens);
}

auto tryTake(attempt_budget &Budget, const budget_config &Config,
             steady_time Now) -> bool {
  if (Config.Percent == 0)
    return false;
  auto Elapsed = std::max(Now - Budget.RefilledAt, micros{0});
  auto Refill =
      Config.MinPerSecond * static_cast<double>(Elapsed.count()) / 1e6;
  // The time-based refill stops at one token, so that a period with few calls
  // does not allow a burst of retries later.
  if (Budget.Tokens < 1)
    Budget.Tokens = std::min(Budget.Tokens + Refill, 1.0);
  Budget.RefilledAt = std::max(Budget.RefilledAt, Now);
  if (Budget.Tokens < 1)
    return false;
  Budget.Tokens -= 1;
  return true;
}

auto takeForAttempt(attempt_allowance &Call) -> std::uint32_t {
  auto Kept = Call.Left >= 2 ? 1U : 0U;
  auto Taken = Call.Left - Kept;
  Call.Left = Kept;
  return Taken;
}

auto takeForNestedCall(attempt_allowance &Parent) -> attempt_allowance {
  auto Taken = Parent.Left - Parent.Left / 2;
  Parent.Left -= Taken;
  return {Taken};
}

void returnUnused(attempt_allowance &Owner, std::uint32_t Taken,
                  std::optional<std::uint32_t> Left) {
  // A report above what was taken must not create allowance.
  Owner.Left += std::min(Left.value_or(0), Taken);
}

auto takeExtraAttempt(attempt_allowance &Call) -> bool {
  if (Call.Left == 0)
    return false;
  --Call.Left;
  return true;
}

auto parseAllowance(std::string_view Header) -> std::optional<std::uint32_t> {
  auto Value = parseCount(Header);
  if (!Value)
    return std::nullopt;
  return std::min(*Value, RootAllowance);
}

} // namespace sycamorelb::limits
