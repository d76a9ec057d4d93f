/** @file node_context.h State shared by the threads of one node. */
#pragma once

#include "node/mesh_view.h"
#include "sycamorelb/config/config_store.h"
#include "sycamorelb/core/clock_func.h"
#include "sycamorelb/core/mutex.h"
#include "sycamorelb/inner/rpc_client.h"
#include "sycamorelb/inner/udp_transport.h"
#include "sycamorelb/membership/membership_func.h"
#include "sycamorelb/platform/log_client.h"
#include "sycamorelb/settings/settings_type.h"
#include "sycamorelb/telemetry/metrics.h"

#include <atomic>

namespace sycamorelb::node {

/** Name of the log stream of the configuration. */
inline constexpr auto ConfigStream = "config";

/** State shared by the threads of one node. */
struct node_context {
  settings::node_settings Settings; ///< Settings; constant.
  config::peer Self;                ///< Id, zone and region of this node.
  incarnation Incarnation;          ///< Start time of this process.
  inner::auth_keys InnerKeys;       ///< Keys of the nodes; constant.
  telemetry::metrics Metrics;       ///< Metrics.
  config::config_store Store;       ///< Configuration in force.
  platform::log_client Log;         ///< Client of the log service.
  ranked_mutex<lock_rank::MemberTable> MemberMutex; ///< Guards Members.
  membership::member_table Members;                 ///< Member table.
  std::atomic<std::shared_ptr<const mesh_view>>
      View;                                   ///< View for the data path.
  std::unique_ptr<inner::udp_transport> Udp;  ///< Datagrams to and from peers.
  inner::rpc_loop Loop;                       ///< Event loop of the RPCs.
  inner::rpc_client Rpc;                      ///< RPCs to peers.
  std::atomic<bool> Draining{false};          ///< Whether the node is draining.
  std::atomic<bool> Stopping{false};          ///< Whether threads must end.
  std::atomic<std::int64_t> LastContactUs{0}; ///< Steady time of the last
                                              ///< contact with peer or log.

  explicit node_context(settings::node_settings NodeSettings);
};

/** @return the current time of the steady and the wall clock. */
inline auto instantNow() -> membership::instant {
  return {steadyNow(), wallNow()};
}

/** @return the address of a live member for RPCs and datagrams; empty if it is
 * unknown. */
auto innerAddress(const mesh_view &View, const node_id &Id) -> std::string;

/** Records the time of a response of a peer or the log service. */
inline void recordContact(node_context &Context) {
  Context.LastContactUs = steadyNow().time_since_epoch().count();
}

/** @return the address "ip:port" of a port of this node. */
auto ownAddress(const settings::node_settings &Settings, std::uint16_t Port)
    -> std::string;

/** @return the configured keys as authentication keys. */
auto toAuthKeys(const std::vector<settings::secret_key> &Keys)
    -> inner::auth_keys;

} // namespace sycamorelb::node
