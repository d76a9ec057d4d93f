/** @file bench_histogram_test.cpp Tests of the load tool's histogram. */
#include "../bench/histogram.h"

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <vector>

using namespace sycamorelb::bench;

// Guards against quantiles below the exact one or more than a bucket width
// above it, and against values lost in a merge.
Test(bench_histogram, quantiles_match_sorted_values) {
  cr_assert(rc::check("quantile against sorted values", [] {
    auto Values = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<std::uint64_t>>(rc::gen::apply(
            [](std::uint64_t Value, unsigned Shift) { return Value >> Shift; },
            rc::gen::arbitrary<std::uint64_t>(), rc::gen::inRange(0U, 64U))));
    auto Ratio = *rc::gen::element(0.0, 0.5, 0.99, 0.999, 1.0);
    auto Even = histogram{};
    auto Odd = histogram{};
    for (auto Index = std::size_t{0}; Index < Values.size(); ++Index) {
      record(Index % 2 == 0 ? Even : Odd, Values[Index]);
    }
    merge(Even, Odd);
    std::sort(Values.begin(), Values.end());
    auto Rank = static_cast<std::size_t>(
        std::ceil(Ratio * static_cast<double>(Values.size())));
    auto Exact = Values[std::max<std::size_t>(Rank, 1) - 1];
    auto Found = quantile(Even, Ratio);
    RC_ASSERT(Even.Total == Values.size());
    RC_ASSERT(Even.Max == Values.back());
    RC_ASSERT(Found >= Exact);
    RC_ASSERT(Found - Exact <= Exact / 32);
  }));
}

// Guards against a crash or a nonzero quantile when no call completed.
Test(bench_histogram, empty_histogram_has_quantile_zero) {
  cr_assert_eq(quantile(histogram{}, 0.99), 0);
}
