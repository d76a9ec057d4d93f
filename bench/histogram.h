/** @file histogram.h Log-linear histogram of latencies. */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace sycamorelb::bench {

/** Log-linear histogram. The width of a bucket is at most 1/32 of its values.
 */
struct histogram {
  static constexpr unsigned SubBucketBits = 5; ///< Bits below the highest.
  static constexpr std::size_t BucketCount =
      std::size_t{64 - SubBucketBits + 1}
      << SubBucketBits; ///< Covers all 64-bit values.
  std::array<std::uint64_t, BucketCount> Counts{}; ///< Values per bucket.
  std::uint64_t Total = 0;                         ///< Values counted.
  std::uint64_t Max = 0;                           ///< Largest value counted.
};

/** Counts a value. */
void record(histogram &Histogram, std::uint64_t Value);

/** Adds all values of another histogram. */
void merge(histogram &Into, const histogram &From);

/**
 * @param Ratio share of the values, from 0 to 1.
 * @return the largest value of the bucket that contains the quantile, but at
 * most the largest value counted; 0 for an empty histogram.
 */
auto quantile(const histogram &Histogram, double Ratio) -> std::uint64_t;

} // namespace sycamorelb::bench
