/** @file metrics.h Counters, gauges and histograms of one node. */
#pragma once

#include "sycamorelb/core/unit_type.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace sycamorelb::telemetry {

/** All metrics; names and help texts are in telemetry/table/metric_table.h. */
enum class metric : std::uint8_t {
  Attempts,
  Refusals,
  Retries,
  Hedges,
  AttemptSeconds,
  ConfigPosition,
  ConfigBehindSeconds,
  ConfigPulls,
  LogReads,
  LogAppends,
  Members,
  DatagramBytes,
  DatagramsDropped,
  UpstreamLimit,
  UpstreamInFlight,
  MoveSharePpm,
  MoveBrakes,
  Claims,
  SilentConnections,
  Count,
};

using metric_labels = std::map<std::string, std::string>;

/** Registry of the node's metrics. Thread-safe. */
class metrics {
public:
  metrics();
  ~metrics();
  metrics(const metrics &) = delete;
  auto operator=(const metrics &) -> metrics & = delete;

  /** Adds Amount to a counter. */
  void increment(metric Metric, const metric_labels &Labels = {},
                 double Amount = 1.0);
  /** Raises a counter to a total that is maintained elsewhere; a lower total is
   * ignored. */
  void raiseCounterTo(metric Metric, const metric_labels &Labels, double Total);
  /** Sets a gauge. */
  void set(metric Metric, const metric_labels &Labels, double Value);
  /** Records a duration in a histogram of seconds. */
  void observe(metric Metric, const metric_labels &Labels, micros Duration);
  /** @return all metrics in the Prometheus text format. */
  auto render() const -> std::string;

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::telemetry
