/** @file node.cpp A node: all threads and listeners of one process. */
#include "sycamorelb/node/node.h"

#include "node/claim_service.h"
#include "node/operations_cmd.h"
#include "node/ops_endpoints.h"
#include "sycamorelb/admin/admin_server.h"
#include "sycamorelb/config/checkpoint_func.h"
#include "sycamorelb/inner/rpc_server.h"
#include "sycamorelb/proxy/header_name.h"
#include "sycamorelb/telemetry/log_func.h"

#include <condition_variable>
#include <nlohmann/json.hpp>
#include <thread>

namespace sycamorelb::node {

using telemetry::log_level;
using telemetry::logLine;

/** Period at which leases and admission gates are checked and upstreams are
 * published. */
static constexpr auto HousekeepingPeriod = millis(200);
/** Maximum size of the records in one response to a peer, which stays below
 * 512 KiB. */
static constexpr auto MaxResponseRecordBytes = std::size_t{256} << 10U;
/** Period at which a drain checks for work in progress. */
static constexpr auto DrainPollPeriod = millis(10);
/** Time for the leave announcement to reach the peers. */
static constexpr auto LeaveAnnouncementTime = millis(1000);

static auto serverOptions(const settings::node_settings &Settings,
                          std::uint16_t Port, std::uint32_t Workers)
    -> proxy::server_options {
  auto Options = proxy::server_options();
  Options.Host = Settings.Listen.Ip;
  Options.Port = Port;
  Options.Workers = Workers;
  Options.MaxBodyBytes = Settings.Proxy.MaxBodyBytes;
  return Options;
}

struct node::implementation {
  node_context Context;
  brake_registry Brakes;
  gossip_loop Gossip;
  config_loop Config;
  publisher Publisher;
  move_loop Moves;
  admission_control Admission;
  claim_service Claims;
  call_policy Policy;
  operations Operations;
  proxy::proxy_handler Proxy;
  proxy::http_server CallerServer;
  proxy::http_server PeerServer;
  proxy::http_server OpsServer;
  std::thread Housekeeper;
  std::mutex SleepMutex; // Leaf lock for the wait between housekeeping rounds.
  std::condition_variable Wake;
  std::atomic<bool> DrainRequested{false};

  explicit implementation(const settings::node_settings &Settings)
      : Context(Settings), Gossip(Context, gossipHandlers()),
        Config(Context,
               [this](const auto &Point) { Gossip.setOwnPoint(Point); }),
        Publisher(Context, Config),
        Moves(Context, Brakes, Gossip, Config, Publisher),
        Admission(Context, Brakes,
                  [this](const auto &Call) { Moves.recordCall(Call); }),
        Claims(Context), Policy(Context, Brakes),
        Operations(Context, Publisher),
        Proxy({}, Policy.hooks(), admissionHooks()),
        CallerServer(serverOptions(Settings, Settings.Listen.CallerPort,
                                   Settings.Proxy.CallerThreads)),
        PeerServer(serverOptions(Settings, Settings.Listen.PeerPort,
                                 Settings.Proxy.PeerThreads)),
        OpsServer(serverOptions(Settings, Settings.Listen.OpsPort, 2)) {}

  auto gossipHandlers() -> gossip_handlers {
    return {
        [this](const auto &From, const auto &Address, const auto &Point) {
          Config.onPeerPoint(From, Address, Point);
        },
        [this](const auto &From, const auto &Address, const auto &Notice) {
          Config.onNotice(From, Address, Notice);
        },
        [this](const auto &Brake) { Moves.onPeerBrake(Brake); },
        [this](const auto &, const auto &Bytes) { Moves.onPeerReport(Bytes); }};
  }

  auto admissionHooks() -> proxy::admission_hooks {
    auto Hooks = proxy::admission_hooks();
    Hooks.Admit = [this](const auto &Request, auto &Cancel) {
      return Admission.admit(Request, Cancel);
    };
    Hooks.Claim = [this](auto KeyHash, const auto &Request, const auto &Ticket,
                         auto &) {
      return Claims.claim(KeyHash, Request, Ticket);
    };
    Hooks.Release = [this](const auto &Request, const auto &Ticket,
                           const auto &Outcome, auto KeyHash) {
      Admission.release(Request, Ticket, Outcome);
      if (KeyHash) {
        Claims.finish(*KeyHash, Request, Ticket, Outcome);
      }
    };
    Hooks.Authenticate = [this](const auto &Headers) {
      return authenticate(Headers);
    };
    return Hooks;
  }

