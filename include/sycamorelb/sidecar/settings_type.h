/** @file settings_type.h Settings of a node beside a target. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"
#include "sycamorelb/event/stream.h"

#include <cstdint>

namespace sycamorelb::sidecar {

/** Bounds that the deployment promises to its users. */
struct mesh_bounds {
  millis StopGrace{6000};      ///< From SIGTERM to SIGKILL.
  double RetryRatio = 0.2;     ///< Repeats for each call, over all nodes.
  double RetrySlack = 50;      ///< Repeats beside the ratio, over all nodes.
  millis RetryWindow{10000};   ///< Window of the two above.
  double ColdRateFactor = 1.5; ///< Calls to a cold target over its rate.
  double ColdSlack = 5;        ///< Calls in a second beside the above.
};

/** Settings of a node. */
struct node_settings {
  node_id Node;            ///< Name of the host.
  zone_id Zone;            ///< Availability zone of the host.
  service_id Service;      ///< Service of the target beside it.
  event::endpoint Callers; ///< Where callers on this host send calls.
  event::endpoint Ready;   ///< Where readiness is asked.
  event::endpoint Control; ///< Where the target sends heartbeats.
  event::endpoint Peer;    ///< Where other nodes connect.
  /** Where other nodes reach this one, if not at Peer; port 0 for Peer. */
  event::endpoint Advertised;
  event::endpoint Metrics;        ///< Where metrics and state are served.
  event::endpoint Target;         ///< Address of the target.
  event::endpoint Store;          ///< Address of the platform's store.
  millis HeartbeatInterval{1500}; ///< Between heartbeats of the target.
  double LinkMbps = 1000;         ///< Bandwidth of the host's link, Mbit/s.
  double CpuShare = 1;            ///< Share of a core that the host has.
  mesh_bounds Bounds;             ///< Promises of the deployment.
};

} // namespace sycamorelb::sidecar
