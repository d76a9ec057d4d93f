/** @file node_counters.h Counters of one node, rendered for Prometheus. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace sycamorelb::sidecar {

/** Upper bounds of the latency buckets, in milliseconds. */
inline constexpr auto LatencyBucketsMs =
    std::array<std::int64_t, 10>{5, 10, 25, 50, 100, 200, 400, 800, 1600, 3200};

/** Latencies of one route. */
struct latency_histogram {
  std::array<std::uint64_t, LatencyBucketsMs.size() + 1> Buckets{}; ///< Counts.
  std::uint64_t SumMicros = 0; ///< Sum of all latencies.
};

/** Adds one latency. */
void observe(latency_histogram &Histogram, micros Latency);

/** Counters of one node. */
struct node_counters {
  std::map<std::string, std::uint64_t> Calls;      ///< By final outcome.
  std::map<std::string, std::uint64_t> Admissions; ///< By outcome here.
  std::map<std::string, std::uint64_t> StoreCalls; ///< By call and outcome.
  std::map<std::string, std::uint64_t> BadInput;   ///< By source.
  std::uint64_t Repeats = 0;                       ///< Calls sent once more.
  std::uint64_t Bounces = 0;                       ///< Refusals by other nodes.
  std::uint64_t LinksLost = 0;                   ///< Connections to nodes lost.
  std::uint64_t TargetConnections = 0;           ///< Opened to the target.
  std::map<route_id, latency_histogram> Latency; ///< By route.
};

/** Values that are read when the metrics are rendered. */
struct node_gauges {
  std::uint64_t ConfigVersion = 0; ///< Version in force.
  double ConfigAgeSeconds = 0;     ///< Since it was applied.
  std::uint64_t Hosts = 0;         ///< Hosts known.
  std::uint64_t Running = 0;       ///< Calls at the target.
  std::uint64_t Queued = 0;        ///< Calls that wait for a slot.
  std::uint64_t OpenCalls = 0;     ///< Calls of own callers.
  std::uint64_t Suppressed = 0;    ///< Log lines left out.
  bool StoreLost = false;          ///< The store can't be read.
};

/** @return the metrics in the Prometheus text format. */
auto renderMetrics(const node_counters &Counters, const node_gauges &Gauges)
    -> std::string;

} // namespace sycamorelb::sidecar
