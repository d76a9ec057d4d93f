/** @file settings_type.h Settings of one node. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"

#include <string>
#include <vector>

namespace sycamorelb::settings {

/** Shared secret for message authentication. */
struct secret_key {
  std::uint32_t Id = 0; ///< Key id, sent with each message.
  std::string Secret;   ///< At least 16 bytes.
};

/** Addresses the node listens on. */
struct listen_settings {
  std::string Ip = "127.0.0.1";    ///< Address of this host.
  std::uint16_t CallerPort = 8000; ///< HTTP for calls from callers.
  std::uint16_t PeerPort = 8001;   ///< HTTP for calls from other nodes.
  std::uint16_t InnerPort = 8002;  ///< UDP gossip and TCP RPC between nodes.
  std::uint16_t AdminPort = 8003;  ///< RPC for operators.
  std::uint16_t OpsPort = 8004;    ///< HTTP for metrics, health checks, state
                                   ///< dumps and upstream announcements.
};

/** Access to the platform's log service. */
struct log_settings {
  std::string Address = "127.0.0.1:9000"; ///< "ip:port" of the log service.
  millis AppendTimeout{2000};             ///< Timeout of one append.
  millis ReadWait{2000};                  ///< Long-poll time of one read.
  millis Retention{86'400'000};           ///< How long records are kept.
};

/** Timing of membership, readiness, announcements and shutdown. */
struct timing_settings {
  millis Heartbeat{1000};        ///< Probe period of failure detection.
  millis SuspicionTimeout{3000}; ///< Time from suspect to dead.
  millis FullExchange{30'000};   ///< Period of member table exchanges.
  millis StaleAfter{5000};       ///< Not ready if out of contact for longer.
  millis AnnounceLease{3000};    ///< Lease of an upstream's announcement.
  millis DrainTimeout{30'000};   ///< Maximum time of a graceful shutdown.
};

/** Thread counts and limits of the data path. */
struct proxy_settings {
  std::uint32_t CallerThreads = 32; ///< Worker threads for calls from callers.
  std::uint32_t PeerThreads = 32;   ///< Worker threads for calls from peers.
  std::uint32_t SubsetSize = 16;    ///< Upstreams that a node uses per service.
  std::uint64_t MaxBodyBytes = 1'073'741'824; ///< Maximum request body size.
};

/** All settings of a node. */
struct node_settings {
  node_id Id;                        ///< Unique id of the node.
  zone_id Zone;                      ///< Availability zone of the host.
  region_id Region;                  ///< Region of the zone.
  listen_settings Listen;            ///< Addresses to listen on.
  std::vector<std::string> Seeds;    ///< Inner addresses of seed nodes.
  log_settings Log;                  ///< Log service.
  timing_settings Timing;            ///< Periods and timeouts.
  proxy_settings Proxy;              ///< Data path.
  std::vector<secret_key> InnerKeys; ///< Keys between nodes: the first signs,
                                     ///< all verify.
  std::vector<secret_key> AdminKeys; ///< Keys of operators: the first signs,
                                     ///< all verify.
  std::string LogLevel = "info";     ///< Lowest level that is logged.
};

} // namespace sycamorelb::settings
