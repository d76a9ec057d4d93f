/** @file window.cpp Usage windows and true time. */
#include "sycamorelb/usage/window.h"

#include <algorithm>
#include <vector>

namespace sycamorelb::usage {

/** Age above which a sample is not used. Clocks drift by less than 10 ms in
 * that time, and a host hears from about one other a second. */
static constexpr auto MaxSampleAge = micros(60'000'000);
/** Most hosts that are sampled; bounds memory against invented names. */
static constexpr auto MaxSampledHosts = std::size_t{1024};
/** Samples with which one wrong clock doesn't decide the median. */
static constexpr auto EnoughSamples = std::size_t{3};

static auto steadyMillis(steady_time Time) -> std::int64_t {
  return Time.time_since_epoch().count() / 1000;
}

auto windowAt(std::int64_t WallMillis, millis Length) -> std::int64_t {
  auto Quotient = WallMillis / Length.count();
  return WallMillis % Length.count() < 0 ? Quotient - 1 : Quotient;
}

auto windowEnd(std::int64_t Window, millis Length) -> std::int64_t {
  return (Window + 1) * Length.count();
}

void recordClock(clock_samples &Clocks, const node_id &Node,
                 std::int64_t WallMillis, steady_time Now) {
  if (WallMillis <= 0 || (Clocks.Samples.size() >= MaxSampledHosts &&
                          !Clocks.Samples.contains(Node))) {
    return;
  }
  Clocks.Samples[Node] = {WallMillis - steadyMillis(Now), Now};
}

void dropOldSamples(clock_samples &Clocks, steady_time Now) {
  std::erase_if(Clocks.Samples, [Now](const auto &Entry) {
    return Now - Entry.second.TakenAt > MaxSampleAge;
  });
}

auto trueTime(const clock_samples &Clocks, steady_time Now) -> std::int64_t {
  auto Offsets = std::vector<std::int64_t>();
  for (const auto &[Node, Sample] : Clocks.Samples) {
    Offsets.push_back(Sample.OffsetMillis);
  }
  if (Offsets.empty()) {
    return 0;
  }
  std::sort(Offsets.begin(), Offsets.end());
  auto Upper = Offsets[Offsets.size() / 2];
  auto Lower = Offsets[(Offsets.size() - 1) / 2];
  return Lower + (Upper - Lower) / 2 + steadyMillis(Now);
}

auto hasEnoughSamples(const clock_samples &Clocks, std::size_t Hosts) -> bool {
  return Clocks.Samples.size() >= std::min(EnoughSamples, Hosts);
}

} // namespace sycamorelb::usage
