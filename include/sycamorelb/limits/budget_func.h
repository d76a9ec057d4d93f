/** @file budget_func.h Budgets for retries and hedges. */
#pragma once

#include "sycamorelb/core/unit_type.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace sycamorelb::limits {

/** Parameters of a token bucket for extra attempts. */
struct budget_config {
  std::uint32_t Percent = 0; ///< Extra attempts per 100 calls; 0 for none.
  double MinPerSecond = 0.2; ///< Minimum rate, for routes with few calls.
  double MaxTokens = 20;     ///< Bucket size.
};

/** Token bucket for retries or hedges. */
struct attempt_budget {
  double Tokens = 1;        ///< Available extra attempts.
  steady_time RefilledAt{}; ///< Last time-based refill.
};

/** Records a first attempt, which adds a fraction of a token. */
void onCall(attempt_budget &Budget, const budget_config &Config);

/** Takes a token for an extra attempt.
 * @return whether there was one. */
auto tryTake(attempt_budget &Budget, const budget_config &Config,
             steady_time Now) -> bool;

/** Maximum number of extra attempts in the whole call tree of a root call. */
inline constexpr std::uint32_t RootAllowance = 6;

/**
 * Extra attempts left for a call and all calls nested in it. Allowance is
 * passed on or spent, never created. Hence a root call with allowance A and a
 * call tree of T calls makes at most A extra attempts itself and, as each of
 * them repeats at most the whole tree, at most (1 + A) * T attempts at all
 * depths, provided that no node reports more allowance than is left.
 */
struct attempt_allowance {
  std::uint32_t Left = RootAllowance; ///< Extra attempts left.
};

/**
 * Takes the part of a call's allowance that is sent with an attempt in
 * x-sycamore-attempts. The call keeps one extra attempt for itself only if at
 * least one is left for its nested calls: a failure deep in the tree is
 * cheapest to retry where it occurs.
 */
auto takeForAttempt(attempt_allowance &Call) -> std::uint32_t;

/**
 * Takes half of a parent's allowance, rounded up, for one of its nested calls,
 * so that some is left for parallel nested calls.
 */
auto takeForNestedCall(attempt_allowance &Parent) -> attempt_allowance;

/**
 * Returns the allowance that an attempt or a nested call did not use.
 * @param Taken allowance that was taken for it.
 * @param Left allowance that it reports as left; nullopt if unknown, which
 * counts as all used. For an attempt that was not run it is all of Taken.
 */
void returnUnused(attempt_allowance &Owner, std::uint32_t Taken,
                  std::optional<std::uint32_t> Left);

/** Spends one extra attempt.
 * @return whether there was one. */
auto takeExtraAttempt(attempt_allowance &Call) -> bool;

/** @return the value of an x-sycamore-attempts header, at most RootAllowance;
 * nullopt if it is not a number. */
auto parseAllowance(std::string_view Header) -> std::optional<std::uint32_t>;

} // namespace sycamorelb::limits
