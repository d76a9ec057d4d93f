/** @file table_evidence.cpp Likelihood ratio of a two-by-two table and an upper
 * confidence bound. */
#include "sycamorelb/moves/sequential_test_func.h"

#include <algorithm>
#include <cmath>

namespace sycamorelb::moves {

namespace {

/** Margins of a two-by-two table. Given these, the hits X of the new version
 * lie between low and high and have a noncentral hypergeometric distribution.
 */
struct table_margins {
  double New;  ///< Calls of the new version.
  double Old;  ///< Calls of the old version.
  double Hits; ///< Hits of both versions.

  [[nodiscard]] auto low() const -> double { return std::max(0.0, Hits - Old); }
  [[nodiscard]] auto high() const -> double { return std::min(Hits, New); }

  /** @return the weight of X + 1 divided by that of X at odds ratio 1. */
  [[nodiscard]] auto ratio(double X) const -> double {
    return (New - X) * (Hits - X) / ((X + 1) * (Old - Hits + X + 1));
  }

  /** @return the logarithm of the weight of X at odds ratio 1. */
  [[nodiscard]] auto logWeight(double X) const -> double {
    return -std::lgamma(X + 1) - std::lgamma(New - X + 1) -
           std::lgamma(Hits - X + 1) - std::lgamma(Old - Hits + X + 1);
  }
};

} // namespace

/** @return the mode of the distribution at the odds ratio. */
static auto modeOf(const table_margins &Margins, double Odds) -> double {
  auto Low = Margins.low();
  auto High = Margins.high();
  while (High - Low >= 1) {
    auto Middle = std::floor((Low + High) / 2);
    if (Margins.ratio(Middle) * Odds > 1) {
      Low = Middle + 1;
    } else {
      High = Middle;
    }
  }
  return Low;
}

/** @return the logarithm of the sum of all weights at the odds ratio. */
static auto logNormalizer(const table_margins &Margins, double Odds) -> double {
  constexpr auto Negligible = 1e-15;
  auto Mode = modeOf(Margins, Odds);
  auto Sum = 1.0;
  auto Term = 1.0;
  for (auto X = Mode; X < Margins.high() && Term > Negligible * Sum; ++X) {
    Term *= Margins.ratio(X) * Odds;
    Sum += Term;
  }
  Term = 1.0;
  for (auto X = Mode; X > Margins.low() && Term > Negligible * Sum; --X) {
    Term /= Margins.ratio(X - 1) * Odds;
    Sum += Term;
  }
  return Margins.logWeight(Mode) + Mode * std::log(Odds) + std::log(Sum);
}

auto logTableEvidence(std::uint64_t NewHits, std::uint64_t NewCalls,
                      std::uint64_t OldHits, std::uint64_t OldCalls,
                      double Null, double Alternative) -> double {
  auto Margins = table_margins{double(NewCalls), double(OldCalls),
                               double(NewHits + OldHits)};
  if (Margins.low() >= Margins.high()) {
    return 0; // Only one table has these margins.
  }
  auto LogOdds = std::log(Alternative) - std::log(Null);
  return double(NewHits) * LogOdds - logNormalizer(Margins, Alternative) +
         logNormalizer(Margins, Null);
}

auto upperBound(std::uint64_t Hits, std::uint64_t Calls,
                double ErrorProbability) -> double {
  if (Calls == 0 || Hits >= Calls) {
    return 1;
  }
  // Chernoff bound: Calls * KL(Seen, Bound) = log(1 / ErrorProbability).
  auto Seen = double(Hits) / double(Calls);
  auto Divergence = [Seen](double Bound) {
    auto Part = Seen > 0 ? Seen * std::log(Seen / Bound) : 0.0;
    return Part + (1 - Seen) * std::log((1 - Seen) / (1 - Bound));
  };
  auto Target = -std::log(ErrorProbability) / double(Calls);
  auto Low = Seen;
  auto High = 1.0;
  for (auto Round = 0; Round < 50; ++Round) {
    auto Middle = (Low + High) / 2;
    (Divergence(Middle) < Target ? Low : High) = Middle;
  }
  return High;
}

} // namespace sycamorelb::moves
