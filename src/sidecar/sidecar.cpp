/** @file sidecar.cpp Connects the components of a node; start-up. */
#include "platform/heartbeat.h"
#include "sidecar/sidecar_state.h"
#include "sidecar/version_view.h"
#include "sycamorelb/core/clock_func.h"

#include <algorithm>
#include <malloc.h>
#include <sys/prctl.h>

namespace sycamorelb::sidecar {

using namespace inner;

/** Interval at which link utilization is measured. */
static constexpr auto LinkMeasureInterval = micros(200'000);

/** Weight of a new sample in the moving average of link utilization. */
static constexpr auto LinkSmoothingWeight = 0.3;

/** Interval of runPeriodicChecks(). */
static constexpr auto TickInterval = micros(1'000'000);

/** Delay before a host without a target writes its record to the store; with a
 * target it does so at once. */
static constexpr auto AnnouncementDelay = micros(2'000'000);

/** Key of the record of a host, before its name. */
static const auto HostKeyPrefix = std::string("host/");

/** Maximum of the random delay after which a host writes its record again when
 * the store came back from an older copy; it spreads the writes of all hosts.
 */
static constexpr auto RepeatedAnnouncementMicros = std::uint32_t{2'000'000};

/** Periodic checks between two checks of the settings file. */
static constexpr auto SettingsCheckTicks = 5;

sidecar::sidecar(std::unique_ptr<implementation> Impl)
    : Impl(std::move(Impl)) {}

sidecar::~sidecar() = default;

auto sidecar::implementation::makePeerEvents() -> peer_events {
  auto Events = peer_events();
  Events.OnLinkMessage = [this](const node_id &Node, mesh_message Message) {
    if (auto *Reply = std::get_if<reply_message>(&Message)) {
      Entry.handleReply(Node, *Reply);
    } else if (auto *Update = std::get_if<gossip_message>(&Message)) {
      Gossip.handleMessage(*Update, [this, Node](const mesh_message &Answer) {
        Links.send(Node, Answer);
      });
    } else if (auto *Opened = std::get_if<opened_message>(&Message)) {
      Gossip.mergeHost(Opened->Sender);
    }
  };
  Events.OnLinkLost = [this](const node_id &Node, bool Established,
                             process_id Process) {
    Entry.handleLinkLost(Node, Established, Process);
  };
  Events.OnSessionMessage = [this](const std::shared_ptr<peer_session> &Session,
                                   mesh_message Message) {
    handleSessionMessage(Session, std::move(Message));
  };
  Events.OnReplyWithoutMemory = [this](const node_id &Node, call_number Call) {
    ++State.Counters.RepliesDropped;
    auto Reply = reply_message();
    Reply.Call = Call;
    Reply.ReachedTarget = true;
    dropAnswer(Reply);
    Entry.handleReply(Node, Reply);
  };
  Events.OnCallWithoutMemory = [this](
                                   const std::shared_ptr<peer_session> &Session,
                                   call_number Call) {
    Admission.refuseArrival({Session->Peer.Node, Session->Peer.Process, Call},
                            replyHandlerFor(Session), Session.get());
  };
  Events.OnSessionLost = [this](const std::shared_ptr<peer_session> &Session) {
    Admission.handleConnectionLost(Session.get());
  };
  return Events;
}

auto sidecar::implementation::replyHandlerFor(
    const std::shared_ptr<peer_session> &Session) -> admission::reply_handler {
  return [this,
          Weak = std::weak_ptr<peer_session>(Session)](reply_message &Reply) {
    if (auto Origin = Weak.lock()) {
      // Encoded without a copy of the response, which may be kept.
      auto Message = mesh_message(std::move(Reply));
      sendOnSession(State, *Origin, Message);
      Reply = std::move(std::get<reply_message>(Message));
    }
  };
}

void sidecar::implementation::handleSessionMessage(
    const std::shared_ptr<peer_session> &Session, mesh_message Message) {
  auto Key = call_key{Session->Peer.Node, Session->Peer.Process, {}};
  if (auto *Forward = std::get_if<forward_message>(&Message)) {
    Key.Call = Forward->Call;
    // A node that sends calls has a configuration.
    Gossip.requestConfiguration(Key.Node);
    Admission.submit(Key, std::move(*Forward), replyHandlerFor(Session),
                     Session.get());
  } else if (auto *Cancel = std::get_if<cancel_message>(&Message)) {
    Key.Call = Cancel->Call;
    Admission.cancel(Key);
  } else if (auto *Resume = std::get_if<resume_message>(&Message)) {
    Key.Call = Resume->Call;
    Admission.resume(Key, *Resume, replyHandlerFor(Session), Session.get());
  } else if (auto *Update = std::get_if<gossip_message>(&Message)) {
    Gossip.handleMessage(*Update, [this, Session](const mesh_message &Answer) {
      sendOnSession(State, *Session, Answer);
    });
  } else if (auto *Opened = std::get_if<opened_message>(&Message)) {
    Gossip.mergeHost(Opened->Sender);
  }
}

auto sidecar::implementation::makeGossipEvents() -> gossip_events {
  auto Events = gossip_events();
  Events.OnOperatorRecords = [this](const std::vector<std::string> &Keys) {
    handleOperatorRecords(Keys);
  };
  Events.OnPreviousIncarnation = [this](const mesh::host_record &Previous) {
    applyPreviousTarget(Watch, Previous.Target);
    if (Watch.Known.State > mesh::target_state::Ready &&
        State.Own.Target.State == mesh::target_state::Ready) {
      return applyWatch();
    }
    checkTarget();
  };
  Events.OnStoreEra = [this](store_era Era) { Store.noteEra(Era); };
  Events.OnRolloutProgress = [this](const rollout::rollout_state &Update) {
    // Another node has known its order since before it was written again.
    Rollouts.mergeProgress(Update, rollout::order_match::ByContent);
  };
  Events.OnEvidence = [this](const rollout_evidence_report &Report) {
    Rollouts.mergeEvidence(Report);
  };
  Events.OnUsage = [this](const gossip_message &Message) {
    Usage.handleMessage(Message);
  };
  Events.AddUsage = [this](gossip_message &Message) {
    Usage.addToMessage(Message);
  };
  return Events;
}

auto sidecar::implementation::makeStoreEvents() -> store_events {
  auto Events = store_events();
  Events.OnOperatorRecords = [this](const std::vector<std::string> &Keys,
                                    log_offset From) {
    handleOperatorRecords(Keys);
    // Records found before the mesh topic was listed are part of start-up, not
    // changes to broadcast.
    if (!Keys.empty() && State.MeshTopicListed) {
      Gossip.broadcastOperatorChanges(From);
    }
  };
  Events.CanUseZoneReader = [this] { return Gossip.canUseZoneReader(); };
  Events.OnOperatorConfirmed = [this] { Gossip.announceReader(); };
  Events.StoreReadTime = [this] { return Gossip.storeReadTime(); };
  Events.OnMeshListed =
      [this](const std::vector<mesh::operator_record> &Records) {
        handleMeshListing(Records);
      };
  Events.OnStoreRewound = [this](bool FromStore) {
    handleStoreRewind(FromStore);
  };
  Events.OnStoreLostChanged = [this](bool Lost) {
    State.Own.StoreLost = Lost;
    publishOwnRecord(State);
    Gossip.broadcastState();
  };
  return Events;
}

void sidecar::implementation::handleOperatorRecords(
    const std::vector<std::string> &Keys) {
  auto HadRoutes = State.Routes != nullptr;
  auto WasEvacuated = State.EvacuatedZones.contains(State.Own.Zone);
  if (!applyOperatorRecords(State, Keys)) {
    return;
  }
  if (WasEvacuated && !State.EvacuatedZones.contains(State.Own.Zone)) {
    // The target may have become cold while its zone was evacuated.
    doubtColdTime("evacuation ended");
    askColdTime(false);
  }
  Rollouts.handleOrders();
  Admission.recheckQueue();
  checkTarget();
  if (!HadRoutes && State.Routes) {
    if (ColdTimeDoubtedAt) {
      askColdTime(false);
    }
    Gossip.answerPendingRequests();
  }
}

void sidecar::implementation::mergeMeshRecord(
    const mesh::operator_record &Record) {
  auto Message = decodeGossip(Record.Value, Loop.now());
  if (!Message) {
    ++State.Counters.BadInput["store"];
    State.Log.write(log_class::State, "store.unreadable",
                    {{"key", Record.Key}});
    return;
  }
  auto &Host = Message->Sender;
  if (Host.Node != State.Own.Node) {
    // The stored target may be gone; revision 0 lets the host's own record
    // replace this one.
    Host.Target.State = mesh::target_state::Absent;
    Host.Revision = 0;
  }
  Gossip.mergeHost(Host);
  for (const auto &Rollout : Message->Rollouts) {
    Rollouts.mergeProgress(Rollout, rollout::order_match::ByOffset);
  }
}

void sidecar::implementation::handleMeshListing(
    const std::vector<mesh::operator_record> &Records) {
  auto Key = HostKeyPrefix + State.Own.Node.Value;
  auto Listed = false;
  for (const auto &Record : Records) {
    mergeMeshRecord(Record);
    Listed = Listed || Record.Key == Key;
  }
  State.MeshTopicListed = true;
  Gossip.syncWithPeers();
  AnnouncementPending = !Listed;
  if (State.Own.Target.State == mesh::target_state::Ready) {
    return announceHost();
  }
  Loop.addTimer(Loop.now() + AnnouncementDelay, [this] { announceHost(); });
}

void sidecar::implementation::handleStoreRewind(bool FromStore) {
  if (FromStore) {
    // The others learn of the era, and what this node knows.
    Gossip.broadcastState();
  }
  Rollouts.handleRewind();
  scheduleAnnouncement();
}

void sidecar::implementation::scheduleAnnouncement() {
  if (State.Stopping) {
    return;
  }
  AnnouncementPending = true;
  auto Delay = micros(randomBelow(State.Random, RepeatedAnnouncementMicros));
  Loop.addTimer(Loop.now() + Delay, [this] { announceHost(); });
}

void sidecar::implementation::appendHostRecord(
    const std::string &Prefix, const mesh::host_record &Host,
    const std::function<void(const result<platform::append_ack> &)> &Handle) {
  auto Message = gossip_message();
  Message.Sender = Host;
  Store.append(platform::store_topic::Mesh, Prefix + Host.Node.Value,
               encodeMeshMessage(Message, Loop.now()), std::nullopt, Handle);
}

void sidecar::implementation::announceHost() {
  if (!std::exchange(AnnouncementPending, false)) {
    return;
  }
  // Hosts that list the topic after this append find this host; hosts that
  // listed it earlier are found by the listing that follows.
  appendHostRecord(
      HostKeyPrefix, State.Own,
      [this](const result<platform::append_ack> &Ack) {
        if (!isOk(Ack) && State.StoreEra.Value > 0 && State.MeshTopicListed) {
          // After a rewind the store may be busy for a while.
          return scheduleAnnouncement();
        }
        if (!State.MeshTopicListed) {
          return Store.start();
        }
        if (hearsFromPeers()) {
          // They spread the record of this host.
          return;
        }
        Store.list(platform::store_topic::Mesh,
                   [this](result<platform::store_page> Page) {
                     if (!isOk(Page)) {
                       return;
                     }
                     for (const auto &Record : valueOf(Page).Records) {
                       mergeMeshRecord(Record);
                     }
                     Gossip.syncWithPeers();
                   });
      });
}

auto sidecar::implementation::hearsFromPeers() const -> bool {
  return std::any_of(State.Hosts.records().begin(), State.Hosts.records().end(),
                     [this](const auto &Entry) {
                       const auto &Host = Entry.second;
                       // Records from the store have revision 0.
                       return Host.Node != State.Own.Node &&
                              Host.Zone == State.Own.Zone && !Host.Leaving &&
                              Host.Revision > 0;
                     });
}

auto sidecar::implementation::answerReadiness(const http::request &Request)
    -> http::response {
  if (!platform::isReadinessRequest(Request)) {
    return {404, "", {}, "not found\n"};
  }
  auto IsReady = State.Routes && State.MeshTopicListed && !State.Stopping;
  return {IsReady ? 200 : 503, "", {}, IsReady ? "ready\n" : "not ready\n"};
}

auto sidecar::implementation::stateView() const -> state_view {
  return {State,
          Admission.load(),
          Entry.openCalls(),
          Entry.pipelining(),
          Usage.holder(),
          Entry.callerConnections()};
}

auto sidecar::implementation::answerMetrics(const http::request &Request)
    -> http::response {
  if (Request.Path == "/state") {
    return {200,
            "",
            {{"Content-Type", "application/json"}},
            renderState(stateView()) + "\n"};
  }
  if (Request.Path != "/metrics") {
    return {404, "", {}, "not found\n"};
  }
  return {200,
          "",
          {{"Content-Type", "text/plain; version=0.0.4"}},
          renderMetrics(State.Counters, collectGauges(stateView()))};
}

auto sidecar::implementation::listen() -> result<done> {
  auto &Settings = State.Settings;
  auto Open = [this](const event::endpoint &Address,
                     std::unique_ptr<http_endpoint> &Endpoint,
                     http_endpoint::handler Handle) -> result<done> {
    auto Opened = http_endpoint::open(State, Address, std::move(Handle));
    if (!isOk(Opened)) {
      return errorOf(Opened);
    }
    Endpoint = std::move(valueOf(Opened));
    return done();
  };
  auto Results = {
      Links.listen(), Entry.listen(),
      Open(Settings.ReadinessAddress, ReadinessEndpoint,
           [this](const auto &Request) { return answerReadiness(Request); }),
      Open(Settings.HeartbeatAddress, HeartbeatEndpoint,
           [this](const auto &Request) { return answerHeartbeat(Request); }),
      Open(Settings.MetricsAddress, MetricsEndpoint,
           [this](const auto &Request) { return answerMetrics(Request); })};
  for (const auto &Result : Results) {
    if (!isOk(Result)) {
      return errorOf(Result);
    }
  }
  return done();
}

void sidecar::implementation::runPeriodicChecks() {
  auto Now = Loop.now();
  auto Lateness = Now - State.CheckDueAt;
  if (State.CheckDueAt != steady_time() && Lateness > PauseThreshold) {
    State.Log.write(log_class::State, "process.paused",
                    {{"late_us", Lateness.count()}});
    // All state from before the pause may be outdated.
    State.KeyHold = {Now, Now + State.Settings.Bounds.ConfigApply,
                     State.RecordSource.ConfirmedAt};
    doubtColdTime("process was paused");
    askColdTime(false);
    Store.restart();
    Gossip.syncWithPeers();
  }
  Admission.dropOldOutcomes();
  noteVersions(State);
  if (++TickCount % SettingsCheckTicks == 0) {
    reloadIfChanged();
  }
  State.CheckDueAt = Now + TickInterval;
  Loop.addTimer(State.CheckDueAt, [this] { runPeriodicChecks(); });
}

void sidecar::implementation::measureLink() {
  auto Received = Loop.receivedBytes() - MeasuredReceivedBytes;
  auto Sent = Loop.sentBytes() - MeasuredSentBytes;
  MeasuredReceivedBytes += Received;
  MeasuredSentBytes += Sent;
  // 1 Mbit/s is 1 bit per microsecond.
  auto Bits = 8.0 * static_cast<double>(std::max(Received, Sent));
  auto Capacity = State.Settings.LinkMbps *
                  static_cast<double>(LinkMeasureInterval.count());
  auto Utilization = Capacity > 0 ? std::min(1.0, Bits / Capacity) : 0;
  State.LinkUtilization +=
      LinkSmoothingWeight * (Utilization - State.LinkUtilization);
  State.BulkShare =
      dispatch::adaptBulkShare(State.BulkShare, State.LinkUtilization);
  Loop.addTimer(Loop.now() + LinkMeasureInterval, [this] { measureLink(); });
}

auto sidecar::create(event::loop &Loop, const node_settings &Settings,
                     const std::string &SettingsPath, std::uint64_t Incarnation)
    -> result<std::unique_ptr<sidecar>> {
  auto Impl = std::make_unique<implementation>(Loop, Settings, SettingsPath,
                                               Incarnation);
  auto Listening = Impl->listen();
  if (!isOk(Listening)) {
    return errorOf(Listening);
  }
  return std::unique_ptr<sidecar>(new sidecar(std::move(Impl)));
}

auto sidecar::create(const node_settings &Settings,
                     const std::string &SettingsPath)
    -> result<std::unique_ptr<sidecar>> {
  auto Incarnation =
      static_cast<std::uint64_t>(std::max<std::int64_t>(1, wallNow().Value));
  auto Loop = std::make_unique<event::loop>();
  auto Created = create(*Loop, Settings, SettingsPath, Incarnation);
  if (isOk(Created)) {
    valueOf(Created)->OwnLoop = std::move(Loop);
  }
  return Created;
}

void sidecar::start() {
  auto &Self = *Impl;
  Self.State.Log.write(
      log_class::State, "process.started",
      {{"service", Self.State.Settings.Service.Value},
       {"zone", Self.State.Settings.Zone.Value},
       {"incarnation", static_cast<std::int64_t>(Self.State.Own.Incarnation)},
       {"process", static_cast<std::int64_t>(Self.State.Own.Process.Value)}});
  if (Self.State.Settings.FirstStart) {
    // No record of an earlier process can exist. One listing after the append
    // finds all hosts, or is found by them.
    Self.AnnouncementPending = true;
    Self.Loop.addTimer(Self.Loop.now() + AnnouncementDelay,
                       [&Self] { Self.announceHost(); });
  } else {
    Self.Store.start();
  }
  Self.Gossip.start();
  Self.Usage.start();
  Self.reloadIfChanged();
  Self.runPeriodicChecks();
  Self.measureLink();
}

/** Size from which a block of memory is mapped by itself, in bytes: the usual
 * default of the allocator. */
static constexpr auto LargeBlockBytes = 128 * 1024;

/** Makes freed buffers return to the system at once, so that the memory of the
 * process follows the memory budget. */
static void configureAllocator() {
  // Fixed thresholds: by default they grow with the largest freed block, and
  // large blocks then leave holes in the heap.
  mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, LargeBlockBytes);
  // A huge page would make a body that has just begun take 2 MB.
  prctl(PR_SET_THP_DISABLE, 1, 0, 0, 0);
}

void sidecar::run() {
  auto &Self = *Impl;
  Self.Signals = std::make_unique<signal_events>(
      Self.Loop, [&Self] { Self.beginStop([&Self] { Self.Loop.stop(); }); },
      [&Self] { Self.reload(); });
  configureAllocator();
  start();
  Self.Loop.run();
}

} // namespace sycamorelb::sidecar
