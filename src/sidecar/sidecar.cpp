/** @file sidecar.cpp Wiring of a node and its start and stop. */
#include "platform/heartbeat.h"
#include "platform/settings_file.h"
#include "sidecar/sidecar_state.h"
#include "sycamorelb/core/clock_func.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <sys/stat.h>

namespace sycamorelb::sidecar {

using namespace inner;

/** Interval at which the use of the link is measured, and the weight of a new
 * value in its mean. */
static constexpr auto LinkInterval = micros(200'000);

static constexpr auto LinkWeight = 0.3;

/** Interval of the look at the settings file and the own pauses. */
static constexpr auto TickInterval = micros(1'000'000);

/** Time after which a host without target writes its record to the store. With
 * a target it does so at once: nodes that start after all were killed then know
 * which target to ask for. */
static constexpr auto AnnounceDelay = micros(2'000'000);

/** Ticks between two looks at the settings file. */
static constexpr auto SettingsTicks = 5;

/** Lateness of a tick that means that the process stood still. */
static constexpr auto PauseTime = micros(1'500'000);

/** Time after a stop signal in which callers may still come, as readiness is
 * asked once a second and two misses count. */
static constexpr auto StopServeTime = micros(3'000'000);

/** Time after a stop signal in which other nodes still send calls: their
 * targets may be short of room, and most calls end in the rest of the time. */
static constexpr auto StopAdmitTime = micros(2'200'000);

/** Time after a stop signal from which idle connections are closed. */
static constexpr auto StopIdleTime = micros(2'500'000);

/** Part of the time for a stop that is left unused. */
static constexpr auto StopMargin = micros(300'000);

/** Interval of the checks during a stop. */
static constexpr auto StopCheckInterval = micros(100'000);

sidecar::sidecar(std::unique_ptr<implementation> Impl)
    : Impl(std::move(Impl)) {}

sidecar::~sidecar() = default;

auto sidecar::implementation::linkEvents() -> peer_events {
  auto Events = peer_events();
  Events.OnLinkMessage = [this](const node_id &Node, mesh_message Message) {
    if (auto *Reply = std::get_if<reply_message>(&Message)) {
      Entry.handleReply(Node, *Reply);
    } else if (auto *News = std::get_if<gossip_message>(&Message)) {
      Gossip.handle(*News, [this, Node](const mesh_message &Answer) {
        Links.send(Node, Answer);
      });
    }
  };
  Events.OnLinkLost = [this](const node_id &Node, bool Established) {
    Entry.handleLinkLost(Node, Established);
  };
  Events.OnSessionMessage = [this](const std::shared_ptr<peer_session> &Session,
                                   mesh_message Message) {
    handleSession(Session, std::move(Message));
  };
  Events.OnSessionLost = [this](const std::shared_ptr<peer_session> &Session) {
    Admission.handleConnectionLost(Session.get());
  };
  return Events;
}

auto sidecar::implementation::replyTo(
    const std::shared_ptr<peer_session> &Session) -> admission::reply_handler {
  return [this, Weak = std::weak_ptr<peer_session>(Session)](
             const reply_message &Reply) {
    if (auto Origin = Weak.lock()) {
      sendOn(*Origin, Reply, Loop.now());
    }
  };
}

void sidecar::implementation::handleSession(
    const std::shared_ptr<peer_session> &Session, mesh_message Message) {
  auto Key = call_key{Session->Peer.Node, Session->Peer.Incarnation, {}};
  if (auto *Forward = std::get_if<forward_message>(&Message)) {
    Key.Call = Forward->Call;
    Admission.submit(Key, std::move(*Forward), replyTo(Session), Session.get());
  } else if (auto *Cancel = std::get_if<cancel_message>(&Message)) {
    Key.Call = Cancel->Call;
    Admission.cancel(Key);
  } else if (auto *Resume = std::get_if<resume_message>(&Message)) {
    Key.Call = Resume->Call;
    Admission.resume(Key, Resume->Age, replyTo(Session), Session.get());
  } else if (auto *News = std::get_if<gossip_message>(&Message)) {
    Gossip.handle(*News, [this, Session](const mesh_message &Answer) {
      sendOn(*Session, Answer, Loop.now());
    });
  } else if (auto *Opened = std::get_if<opened_message>(&Message)) {
    Gossip.mergeHost(Opened->Sender);
  }
}

auto sidecar::implementation::gossipEvents() -> gossip_events {
  auto Events = gossip_events();
  Events.OnOperatorKeys = [this](const std::vector<std::string> &Keys) {
    noteOperatorKeys(Keys);
  };
  Events.OnEarlierSelf = [this](const mesh::host_record &Earlier) {
    applyEarlierTarget(Watch, Earlier.Target);
    if (Earlier.Target.State == mesh::target_state::Ready) {
      EarlierTarget = Earlier.Target;
      probeEarlierTarget();
    }
    if (Watch.Known.State > mesh::target_state::Ready &&
        State.Own.Target.State == mesh::target_state::Ready) {
      publishTarget();
    }
  };
  Events.OnRollout = [this](const rollout::rollout_state &News) {
    Rollouts.mergeProgress(News);
  };
  Events.OnEvidence = [this](const rollout_evidence_report &Report) {
    Rollouts.mergeEvidence(Report);
  };
  return Events;
}

auto sidecar::implementation::storeEvents() -> store_events {
  auto Events = store_events();
  Events.OnOperatorKeys = [this](const std::vector<std::string> &Keys,
                                 log_offset From) {
    noteOperatorKeys(Keys);
    // The first listing of a node that starts is no news.
    if (!Keys.empty() && State.StoreListed) {
      Gossip.tellOperatorChanges(From);
    }
  };
  Events.CanRely = [this] { return Gossip.canRelyOnZone(); };
  Events.MustRead = [this] { return Gossip.mustReadStore(); };
  Events.OnMeshListed =
      [this](const std::vector<mesh::operator_record> &Records) {
        noteMeshListed(Records);
      };
  Events.OnStoreLost = [this](bool Lost) {
    State.Own.StoreLost = Lost;
    publishOwn(State);
    Gossip.tellNews();
  };
  return Events;
}

void sidecar::implementation::noteOperatorKeys(
    const std::vector<std::string> &Keys) {
  auto HadRoutes = State.Routes != nullptr;
  auto WasEvacuated = State.Evacuated.contains(State.Own.Zone);
  if (!applyOperatorKeys(State, Keys)) {
    return;
  }
  if (WasEvacuated && !State.Evacuated.contains(State.Own.Zone)) {
    // The targets of an evacuated zone may have become cold meanwhile.
    Admission.assumeCold();
  }
  Rollouts.noteOrders();
  Admission.recheckQueue();
  if (!HadRoutes && State.Routes) {
    probeEarlierTarget();
    if (Watch.Unverified) {
      verifyHeartbeat(*Watch.Unverified);
    }
    Gossip.answerWaiting();
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
    // Its target may be gone by now; what the host says itself goes first.
    Host.Target.State = mesh::target_state::Absent;
    Host.Revision = 0;
  }
  Gossip.mergeHost(Host);
  for (const auto &Rollout : Message->Rollouts) {
    Rollouts.mergeProgress(Rollout);
  }
}

void sidecar::implementation::noteMeshListed(
    const std::vector<mesh::operator_record> &Records) {
  auto Key = "host/" + State.Own.Node.Value;
  auto Listed = false;
  for (const auto &Record : Records) {
    mergeMeshRecord(Record);
    Listed = Listed || Record.Key == Key;
  }
  State.StoreListed = true;
  Gossip.greetAll();
  Unannounced = !Listed;
  if (State.Own.Target.State == mesh::target_state::Ready) {
    return announce();
  }
  Loop.addTimer(Loop.now() + AnnounceDelay, [this] { announce(); });
}

void sidecar::implementation::announce() {
  if (!std::exchange(Unannounced, false)) {
    return;
  }
  auto Key = "host/" + State.Own.Node.Value;
  // Hosts that list the topic after this find this one; those that listed it
  // before are found by the second listing.
  auto Self = gossip_message();
  Self.Sender = State.Own;
  Store.append(platform::store_topic::Mesh, Key,
               encodeMeshMessage(Self, Loop.now()), std::nullopt,
               [this](const result<platform::append_ack> &) {
                 Store.list(platform::store_topic::Mesh,
                            [this](result<platform::store_page> Page) {
                              if (!isOk(Page)) {
                                return;
                              }
                              for (const auto &Record : valueOf(Page).Records) {
                                mergeMeshRecord(Record);
                              }
                              Gossip.greetAll();
                            });
               });
}

auto sidecar::implementation::answerReadiness(const http::request &Request)
    -> http::response {
  if (!platform::isReadinessRequest(Request)) {
    return {404, "", {}, "not found\n"};
  }
  auto IsReady = State.Routes && State.StoreListed && !State.Stopping;
  return {IsReady ? 200 : 503, "", {}, IsReady ? "ready\n" : "not ready\n"};
}

auto sidecar::implementation::view() const -> state_view {
  return {State, Admission.load(), Entry.openCalls()};
}

auto sidecar::implementation::answerMetrics(const http::request &Request)
    -> http::response {
  if (Request.Path == "/state") {
    return {200,
            "",
            {{"Content-Type", "application/json"}},
            renderState(view()) + "\n"};
  }
  if (Request.Path != "/metrics") {
    return {404, "", {}, "not found\n"};
  }
  return {200,
          "",
          {{"Content-Type", "text/plain; version=0.0.4"}},
          renderMetrics(State.Counters, gaugesOf(view()))};
}

auto sidecar::implementation::listen() -> result<done> {
  auto &Settings = State.Settings;
  auto Open = [this](const event::endpoint &Address,
                     std::unique_ptr<http_endpoint> &Into,
                     http_endpoint::handler Handle) -> result<done> {
    auto Opened = http_endpoint::open(Loop, Address, std::move(Handle));
    if (!isOk(Opened)) {
      return errorOf(Opened);
    }
    Into = std::move(valueOf(Opened));
    return done();
  };
  auto Results = {
      Links.listen(), Entry.listen(),
      Open(Settings.Ready, Ready,
           [this](const auto &Request) { return answerReadiness(Request); }),
      Open(Settings.Control, Control,
           [this](const auto &Request) { return answerControl(Request); }),
      Open(Settings.Metrics, Metrics,
           [this](const auto &Request) { return answerMetrics(Request); })};
  for (const auto &Result : Results) {
    if (!isOk(Result)) {
      return errorOf(Result);
    }
  }
  return done();
}

void sidecar::implementation::tick() {
  auto Now = Loop.now();
  auto Late = Now - TickDue;
  if (TickDue != steady_time() && Late > PauseTime) {
    State.Log.write(log_class::State, "process.paused",
                    {{"late_us", Late.count()}});
    // What was believed before the pause may be wrong by now.
    Admission.assumeCold();
    Store.restart();
    Gossip.greetAll();
  }
  if (++Ticks % SettingsTicks == 0) {
    checkSettings();
  }
  TickDue = Now + TickInterval;
  Loop.addTimer(TickDue, [this] { tick(); });
}

void sidecar::implementation::measureLink() {
  auto Received = Loop.receivedBytes() - LinkReceived;
  auto Sent = Loop.sentBytes() - LinkSent;
  LinkReceived += Received;
  LinkSent += Sent;
  // Mbit/s are bits per microsecond.
  auto Bits = 8.0 * static_cast<double>(std::max(Received, Sent));
  auto Capacity =
      State.Settings.LinkMbps * static_cast<double>(LinkInterval.count());
  auto Busy = Capacity > 0 ? std::min(1.0, Bits / Capacity) : 0;
  State.LinkBusy += LinkWeight * (Busy - State.LinkBusy);
  State.BulkShare = dispatch::adaptBulkShare(State.BulkShare, State.LinkBusy);
  Loop.addTimer(Loop.now() + LinkInterval, [this] { measureLink(); });
}

void sidecar::implementation::checkSettings() {
  struct stat Info = {};
  if (Path.empty() || ::stat(Path.c_str(), &Info) != 0) {
    return;
  }
  auto Changed = Info.st_mtim.tv_sec != SettingsTime.tv_sec ||
                 Info.st_mtim.tv_nsec != SettingsTime.tv_nsec;
  auto First = SettingsTime.tv_sec == 0;
  SettingsTime = Info.st_mtim;
  if (Changed && !First) {
    reload();
  }
}

void sidecar::implementation::reload() {
  auto File = std::ifstream(Path);
  auto Text = std::stringstream();
  Text << File.rdbuf();
  auto News = platform::decodeSettings(Text.str());
  if (!isOk(News)) {
    ++State.Counters.BadInput["settings"];
    State.Log.write(log_class::State, "settings.rejected",
                    {{"path", Path}, {"fault", errorOf(News).Message}});
    return;
  }
  auto &Held = State.Settings;
  const auto &Value = valueOf(News);
  auto NeedsRestart =
      Value.Node != Held.Node || !(Value.Callers == Held.Callers) ||
      !(Value.Peer == Held.Peer) || !(Value.Target == Held.Target) ||
      Value.Service != Held.Service || Value.Zone != Held.Zone;
  Held.Bounds = Value.Bounds;
  Held.HeartbeatInterval = Value.HeartbeatInterval;
  Held.Store = Value.Store;
  State.Log.write(
      log_class::State, "settings.reloaded",
      {{"path", Path}, {"needs_restart", std::int64_t{NeedsRestart ? 1 : 0}}});
}

void sidecar::implementation::beginStop() {
  if (State.Stopping) {
    return;
  }
  State.Stopping = true;
  StopAt = Loop.now();
  State.Log.write(
      log_class::State, "process.stopping",
      {{"open_calls", static_cast<std::int64_t>(Entry.openCalls())},
       {"busy", static_cast<std::int64_t>(Admission.pendingCalls())}});
  checkStop();
}

void sidecar::implementation::checkStop() {
  auto Passed = Loop.now() - StopAt;
  if (Passed >= StopAdmitTime && !State.Own.Leaving) {
    State.Own.Leaving = true;
    publishOwn(State);
    Gossip.tellNews();
  }
  if (Passed >= StopIdleTime) {
    Entry.closeIdle();
  }
  if (Passed >= StopServeTime) {
    Entry.refuseNew();
  }
  auto Idle = Entry.openCalls() == 0 && Admission.pendingCalls() == 0;
  auto Over = micros(State.Settings.Bounds.StopGrace) - StopMargin;
  if ((Passed >= StopServeTime && Idle) || Passed >= Over) {
    State.Log.write(
        log_class::State, "process.stopped",
        {{"after_us", Passed.count()},
         {"open_calls", static_cast<std::int64_t>(Entry.openCalls())}});
    State.Log.flush();
    return Loop.stop();
  }
  Loop.addTimer(Loop.now() + StopCheckInterval, [this] { checkStop(); });
}

auto sidecar::create(const node_settings &Settings,
                     const std::string &SettingsPath)
    -> result<std::unique_ptr<sidecar>> {
  auto Start =
      static_cast<std::uint64_t>(std::max<std::int64_t>(1, wallNow().Value));
  auto Impl = std::make_unique<implementation>(Settings, SettingsPath, Start);
  auto Listening = Impl->listen();
  if (!isOk(Listening)) {
    return errorOf(Listening);
  }
  return std::unique_ptr<sidecar>(new sidecar(std::move(Impl)));
}

void sidecar::run() {
  auto &Self = *Impl;
  Self.Signals = std::make_unique<signal_events>(
      Self.Loop, [&Self] { Self.beginStop(); }, [&Self] { Self.reload(); });
  Self.State.Log.write(
      log_class::State, "process.started",
      {{"service", Self.State.Settings.Service.Value},
       {"zone", Self.State.Settings.Zone.Value},
       {"incarnation", static_cast<std::int64_t>(Self.State.Own.Incarnation)}});
  Self.Store.start();
  Self.Gossip.start();
  Self.checkSettings();
  Self.tick();
  Self.measureLink();
  Self.Loop.run();
}

} // namespace sycamorelb::sidecar
