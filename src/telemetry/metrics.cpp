/** @file metrics.cpp Metrics registry based on prometheus-cpp. */
#include "sycamorelb/telemetry/metrics.h"

#include "telemetry/table/metric_table.h"

#include <algorithm>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace sycamorelb::telemetry {

/** Bucket bounds in seconds, from 100 us to 10 s, with a bound at the latency
 * target of 0.75 ms. */
static auto latencyBuckets()
    -> const prometheus::Histogram::BucketBoundaries & {
  static const auto Buckets = prometheus::Histogram::BucketBoundaries{
      0.0001, 0.00025, 0.0005, 0.00075, 0.001, 0.0025, 0.005, 0.01,
      0.025,  0.05,    0.1,    0.25,    0.5,   1.0,    2.5,   10.0};
  return Buckets;
}

struct metrics::implementation {
  static constexpr auto Size = static_cast<std::size_t>(metric::Count);
  prometheus::Registry Registry;
  std::array<prometheus::Family<prometheus::Counter> *, Size> Counters{};
  std::array<prometheus::Family<prometheus::Gauge> *, Size> Gauges{};
  std::array<prometheus::Family<prometheus::Histogram> *, Size> Histograms{};
};

metrics::metrics() : Impl(std::make_unique<implementation>()) {
  for (const auto &Row : MetricTable) {
    auto Index = static_cast<std::size_t>(Row.Metric);
    switch (Row.Kind) {
    case metric_kind::Counter:
      Impl->Counters[Index] =
          &prometheus::BuildCounter().Name(Row.Name).Help(Row.Help).Register(
              Impl->Registry);
      break;
    case metric_kind::Gauge:
      Impl->Gauges[Index] =
          &prometheus::BuildGauge().Name(Row.Name).Help(Row.Help).Register(
              Impl->Registry);
      break;
    case metric_kind::Histogram:
      Impl->Histograms[Index] =
          &prometheus::BuildHistogram().Name(Row.Name).Help(Row.Help).Register(
              Impl->Registry);
      break;
    }
  }
}

metrics::~metrics() = default;

void metrics::increment(metric Metric, const metric_labels &Labels,
                        double Amount) {
  Impl->Counters.at(static_cast<std::size_t>(Metric))
      ->Add(Labels)
      .Increment(Amount);
}

void metrics::raiseCounterTo(metric Metric, const metric_labels &Labels,
                             double Total) {
  auto &Counter =
      Impl->Counters.at(static_cast<std::size_t>(Metric))->Add(Labels);
  auto Increase = Total - Counter.Value();
  if (Increase > 0) {
    Counter.Increment(Increase);
  }
}

void metrics::set(metric Metric, const metric_labels &Labels, double Value) {
  Impl->Gauges.at(static_cast<std::size_t>(Metric))->Add(Labels).Set(Value);
}

void metrics::observe(metric Metric, const metric_labels &Labels,
                      micros Duration) {
  Impl->Histograms.at(static_cast<std::size_t>(Metric))
      ->Add(Labels, latencyBuckets())
      .Observe(static_cast<double>(Duration.count()) / 1e6);
}

static auto kindName(metric_kind Kind) -> const char * {
  switch (Kind) {
  case metric_kind::Counter:
    return "counter";
  case metric_kind::Gauge:
    return "gauge";
  case metric_kind::Histogram:
    return "histogram";
  }
  return "untyped";
}

auto metrics::render() const -> std::string {
  auto Families = Impl->Registry.Collect();
  auto Text = prometheus::TextSerializer().Serialize(Families);
  // The registry omits families without samples. Their headers are added, so
  // that scrapers and dashboards can tell them from metrics that do not exist.
  for (const auto &Row : MetricTable) {
    auto HasSamples = std::any_of(
        Families.begin(), Families.end(),
        [&Row](const auto &Family) { return Family.name == Row.Name; });
    if (!HasSamples) {
      Text += std::string("# HELP ") + Row.Name + " " + Row.Help + "\n# TYPE " +
              Row.Name + " " + kindName(Row.Kind) + "\n";
    }
  }
  return Text;
}

} // namespace sycamorelb::telemetry
