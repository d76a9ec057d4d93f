/** @file metric_table.h Names, kinds and help texts of all metrics. */
#pragma once

#include "sycamorelb/telemetry/metrics.h"

#include <array>

namespace sycamorelb::telemetry {

/** Kind of a metric. */
enum class metric_kind : std::uint8_t { Counter, Gauge, Histogram };

/** Definition of one metric. */
struct metric_description {
  metric Metric;    ///< Metric described.
  metric_kind Kind; ///< Its kind.
  const char *Name; ///< Name in the Prometheus text format.
  const char *Help; ///< Help text.
};

inline constexpr auto MetricTable =
    std::array<metric_description, static_cast<std::size_t>(metric::Count)>{{
        {metric::Attempts, metric_kind::Counter, "sycamorelb_attempts_total",
         "Attempts finished, by role, route and outcome."},
        {metric::Refusals, metric_kind::Counter, "sycamorelb_refusals_total",
         "Calls refused as not run, by reason."},
        {metric::Retries, metric_kind::Counter, "sycamorelb_retries_total",
         "Attempts after the first one, by route."},
        {metric::Hedges, metric_kind::Counter, "sycamorelb_hedges_total",
         "Speculative attempts, by route."},
        {metric::AttemptSeconds, metric_kind::Histogram,
         "sycamorelb_attempt_seconds", "Time of one attempt, by role."},
        {metric::ConfigPosition, metric_kind::Gauge,
         "sycamorelb_config_position",
         "Log offset up to which the configuration is replayed."},
        {metric::ConfigBehindSeconds, metric_kind::Gauge,
         "sycamorelb_config_behind_seconds",
         "Time since the node first heard of a position it does not hold."},
        {metric::ConfigPulls, metric_kind::Counter,
         "sycamorelb_config_pulls_total",
         "Pulls of records or states from peers, by result."},
        {metric::LogReads, metric_kind::Counter, "sycamorelb_log_reads_total",
         "Reads from the log service, by result."},
        {metric::LogAppends, metric_kind::Counter,
         "sycamorelb_log_appends_total",
         "Appends to the log service, by result."},
        {metric::Members, metric_kind::Gauge, "sycamorelb_members",
         "Members known, by state."},
        {metric::DatagramBytes, metric_kind::Counter,
         "sycamorelb_datagram_bytes_total",
         "Bytes of gossip datagrams, by direction."},
        {metric::DatagramsDropped, metric_kind::Counter,
         "sycamorelb_datagrams_dropped_total", "Datagrams dropped, by reason."},
        {metric::UpstreamLimit, metric_kind::Gauge, "sycamorelb_upstream_limit",
         "Concurrency limit of a local upstream."},
        {metric::UpstreamInFlight, metric_kind::Gauge,
         "sycamorelb_upstream_in_flight",
         "Calls being worked on by a local upstream."},
        {metric::MoveSharePpm, metric_kind::Gauge, "sycamorelb_move_share_ppm",
         "Share of the new version, by move."},
        {metric::MoveBrakes, metric_kind::Counter,
         "sycamorelb_move_brakes_total",
         "Brakes raised or learned, by move and origin."},
        {metric::Claims, metric_kind::Counter, "sycamorelb_claims_total",
         "Claims on idempotency keys, by result."},
        {metric::SilentConnections, metric_kind::Counter,
         "sycamorelb_silent_connections_total",
         "Connections given up for lack of progress, by peer."},
    }};

} // namespace sycamorelb::telemetry
