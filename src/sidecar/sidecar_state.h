/** @file sidecar_state.h Parts of a node and how they are wired. Private to its
 * sources. */
#pragma once

#include "sidecar/admission.h"
#include "sidecar/entry.h"
#include "sidecar/gossip.h"
#include "sidecar/http_endpoint.h"
#include "sidecar/rollout_control.h"
#include "sidecar/state_view.h"
#include "sidecar/stop_signal.h"
#include "sidecar/store_feed.h"
#include "sidecar/target_watch.h"
#include "sycamorelb/core/hash_func.h"
#include "sycamorelb/sidecar/sidecar.h"

#include <ctime>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sycamorelb::sidecar {

struct sidecar::implementation {
  implementation(const node_settings &Settings, std::string Path,
                 std::uint64_t Start)
      : Path(std::move(Path)),
        State(Loop, Settings, hash64(Settings.Node.Value, Start)),
        Admission(
            State, [this] { publishTargetLost(); }, [this] { brake(); }),
        Links(State, linkEvents()), Entry(State, Admission, Links),
        Gossip(State, Links, gossipEvents()), Store(State, storeEvents()),
        Rollouts(State, Admission, Gossip, Store) {
    State.Own.Incarnation = Start;
    publishOwn(State);
  }

  std::string Path;
  event::loop Loop;
  node_state State;
  target_watch Watch;
  /** Target of an earlier process that is to be asked. */
  std::optional<mesh::target_record> EarlierTarget;
  bool Unannounced = false; ///< The store holds no record of this host.
  admission Admission;
  peer_links Links;
  entry Entry;
  gossip Gossip;
  store_feed Store;
  rollout_control Rollouts;
  std::unique_ptr<http_endpoint> Ready;
  std::unique_ptr<http_endpoint> Control;
  std::unique_ptr<http_endpoint> Metrics;
  std::unique_ptr<signal_events> Signals;
  steady_time StopAt{};
  steady_time TickDue{};
  int Ticks = 0;
  timespec SettingsTime{};
  std::uint64_t LinkReceived = 0;
  std::uint64_t LinkSent = 0;

  auto linkEvents() -> peer_events;
  auto gossipEvents() -> gossip_events;
  auto storeEvents() -> store_events;
  auto listen() -> result<done>;
  auto replyTo(const std::shared_ptr<peer_session> &Session)
      -> admission::reply_handler;
  void handleSession(const std::shared_ptr<peer_session> &Session,
                     inner::mesh_message Message);
  auto answerReadiness(const http::request &Request) -> http::response;
  auto answerControl(const http::request &Request) -> http::response;
  auto answerMetrics(const http::request &Request) -> http::response;
  void handleHeartbeat(const target_heartbeat &Heartbeat);
  /** Sends a health check to the target; OnResponse gets the response, if any.
   */
  void
  probeTarget(const std::function<void(const http::response &)> &OnResponse);
  void verifyHeartbeat(const target_heartbeat &Heartbeat);
  /** Asks the target that an earlier process knew, once there is a
   * configuration, so that calls need not wait for its next heartbeat. */
  void probeEarlierTarget();
  /** Writes the record of this host to the store, once. */
  void announce();
  void handleLeave(const mesh::target_id &Id, std::string_view Body);
  void publishTarget();
  void publishTargetLost();
  void noteOperatorKeys(const std::vector<std::string> &Keys);
  void noteMeshListed(const std::vector<mesh::operator_record> &Records);
  void mergeMeshRecord(const mesh::operator_record &Record);
  void brake() { Rollouts.brake(); }
  void tick();
  void measureLink();
  void checkSettings();
  void reload();
  void beginStop();
  void checkStop();
  auto view() const -> state_view;
};

} // namespace sycamorelb::sidecar
