/** @file sidecar_state.h Components of a node and their connections. Private to
 * the sources of sidecar. */
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
#include "sidecar/usage_control.h"
#include "sycamorelb/core/hash_func.h"
#include "sycamorelb/sidecar/sidecar.h"

#include <ctime>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sycamorelb::sidecar {

/** What belongs to the cold time of a health check. */
struct checked_report {
  const char *Source;         ///< Kind of the report, for the log.
  std::uint64_t Sequence;     ///< Of the heartbeat; 0 for a health check alone.
  bool ServedBefore;          ///< See admission::setTarget().
  micros ColdFor = micros(0); ///< Cold time in the heartbeat.
};

/** Heartbeat intervals by which a heartbeat may be late. */
inline constexpr auto LateHeartbeats = 4;

struct sidecar::implementation {
  implementation(event::loop &Loop, const node_settings &Settings,
                 std::string SettingsPath, std::uint64_t Incarnation)
      : SettingsPath(std::move(SettingsPath)), Loop(Loop),
        State(Loop, Settings, hash64(Settings.Node.Value, Incarnation)),
        Admission(State, {[this] { publishTargetLost(); },
                          [this] { handleTargetLeaving(); },
                          [this] { brakeRollout(); },
                          [this](const customer_id &Customer) {
                            Usage.countStart(Customer);
                          },
                          [this](const customer_id &Customer, steady_time At) {
                            Usage.removeStart(Customer, At);
                          }}),
        Links(State, makePeerEvents()), Entry(State, Admission, Links),
        Gossip(State, Links, makeGossipEvents()),
        Store(State, makeStoreEvents()),
        Rollouts(State, Admission, Gossip, Store), Usage(State, Gossip, Store) {
    State.Own.Incarnation = Incarnation;
    Watch.MayLackLeaves = !Settings.FirstStart;
    Watch.MaxLateness = micros(Settings.HeartbeatInterval) * LateHeartbeats;
    applyStart(Watch, Loop.now());
    publishOwnRecord(State);
  }

  std::string SettingsPath;
  event::loop &Loop;
  node_state State;
  target_watch Watch;
  bool IsCheckInProgress = false; ///< A health check of checkTarget().
  /** The mesh topic lacks a record of this host. */
  bool AnnouncementPending = false;
  /** Last start whose leave this process has recorded there. */
  std::optional<ended_start> RecordedLeave;
  admission Admission;
  peer_links Links;
  entry Entry;
  gossip Gossip;
  store_feed Store;
  rollout_control Rollouts;
  usage_control Usage;
  std::unique_ptr<http_endpoint> ReadinessEndpoint;
  std::unique_ptr<http_endpoint> HeartbeatEndpoint;
  std::unique_ptr<http_endpoint> MetricsEndpoint;
  std::unique_ptr<signal_events> Signals;
  steady_time StopRequestedAt{};
  std::function<void()> OnStopped; // Ends the process.
  int TickCount = 0;
  /** When there was a reason to take the target for cold. A heartbeat may be
   * from before. */
  std::optional<steady_time> ColdTimeDoubtedAt;
  /** First heartbeat since then. */
  std::optional<steady_time> HeartbeatSinceDoubtAt;
  /** Until when the target is cold by a health check since the last heartbeat;
   * the next heartbeat may be older. */
  std::optional<steady_time> CheckedColdUntil;
  bool LoggedWarm = false; // In the last line "target.cold_time".
  timespec SettingsModifiedAt{};
  std::uint64_t MeasuredReceivedBytes = 0;
  std::uint64_t MeasuredSentBytes = 0;