  auto authenticate(const proxy::header_list &Headers) const -> bool {
    auto Value = [&Headers](std::string_view Name) {
      return proxy::findHeader(Headers, Name).value_or("");
    };
    return inner::checkRequestAuth(Context.InnerKeys, Value(proxy::AuthHeader),
                                   Value(proxy::ServiceHeader),
                                   Value(proxy::RouteHeader),
                                   Value(proxy::VersionHeader), wallNow());
  }

  auto fetchRecords(const membership::config_mark &Mark)
      -> inner::fetched_records {
    auto Answer = inner::fetched_records();
    auto Point = Context.Store.point();
    Answer.Config = {Point.Position, Point.Hash};
    auto Found = Context.Store.recordsAfter({Mark.Position, Mark.ChainHash},
                                            MaxResponseRecordBytes);
    if (auto *Batch = std::get_if<config::record_batch>(&Found)) {
      Answer.Records = std::move(Batch->Records);
      Answer.Config = {Batch->End.Position, Batch->End.Hash};
      return Answer;
    }
    switch (std::get<config::no_records>(Found)) {
    case config::no_records::Forked:
      Answer.Outcome = inner::fetch_outcome::Fork;
      break;
    case config::no_records::TooOld:
      Answer.Outcome = inner::fetch_outcome::TooOld;
      break;
    case config::no_records::PeerAhead:
      break;
    }
    return Answer;
  }

  auto peerHandlers() -> inner::peer_handlers {
    auto Handlers = inner::peer_handlers();
    Handlers.FetchRecords = [this](const auto &Mark) {
      return fetchRecords(Mark);
    };
    Handlers.FetchState = [this]() -> result<std::string> {
      return config::encodeState(Context.Store.current()->State);
    };
    Handlers.ExchangeMembers = [this](auto Request) {
      return Gossip.answerExchange(Request);
    };
    Handlers.Claim = [this](auto Batch) { return Claims.onPeerClaims(Batch); };
    Handlers.ReleaseClaim = [this](auto Claim) { Claims.onPeerRelease(Claim); };
    Handlers.Evidence = [this](auto, auto Bytes) { Moves.onPeerReport(Bytes); };
    return Handlers;
  }

  auto dumpSources() -> dump_sources {
    return {Context, Config, Admission,    Policy,
            Moves,   Proxy,  CallerServer, PeerServer};
  }

  auto adminHandlers() -> admin::admin_handlers {
    auto Handlers = admin::admin_handlers();
    Handlers.Apply = [this](const auto &Request, const auto &Text,
                            const auto &File) {
      return Operations.apply(Request, Text, File);
    };
    Handlers.StartMove = [this](const auto &Request, const auto &Move) {
      return Operations.startMove(Request, Move);
    };
    Handlers.SetZone = [this](const auto &Request, const auto &Zone,
                              bool InService) {
      return Operations.setZone(Request, Zone, InService);
    };
    Handlers.TakeBackMove = [this](const auto &Request, const auto &Service) {
      return Operations.takeBackMove(Request, Service);
    };
    Handlers.Outcome = [this](const auto &Request) {
      return Operations.findOutcome(Request);
    };
    Handlers.Status = [this] { return Operations.status(); };
    Handlers.Declaration = [this] { return Operations.declaration(); };
    Handlers.Dump = [this] { return dumpState(dumpSources()).dump(2); };
    Handlers.Drain = [this] { DrainRequested = true; };
    return Handlers;
  }

