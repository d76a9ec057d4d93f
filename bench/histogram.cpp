/** @file histogram.cpp Log-linear histogram of latencies. */
#include "histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace sycamorelb::bench {

static constexpr auto SubCount = std::uint64_t{1} << histogram::SubBits;

/** @return the bucket of a value; values below 2^SubBits have one each. */
static auto bucketOf(std::uint64_t Value) -> std::size_t {
  if (Value < SubCount) {
    return Value;
  }
  auto Shift =
      static_cast<unsigned>(std::bit_width(Value)) - 1 - histogram::SubBits;
  return ((std::size_t{Shift} + 1) << histogram::SubBits) +
         ((Value >> Shift) - SubCount);
}

/** @return the greatest value of a bucket. */
static auto upperBound(std::size_t Bucket) -> std::uint64_t {
  if (Bucket < SubCount) {
    return Bucket;
  }
  auto Shift = (Bucket >> histogram::SubBits) - 1;
  auto Lowest = (SubCount + (Bucket & (SubCount - 1))) << Shift;
  return Lowest + ((std::uint64_t{1} << Shift) - 1);
}

void record(histogram &Histogram, std::uint64_t Value) {
  ++Histogram.Counts[bucketOf(Value)];
  ++Histogram.Total;
  Histogram.Max = std::max(Histogram.Max, Value);
}

void merge(histogram &Into, const histogram &From) {
  for (auto Bucket = std::size_t{0}; Bucket < histogram::Buckets; ++Bucket) {
    Into.Counts[Bucket] += From.Counts[Bucket];
  }
  Into.Total += From.Total;
  Into.Max = std::max(Into.Max, From.Max);
}

auto quantile(const histogram &Histogram, double Ratio) -> std::uint64_t {
  auto Wanted = static_cast<std::uint64_t>(
      std::ceil(Ratio * static_cast<double>(Histogram.Total)));
  auto Seen = std::uint64_t{0};
  for (auto Bucket = std::size_t{0}; Bucket < histogram::Buckets; ++Bucket) {
    Seen += Histogram.Counts[Bucket];
    if (Seen >= std::max(Wanted, std::uint64_t{1})) {
      return std::min(upperBound(Bucket), Histogram.Max);
    }
  }
  return 0;
}

} // namespace sycamorelb::bench