  auto makePeerEvents() -> peer_events;
  auto makeGossipEvents() -> gossip_events;
  auto makeStoreEvents() -> store_events;
  auto listen() -> result<done>;
  auto replyHandlerFor(const std::shared_ptr<peer_session> &Session)
      -> admission::reply_handler;
  void handleSessionMessage(const std::shared_ptr<peer_session> &Session,
                            inner::mesh_message Message);
  auto answerReadiness(const http::request &Request) -> http::response;
  auto answerHeartbeat(const http::request &Request) -> http::response;
  auto answerMetrics(const http::request &Request) -> http::response;
  void handleHeartbeat(const target_heartbeat &Heartbeat);
  void handleAcceptedHeartbeat(const target_heartbeat &Heartbeat,
                               bool ServedBefore);
  void handleOutdatedHeartbeat(const target_heartbeat &Heartbeat);
  /** Sends a health check to the target.
   * @param OnResult receives the response, or null without one.
   * @return whether it was sent; not without a configuration. */
  auto probeTarget(const std::function<void(const http::response *)> &OnResult)
      -> bool;
  /** Sends a health check if a start of the target waits for one and none is in
   * progress. */
  void checkTarget();
  /** @param Response null if there was none. */
  void handleCheckResult(const target_check &Check, steady_time SentAt,
                         const http::response *Response);
  /** Applies a change of Watch by which the known target isn't ready any more,
   * if it is one. */
  void applyWatch();
  /** Appends a record of this host to the mesh topic.
   * @param Prefix its key, before the name of the node. */
  void appendHostRecord(
      const std::string &Prefix, const mesh::host_record &Host,
      const std::function<void(const result<platform::append_ack> &)> &Handle);
  /** Appends the record of this host to the mesh topic, once, then lists the
   * topic if no other host of the zone is known yet. */
  void announceHost();
  /** Writes again what the store may have lost. */
  void handleStoreRewind(bool FromStore);
  /** Calls announceHost() after a random delay. */
  void scheduleAnnouncement();
  /** @return whether another host of the zone has told of itself. */
  auto hearsFromPeers() const -> bool;
  /** Treats the target as cold until a health check that is sent later tells
   * otherwise, or a second heartbeat about an interval after the first one, or
   * the first one of a new start. */
  void doubtColdTime(const char *Reason);
  /** Sends a health check to learn how long the target stays cold.
   * @param ServedBefore see admission::setTarget(). */
  void askColdTime(bool ServedBefore);
  /** Applies the cold time of a health check, or nothing if it isn't known. */
  void applyCheckedColdTime(std::optional<micros> Checked,
                            const checked_report &Report);
  /** Evaluates the cold time in an accepted heartbeat.
   * @param ServedBefore see admission::setTarget().
   * @return the cold time, not less than what a health check told since the
   * last heartbeat; nothing if the heartbeat may be from before the reason to
   * take the target for cold. */
  auto updateColdTime(const target_heartbeat &Heartbeat, bool ServedBefore)
      -> std::optional<micros>;
  /** Logs how long the target counts as cold, after a report of the target.
   * @param Source kind of the report.
   * @param Told time for which it stays cold, as reported.
   * @param Sequence of the heartbeat; 0 for a health check. */
  void logColdTime(const char *Source, std::optional<micros> Told,
                   std::uint64_t Sequence);
  void handleLeave(const mesh::target_id &Id, std::string_view Body);
  void publishTarget();
  /** Writes to the store that a start leaves, for processes that start after
   * all have ended; the acknowledgement doesn't wait for that. */
  void recordLeave(const ended_start &Start);
  void appendLeave(int Attempts);
  void publishTargetLost();
  /** Treats the target as draining, whatever its heartbeats say. */
  void handleTargetLeaving();
  void handleOperatorRecords(const std::vector<std::string> &Keys);
  void handleMeshListing(const std::vector<mesh::operator_record> &Records);
  void mergeMeshRecord(const mesh::operator_record &Record);
  void brakeRollout() { Rollouts.brakeRollout(); }
  void runPeriodicChecks();
  void measureLink();
  void reloadIfChanged();
  void reload();
  void beginStop(std::function<void()> Finish);
  void checkStop();
  auto stateView() const -> state_view;
};

} // namespace sycamorelb::sidecar
