/** @file node_counters.h Metrics of a node in the Prometheus format. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace sycamorelb::sidecar {

/** Upper bounds of the latency buckets, in milliseconds. */
inline constexpr auto LatencyBucketsMs =
    std::array<std::int64_t, 10>{5, 10, 25, 50, 100, 200, 400, 800, 1600, 3200};

/** Latency histogram of one route. */
struct latency_histogram {
  std::array<std::uint64_t, LatencyBucketsMs.size() + 1> Buckets{}; ///< Counts.
  std::uint64_t SumMicros = 0; ///< Sum of all latencies.
};

/** Records one latency. */
void recordLatency(latency_histogram &Histogram, micros Latency);

/** Messages sent to other nodes. */
struct message_counts {
  std::uint64_t Messages = 0; ///< Number.
  std::uint64_t Bytes = 0;    ///< Size.
};

/** Counters of a node. */
struct node_counters {
  std::map<std::string, std::uint64_t> Calls;       ///< By final outcome.
  std::map<std::string, std::uint64_t> Admissions;  ///< By local outcome.
  std::map<std::string, std::uint64_t> StoreCalls;  ///< By call and outcome.
  std::map<std::string, std::uint64_t> BadInput;    ///< By source.
  std::map<std::string, std::uint64_t> KeyRefusals; ///< By reason.
  /** Health checks that decide whether the target is used, by result. */
  std::map<std::string, std::uint64_t> TargetChecks;
  /** Connections closed to protect memory and descriptors, by cause. */
  std::map<std::string, std::uint64_t> CallersClosed;
  std::uint64_t Retries = 0;        ///< Retries of failed calls.
  std::uint64_t Bounces = 0;        ///< Attempts that were not run.
  std::uint64_t LinksLost = 0;      ///< Peer connections lost.
  std::uint64_t RepliesDropped = 0; ///< Answers without memory for them.
  /** By kind, and whether the other node is in the same zone. */
  std::map<std::pair<std::string_view, bool>, message_counts> PeerTraffic;
  std::uint64_t TargetConnections = 0;               ///< Opened to the target.
  std::map<std::string, std::uint64_t> UsageWindows; ///< By result.
  std::map<route_id, latency_histogram> Latency;     ///< By route.
};

/** Gauges that are sampled when the metrics are rendered. */
struct node_gauges {
  std::uint64_t ConfigVersion = 0; ///< Applied version.
  double ConfigAgeSeconds = 0;     ///< Since it was applied.
  std::uint64_t Hosts = 0;         ///< Known hosts.
  std::uint64_t Running = 0;       ///< Calls at the target.
  std::uint64_t Queued = 0;        ///< Calls queued for a slot.
  std::uint64_t Concurrency = 0;   ///< Learned limit of the target, or 0.
  std::uint64_t WorkPercent = 0;   ///< Work time of the target now, or 0.
  std::uint64_t OpenCalls = 0;     ///< Local callers' calls.
  std::uint64_t Suppressed = 0;    ///< Log lines dropped.
  std::uint64_t Pipelined = 0;     ///< Requests begun beside earlier ones.
  std::uint64_t HeldResponses = 0; ///< Responses that waited for earlier ones.
  std::uint64_t HeldBytes = 0;     ///< Size of those that wait now.
  std::uint64_t StoreEra = 0;      ///< Newest era of the store; 0: unknown.
  std::uint64_t BufferBytes = 0;   ///< Charged to the memory budget.
  std::uint64_t BufferPeak = 0;    ///< Most bytes ever charged to it.
  std::uint64_t BufferLimit = 0;   ///< Its limit; 0 for none.
  std::uint64_t Callers = 0;       ///< Connections of callers.
  bool StoreLost = false;          ///< The store is unreachable.
  bool IsUsageHolder = false;      ///< This node sends the usage reports.
  std::uint64_t UsageToken = 0;    ///< Highest token known.
  std::uint64_t UsageEra = 0;      ///< Era of the store as its holders know it.
};

/** @return the metrics in the Prometheus text format. */
auto renderMetrics(const node_counters &Counters, const node_gauges &Gauges)
    -> std::string;

} // namespace sycamorelb::sidecar
