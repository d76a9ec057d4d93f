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

/** Name of the log stream that holds the configuration. */
inline constexpr auto ConfigStream = "config";

/** State shared by the threads of one node. */
struct node_context {
  settings::node_settings Settings; ///< Settings, constant.
  config::peer Self;                ///< Id, zone and region of this node.
  incarnation Incarnation;          ///< Start time of this process.
  inner::auth_keys InnerKeys;       ///< Keys between nodes, constant.
  telemetry::metrics Metrics;       ///< Metrics.
  config::config_store Store;       ///< Snapshot in force.
  platform::log_client Log;         ///< Log service.
  ranked_mutex<lock_rank::MemberTable> MemberMutex;   ///< Guards Members.
  membership::member_table Members;                   ///< Member table.
  std::atomic<std::shared_ptr<const mesh_view>> View; ///< View for readers.
  std::unique_ptr<inner::udp_transport> Udp;          ///< Datagrams.
  inner::rpc_loop Loop;                               ///< Event loop.
  inner::rpc_client Rpc;                              ///< Calls to peers.
  std::atomic<bool> Draining{false}; ///< Whether a graceful stop began.
  std::atomic<bool> Stopping{false}; ///< Whether threads must end.
  std::atomic<std::int64_t> LastContactUs{0}; ///< Steady time of the last
                                              ///< contact with peer or log.

  explicit node_context(settings::node_settings NodeSettings);
};

/** @return both clocks. */
inline auto instantNow() -> membership::instant {
  return {steadyNow(), wallNow()};
}

/** @return the inner address of a live member, or an empty string. */
auto innerAddress(const mesh_view &View, const node_id &Id) -> std::string;

/** Notes that a peer or the log answered. */
inline void noteContact(node_context &Context) {
  Context.LastContactUs = steadyNow().time_since_epoch().count();
}

/** @return a text "ip:port" of one of the node's own ports. */
auto ownAddress(const settings::node_settings &Settings, std::uint16_t Port)
    -> std::string;

/** @return the keys of the settings as authentication keys. */
auto toAuthKeys(const std::vector<settings::secret_key> &Keys)
    -> inner::auth_keys;

} // namespace sycamorelb::node
