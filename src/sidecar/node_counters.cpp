/** @file node_counters.cpp Renders the metrics of a node. */
#include "sidecar/node_counters.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <vector>

namespace sycamorelb::sidecar {

void recordLatency(latency_histogram &Histogram, micros Latency) {
  auto Index = std::size_t{0};
  while (Index < LatencyBucketsMs.size() &&
         Latency.count() > LatencyBucketsMs.at(Index) * 1000) {
    ++Index;
  }
  ++Histogram.Buckets.at(Index);
  Histogram.SumMicros += static_cast<std::uint64_t>(Latency.count());
}

static auto makeFamily(const char *Name, const char *Help,
                       prometheus::MetricType Type)
    -> prometheus::MetricFamily {
  return {Name, Help, Type, {}};
}

static auto
makeCounterFamily(const char *Name, const char *Help, const char *Label,
                  const std::map<std::string, std::uint64_t> &Values)
    -> prometheus::MetricFamily {
  auto Family = makeFamily(Name, Help, prometheus::MetricType::Counter);
  for (const auto &[Key, Value] : Values) {
    auto Metric = prometheus::ClientMetric();
    if (*Label != '\0') {
      Metric.label.push_back({Label, Key});
    }
    Metric.counter.value = static_cast<double>(Value);
    Family.metric.push_back(std::move(Metric));
  }
  return Family;
}

static auto makeGaugeFamily(const char *Name, const char *Help, double Value)
    -> prometheus::MetricFamily {
  auto Family = makeFamily(Name, Help, prometheus::MetricType::Gauge);
  auto Metric = prometheus::ClientMetric();
  Metric.gauge.value = Value;
  Family.metric.push_back(std::move(Metric));
  return Family;
}

static auto
makeLatencyFamily(const std::map<route_id, latency_histogram> &Latency)
    -> prometheus::MetricFamily {
  auto Family =
      makeFamily("sycamorelb_call_seconds", "Time from a call to its answer.",
                 prometheus::MetricType::Histogram);
  for (const auto &[Route, Histogram] : Latency) {
    auto Metric = prometheus::ClientMetric();
    Metric.label.push_back({"route", Route.Value});
    auto Count = std::uint64_t{0};
    for (auto Index = std::size_t{0}; Index < LatencyBucketsMs.size();
         ++Index) {
      Count += Histogram.Buckets.at(Index);
      Metric.histogram.bucket.push_back(
          {Count, static_cast<double>(LatencyBucketsMs.at(Index)) / 1e3});
    }
    Metric.histogram.sample_count = Count + Histogram.Buckets.back();
    Metric.histogram.sample_sum =
        static_cast<double>(Histogram.SumMicros) / 1e6;
    Family.metric.push_back(std::move(Metric));
  }
  return Family;
}

static auto makeTrafficFamily(const char *Name, const char *Help,
                              const node_counters &Counters,
                              std::uint64_t message_counts::*Value)
    -> prometheus::MetricFamily {
  auto Family = makeFamily(Name, Help, prometheus::MetricType::Counter);
  for (const auto &[Key, Counts] : Counters.PeerTraffic) {
    auto Metric = prometheus::ClientMetric();
    Metric.label.push_back({"kind", std::string(Key.first)});
    Metric.label.push_back({"zone", Key.second ? "same" : "other"});
    Metric.counter.value = static_cast<double>(Counts.*Value);
    Family.metric.push_back(std::move(Metric));
  }
  return Family;
}

auto renderMetrics(const node_counters &Counters, const node_gauges &Gauges)
    -> std::string {
  auto Single = [](std::uint64_t Value) {
    return std::map<std::string, std::uint64_t>{{"", Value}};
  };
  auto Families = std::vector<prometheus::MetricFamily>{
      makeCounterFamily("sycamorelb_calls_total", "Calls of own callers.",
                        "outcome", Counters.Calls),
      makeCounterFamily("sycamorelb_admissions_total",
                        "Calls for the target beside the node.", "outcome",
                        Counters.Admissions),
      makeCounterFamily("sycamorelb_store_calls_total", "Calls to the store.",
                        "outcome", Counters.StoreCalls),
      makeCounterFamily("sycamorelb_bad_input_total", "Input that was ignored.",
                        "source", Counters.BadInput),
      makeCounterFamily("sycamorelb_key_refusals_total",
                        "Calls of own callers refused by their key.", "reason",
                        Counters.KeyRefusals),
      makeCounterFamily("sycamorelb_target_checks_total",
                        "Health checks that decide whether the target is used.",
                        "result", Counters.TargetChecks),
      makeCounterFamily("sycamorelb_callers_closed_total",
                        "Connections closed to protect memory and descriptors.",
                        "cause", Counters.CallersClosed),
      makeGaugeFamily("sycamorelb_buffer_bytes",
                      "Memory of all buffers that outside bytes can grow.",
                      static_cast<double>(Gauges.BufferBytes)),
      makeGaugeFamily("sycamorelb_buffer_peak_bytes",
                      "Most of it since the start.",
                      static_cast<double>(Gauges.BufferPeak)),
      makeGaugeFamily("sycamorelb_buffer_limit_bytes",
                      "Limit on it; 0 for none.",
                      static_cast<double>(Gauges.BufferLimit)),
      makeGaugeFamily("sycamorelb_caller_connections",
                      "Open connections of callers.",
                      static_cast<double>(Gauges.Callers)),
      makeCounterFamily("sycamorelb_repeats_total", "Calls sent once more.", "",
                        Single(Counters.Retries)),
      makeCounterFamily("sycamorelb_bounces_total", "Refusals by other nodes.",
                        "", Single(Counters.Bounces)),
      makeCounterFamily("sycamorelb_links_lost_total",
                        "Connections to other nodes that were lost.", "",
                        Single(Counters.LinksLost)),
      makeCounterFamily("sycamorelb_replies_dropped_total",
                        "Answers of targets without memory for them.", "",
                        Single(Counters.RepliesDropped)),
      makeTrafficFamily("sycamorelb_peer_messages_total",
                        "Messages sent to other nodes.", Counters,
                        &message_counts::Messages),
      makeTrafficFamily("sycamorelb_peer_bytes_total",
                        "Bytes of the messages sent to other nodes.", Counters,
                        &message_counts::Bytes),
      makeCounterFamily("sycamorelb_target_connections_total",
                        "Connections opened to the target.", "",
                        Single(Counters.TargetConnections)),
      makeCounterFamily("sycamorelb_log_lines_suppressed_total",
                        "Log lines that were left out.", "",
                        Single(Gauges.Suppressed)),
      makeCounterFamily("sycamorelb_pipelined_requests_total",
                        "Requests begun before an earlier one on their "
                        "connection was answered.",
                        "", Single(Gauges.Pipelined)),
      makeCounterFamily("sycamorelb_held_responses_total",
                        "Responses that waited for an earlier one.", "",
                        Single(Gauges.HeldResponses)),
      makeGaugeFamily("sycamorelb_held_response_bytes",
                      "Size of the responses that wait for an earlier one.",
                      static_cast<double>(Gauges.HeldBytes)),
      makeGaugeFamily("sycamorelb_config_version", "Configuration in force.",
                      static_cast<double>(Gauges.ConfigVersion)),
      makeGaugeFamily("sycamorelb_config_age_seconds",
                      "Time since the configuration was applied.",
                      Gauges.ConfigAgeSeconds),
      makeGaugeFamily("sycamorelb_hosts", "Hosts known.",
                      static_cast<double>(Gauges.Hosts)),
      makeGaugeFamily("sycamorelb_target_running", "Calls at the target.",
                      static_cast<double>(Gauges.Running)),
      makeGaugeFamily("sycamorelb_target_queued", "Calls that wait for a slot.",
                      static_cast<double>(Gauges.Queued)),
      makeGaugeFamily("sycamorelb_target_concurrency",
                      "Learned limit on the calls at the target; 0 if none.",
                      static_cast<double>(Gauges.Concurrency)),
      makeGaugeFamily("sycamorelb_target_work_percent",
                      "Work time at the target now, in percent of usual; 0 if "
                      "unknown.",
                      static_cast<double>(Gauges.WorkPercent)),
      makeGaugeFamily("sycamorelb_open_calls",
                      "Calls of own callers in progress.",
                      static_cast<double>(Gauges.OpenCalls)),
      makeGaugeFamily("sycamorelb_store_lost",
                      "1 while the store can't be read.",
                      Gauges.StoreLost ? 1 : 0),
      makeGaugeFamily("sycamorelb_store_era",
                      "Newest era of the store seen; 0 if unknown.",
                      static_cast<double>(Gauges.StoreEra)),
      makeCounterFamily("sycamorelb_usage_windows_total",
                        "Usage windows of which this node was the holder.",
                        "result", Counters.UsageWindows),
      makeGaugeFamily("sycamorelb_usage_holder",
                      "1 while this node sends the usage reports.",
                      Gauges.IsUsageHolder ? 1 : 0),
      makeGaugeFamily("sycamorelb_usage_token",
                      "Highest fencing token of usage reports known.",
                      static_cast<double>(Gauges.UsageToken)),
      makeGaugeFamily("sycamorelb_usage_era",
                      "Era of the store known to this node.",
                      static_cast<double>(Gauges.UsageEra)),
      makeLatencyFamily(Counters.Latency)};
  return prometheus::TextSerializer().Serialize(Families);
}

} // namespace sycamorelb::sidecar
