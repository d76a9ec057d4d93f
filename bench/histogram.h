/** @file histogram.h Log-linear histogram of latencies. */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace sycamorelb::bench {

/** Counts of values; a bucket is at most 1/32 of its value wide. */
struct histogram {
  static constexpr unsigned SubBits = 5; ///< Bits kept below the highest one.
  static constexpr std::size_t Buckets = std::size_t{64 - SubBits + 1}
                                         << SubBits; ///< Covers 64 bits.
  std::array<std::uint64_t, Buckets> Counts{};       ///< Values per bucket.
  std::uint64_t Total = 0;                           ///< Values counted.
  std::uint64_t Max = 0; ///< Greatest value counted.
};

/** Counts a value. */
void record(histogram &Histogram, std::uint64_t Value);

/** Adds all values of another histogram. */
void merge(histogram &Into, const histogram &From);

/**
 * @param Ratio share of the values, from 0 to 1.
 * @return the greatest value of the bucket that contains the quantile, at most
 * the greatest value counted; 0 for an empty histogram.
 */
auto quantile(const histogram &Histogram, double Ratio) -> std::uint64_t;

} // namespace sycamorelb::bench