  /** Opens all listeners. @return done or the first error. */
  auto listen() -> result<done> {
    const auto &Settings = Context.Settings;
    auto InnerAddress = ownAddress(Settings, Settings.Listen.InnerPort);
    const auto &InnerKeys = Context.InnerKeys;
    auto Udp =
        inner::udp_transport::open(InnerAddress, Context.Self.Id, InnerKeys);
    if (!isOk(Udp)) {
      return errorOf(Udp);
    }
    Context.Udp = std::move(valueOf(Udp));
    auto Peers = inner::servePeers(Context.Loop,
                                   {InnerAddress, Context.Self.Id, InnerKeys},
                                   peerHandlers());
    if (!isOk(Peers)) {
      return errorOf(Peers);
    }
    auto Operators = admin::serveOperators(
        Context.Loop, ownAddress(Settings, Settings.Listen.AdminPort),
        toAuthKeys(Settings.AdminKeys), adminHandlers());
    if (!isOk(Operators)) {
      return errorOf(Operators);
    }
    CallerServer.handleCalls(Proxy.entry());
    PeerServer.handleCalls(Proxy.admission());
    addOpsEndpoints(OpsServer, dumpSources(), Admission);
    for (auto *Server : {&OpsServer, &PeerServer, &CallerServer}) {
      if (auto Started = Server->start(); !isOk(Started)) {
        return errorOf(Started);
      }
    }
    return done();
  }

  void startThreads() {
    Gossip.start();
    Config.start();
    Moves.start();
    Housekeeper = std::thread([this] { runHousekeeping(); });
  }

  /** Drains this process if a newer one runs with the same node id: new calls
   * are refused as not run, and drainRequested() returns true. */
  void stopIfSuperseded() {
    auto Superseded = false;
    {
      auto Lock = std::lock_guard(Context.MemberMutex);
      Superseded = Context.Members.Superseded;
    }
    if (!Superseded || DrainRequested.exchange(true)) {
      return;
    }
    logLine(
        log_level::Error, {"node.superseded", "", ""},
        "a newer process runs with the id of this node; refusing new calls");
    Context.Draining = true;
    CallerServer.beginDrain();
    PeerServer.beginDrain();
  }

  void runHousekeeping() {
    while (!Context.Stopping) {
      stopIfSuperseded();
      Admission.tick();
      Gossip.setOwnUpstreams(Admission.upstreams());
      auto Lock = std::unique_lock(SleepMutex);
      Wake.wait_for(Lock, HousekeepingPeriod);
    }
  }

  auto drain() -> bool {
    logLine(log_level::Info, {"node.drain", "", ""},
            "graceful shutdown started");
    // Peers are told first, so that few new calls arrive and are refused.
    Gossip.beginLeaving();
    std::this_thread::sleep_for(LeaveAnnouncementTime);
    Context.Draining = true;
    PeerServer.beginDrain();
    auto Deadline = steadyNow() + Context.Settings.Timing.DrainTimeout;
    auto TimeLeft = [Deadline] {
      return std::chrono::duration_cast<millis>(Deadline - steadyNow());
    };
    // The upstreams beside this node may make nested calls for the work that
    // they are finishing, so callers are served until that work is done.
    auto AllFinished = PeerServer.waitIdle(TimeLeft());
    while (!Admission.isIdle() && TimeLeft() > millis(0)) {
      std::this_thread::sleep_for(DrainPollPeriod);
    }
    CallerServer.beginDrain();
    AllFinished =
        CallerServer.waitIdle(TimeLeft()) && AllFinished && Admission.isIdle();
    Gossip.finishLeaving();
    logLine(log_level::Info, {"node.drain", "", ""},
            "graceful shutdown finished",
            {{"all_calls_finished", AllFinished}});
    return AllFinished;
  }

  void stop() {
    Context.Stopping = true;
    Wake.notify_all();
    CallerServer.stop();
    PeerServer.stop();
    OpsServer.stop();
    Moves.stop();
    Config.stop();
    Gossip.stop();
    if (Housekeeper.joinable()) {
      Housekeeper.join();
    }
    // The handlers use members that are destroyed before the RPC loop is.
    Context.Loop.stopServing();
  }
};

node::node(std::unique_ptr<implementation> State) : Impl(std::move(State)) {}

node::~node() { Impl->stop(); }

auto node::start(const settings::node_settings &Settings)
    -> result<std::unique_ptr<node>> {
  auto State = std::make_unique<implementation>(Settings);
  if (auto Listening = State->listen(); !isOk(Listening)) {
    State->stop();
    return errorOf(Listening);
  }
  State->startThreads();
  logLine(log_level::Info, {"node.start", "", ""}, "node started",
          {{"zone", Settings.Zone.Value},
           {"incarnation", State->Context.Incarnation.Value}});
  return std::unique_ptr<node>(new node(std::move(State)));
}

auto node::drainRequested() const -> bool { return Impl->DrainRequested; }

auto node::drain() -> bool { return Impl->drain(); }

} // namespace sycamorelb::node
