/** @file budget_func.h Budgets that bound retries, hedges and attempts. */
#pragma once

#include "sycamorelb/core/unit_type.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace sycamorelb::limits {

/** Tuning of a token bucket for extra attempts. */
struct budget_config {
  std::uint32_t Percent = 0; ///< Extra attempts per 100 calls; 0 for none.
  double MinPerSecond = 0.2; ///< Rate that routes with few calls may use too.
  double MaxTokens = 20;     ///< Largest number of saved extra attempts.
};

/** Token bucket for retries or hedges. */
struct attempt_budget {
  double Tokens = 1;        ///< Extra attempts available.
  steady_time RefilledAt{}; ///< Last refill by time.
};

/** Records a first attempt, which earns a part of an extra one. */
void onCall(attempt_budget &Budget, const budget_config &Config);

/** @return whether an extra attempt may be made; takes its token. */
auto tryTake(attempt_budget &Budget, const budget_config &Config,
             steady_time Now) -> bool;

/** Extra attempts that one root call may cause in its whole call tree. */
inline constexpr std::uint32_t RootAllowance = 6;

/**
 * Extra attempts left for a call and all calls nested in it. Allowance is only
 * moved or spent, never created. Hence a root call with allowance A whose call
 * tree has T calls makes at most A extra attempts itself and, as each repeats
 * at most the whole tree, at most (1 + A) * T attempts at any depth,
 * provided that no node reports more as left than is.
 */
struct attempt_allowance {
  std::uint32_t Left = RootAllowance; ///< Extra attempts left.
};

/**
 * Takes the part of a call's allowance that is sent along with an attempt in
 * x-sycamore-attempts. One extra attempt stays with the call as long as another
 * remains for the calls below it: a failure deep in the tree is cheapest to
 * repeat where it arises.
 */
auto takeForAttempt(attempt_allowance &Call) -> std::uint32_t;

/**
 * Takes the part of a parent's allowance for one of its nested calls: half,
 * rounded up, so that parallel nested calls find some left.
 */
auto takeForNestedCall(attempt_allowance &Parent) -> attempt_allowance;

/**
 * Gives back what an attempt or a nested call did not use.
 * @param Taken what was taken for it.
 * @param Left what it reports as left; nullopt if unknown, which counts as
 * used. An attempt that was not run left everything.
 */
void giveBack(attempt_allowance &Owner, std::uint32_t Taken,
              std::optional<std::uint32_t> Left);

/** @return whether an extra attempt may be made; takes it. */
auto takeExtraAttempt(attempt_allowance &Call) -> bool;

/** @return the value of an x-sycamore-attempts header, at most RootAllowance;
 * nullopt if it is not a number. */
auto parseAllowance(std::string_view Header) -> std::optional<std::uint32_t>;

} // namespace sycamorelb::limits
