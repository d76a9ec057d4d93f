/** @file histogram.cpp Log-linear histogram of latencies. */
#include "histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace sycamorelb::bench {

static constexpr auto SubBucketCount = std::uint64_t{1}
                                       << histogram::SubBucketBits;

/** @return the bucket of a value. Each value below SubBucketCount has its own.
 */
static auto findBucket(std::uint64_t Value) -> std::size_t {
  if (Value < SubBucketCount) {
    return Value;
  }
  auto Shift = static_cast<unsigned>(std::bit_width(Value)) - 1 -
               histogram::SubBucketBits;
  return ((std::size_t{Shift} + 1) << histogram::SubBucketBits) +
         ((Value >> Shift) - SubBucketCount);
}

/** @return the largest value of a bucket. */
static auto upperBound(std::size_t Bucket) -> std::uint64_t {
  if (Bucket < SubBucketCount) {
    return Bucket;
  }
  auto Shift = (Bucket >> histogram::SubBucketBits) - 1;
  auto Lowest = (SubBucketCount + (Bucket & (SubBucketCount - 1))) << Shift;
  return Lowest + ((std::uint64_t{1} << Shift) - 1);
}

void record(histogram &Histogram, std::uint64_t Value) {
  ++Histogram.Counts[findBucket(Value)];
  ++Histogram.Total;
  Histogram.Max = std::max(Histogram.Max, Value);
}

void merge(histogram &Into, const histogram &From) {
  for (auto Bucket = std::size_t{0}; Bucket < histogram::BucketCount;
       ++Bucket) {
    Into.Counts[Bucket] += From.Counts[Bucket];
  }
  Into.Total += From.Total;
  Into.Max = std::max(Into.Max, From.Max);
}

auto quantile(const histogram &Histogram, double Ratio) -> std::uint64_t {
  auto Rank = static_cast<std::uint64_t>(
      std::ceil(Ratio * static_cast<double>(Histogram.Total)));
  auto Cumulative = std::uint64_t{0};
  for (auto Bucket = std::size_t{0}; Bucket < histogram::BucketCount;
       ++Bucket) {
    Cumulative += Histogram.Counts[Bucket];
    if (Cumulative >= std::max(Rank, std::uint64_t{1})) {
      return std::min(upperBound(Bucket), Histogram.Max);
    }
  }
  return 0;
}

} // namespace sycamorelb::bench
