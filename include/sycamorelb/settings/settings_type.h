/** @file settings_type.h Settings of one node. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"

#include <string>
#include <vector>

namespace sycamorelb::settings {

/** Shared secret for message authentication. */
struct secret_key {
  std::uint32_t Id = 0; ///< Number of the key, sent along with each message.
  std::string Secret;   ///< At least 16 bytes.
};

/** Addresses the node listens on. */
struct listen_settings {
  std::string Ip = "127.0.0.1";    ///< Address of this host.
  std::uint16_t CallerPort = 8000; ///< HTTP for callers.
  std::uint16_t PeerPort = 8001;   ///< HTTP calls from other nodes.
  std::uint16_t InnerPort = 8002;  ///< UDP gossip and TCP RPC between nodes.
  std::uint16_t AdminPort = 8003;  ///< Operators' RPC.
  std::uint16_t OpsPort = 8004;    ///< Metrics, health, dump, announcements.
};

/** Access to the platform's log service. */
struct log_settings {
  std::string Address = "127.0.0.1:9000"; ///< "ip:port" of the log service.
  millis AppendTimeout{2000};             ///< Time for one append.
  millis ReadWait{2000};                  ///< Long-poll time of one read.
  millis Retention{86'400'000};           ///< How long records are kept.
};

/** Timing of membership and distribution. */
struct timing_settings {
  millis Heartbeat{1000};        ///< Period of failure detection probes.
  millis SuspicionTimeout{3000}; ///< From suspect to dead.
  millis FullExchange{30'000};   ///< Period of full member exchanges.
  millis StaleAfter{5000};       ///< Not ready when cut off for longer.
  millis AnnounceLease{3000};    ///< Lease of an upstream's announcement.
  millis DrainTimeout{30'000};   ///< Longest graceful shutdown.
};

/** Sizes of the data path. */
struct proxy_settings {
  std::uint32_t CallerThreads = 32; ///< Workers for calls of callers.
  std::uint32_t PeerThreads = 32;   ///< Workers for calls of other nodes.
  std::uint32_t SubsetSize = 16;    ///< Upstreams used per service.
  std::uint64_t MaxBodyBytes = 1'073'741'824; ///< Largest request body.
};

/** All settings of a node. */
struct node_settings {
  node_id Id;                        ///< Unique name of the node.
  zone_id Zone;                      ///< Availability zone of the host.
  region_id Region;                  ///< Region of the zone.
  listen_settings Listen;            ///< Own addresses.
  std::vector<std::string> Seeds;    ///< Inner addresses of some nodes.
  log_settings Log;                  ///< Log service.
  timing_settings Timing;            ///< Timing.
  proxy_settings Proxy;              ///< Data path.
  std::vector<secret_key> InnerKeys; ///< First signs, all verify.
  std::vector<secret_key> AdminKeys; ///< First signs, all verify.
  std::string LogLevel = "info";     ///< Least severe level logged.
};

} // namespace sycamorelb::settings
