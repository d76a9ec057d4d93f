/** @file settings_type.h Settings of a node. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"
#include "sycamorelb/event/stream.h"
#include "sycamorelb/http/pipeline_type.h"

#include <cstdint>

namespace sycamorelb::sidecar {

/** Limits guaranteed by the deployment. */
struct mesh_bounds {
  millis StopGrace{6000};      ///< Time from SIGTERM to SIGKILL.
  millis ConfigApply{2000};    ///< Time for a change to be in force.
  double RetryRatio = 0.2;     ///< Retries per call, over all nodes.
  double RetrySlack = 50;      ///< Retries on top of the ratio, over all nodes.
  millis RetryWindow{10000};   ///< Window in which both are counted.
  double ColdRateFactor = 1.5; ///< Allowed multiple of a cold target's rate.
  double ColdSlack = 5;        ///< Calls per second allowed on top of it.
  millis Recovery{
      15000}; ///< Time for service to return after a restart of all.
};

/** Usage reports to the platform. */
struct usage_settings {
  millis Window{0};       ///< Length of a window; 0 for no reports.
  double MaxError = 0.05; ///< Allowed relative error of a customer's count.
  millis Late{10000};     ///< Time after its end at which a report is due.
  millis Lease{3000};     ///< Time between acts of different holders.
  millis Thaw{300};       ///< Acts that long after a pause don't count.
  bool FencingRequired = true; ///< The platform refuses lower tokens.
  millis Revoke{5000};     ///< Time for a former holder to be without effect.
  event::endpoint Address; ///< Server of the call; port 0 for no reports.
  double CallsPerSecond = 50; ///< Limit on calls, over all nodes.
};

/** Settings of a node. */
struct node_settings {
  node_id Node;                     ///< Name of the host.
  zone_id Zone;                     ///< Availability zone of the host.
  service_id Service;               ///< Service of the local target.
  event::endpoint CallerAddress;    ///< Listens for calls from this host.
  event::endpoint ReadinessAddress; ///< Listens for readiness probes.
  event::endpoint HeartbeatAddress; ///< Listens for heartbeats of the target.
  event::endpoint PeerAddress;      ///< Listens for connections of other nodes.
  /** Address other nodes connect to, if it differs from PeerAddress; port 0 if
   * not. */
  event::endpoint AdvertisedPeerAddress;
  event::endpoint MetricsAddress;  ///< Serves metrics and the state dump.
  event::endpoint TargetAddress;   ///< Address of the target.
  event::endpoint StoreAddress;    ///< Address of the platform's store.
  millis HeartbeatInterval{1500};  ///< Interval of the target's heartbeats.
  double LinkMbps = 1000;          ///< Bandwidth of the host's link in Mbit/s.
  double CpuShare = 1;             ///< CPU of the host, in cores.
  mesh_bounds Bounds;              ///< Limits guaranteed by the deployment.
  usage_settings Usage;            ///< Usage reports.
  std::size_t MemoryMb = 0;        ///< Memory of the host; 0 for no limit.
  std::size_t FileDescriptors = 0; ///< Of the process; 0 for no limit.
  bool FirstStart = false;         ///< All hosts start for the first time.
  http::pipeline_limits Pipeline;  ///< Limits on pipelined requests.
  /** Responses of pipelined requests on hold, over all connections. */
  std::size_t MaxHeldBytes = http::pipeline_budget().MaxHeldBytes;
};

} // namespace sycamorelb::sidecar
