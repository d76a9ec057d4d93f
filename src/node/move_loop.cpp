/** @file move_loop.cpp Thread that reports evidence and drives traffic moves.
 */
#include "node/move_loop.h"

#include "sycamorelb/core/hash_func.h"
#include "sycamorelb/moves/move_func.h"
#include "sycamorelb/telemetry/log_func.h"

#include <algorithm>
#include <condition_variable>
#include <nlohmann/json.hpp>
#include <thread>

namespace sycamorelb::node {

using config::move_state;
using telemetry::log_level;
using telemetry::logLine;
using telemetry::metric;

/** Period at which the driver of a move decides on the next step. */
static constexpr auto DrivePeriod = millis(500);
/** Period of evidence reports while a move runs. */
static constexpr auto ReportPeriod = millis(1000);
/** Number of nodes that receive the reports: the driver and the next in rank,
 * so that the latter has all evidence when it takes over from a failed
 * driver. */
static constexpr auto ReportReceivers = std::size_t{2};
/** Timeout of publishing one step or verdict. */
static constexpr auto PublishTimeout = millis(3000);

/** Minimum duration of one measurement of the load of a service. */
static constexpr auto LoadMeasurePeriod = millis(3000);

/** Measures the mean number of calls in flight from the evidence. */
struct load_meter {
  wall_ms Since;             ///< Start of the current measurement.
  double TotalLatencyUs = 0; ///< Sum of all latencies by then.
  double InFlight = 0;       ///< Result of the last measurement.
};

/** @return the sum of the latencies of all calls; each counts as the upper
 * bound of its bucket. */
static auto totalLatencyUs(const moves::merged_evidence &Evidence) -> double {
  auto TotalUs = 0.0;
  for (const auto &[Route, Total] : Evidence.Totals) {
    for (const auto &Side : Total) {
      for (auto Bucket = std::size_t{0}; Bucket + 1 < Side.Latency.size();
           ++Bucket) {
        TotalUs += static_cast<double>(Side.Latency[Bucket]) *
                   static_cast<double>(moves::bucketEnd(Bucket).count());
      }
    }
  }
  return TotalUs;
}

/** Updates the meter. @return the mean number of calls in flight. */
static auto measureLoad(load_meter &Meter,
                        const moves::merged_evidence &Evidence, wall_ms Now)
    -> double {
  auto Elapsed = Now.Value - Meter.Since.Value;
  if (Elapsed >= LoadMeasurePeriod.count()) {
    auto LatencyUs = totalLatencyUs(Evidence);
    if (Meter.Since.Value > 0) {
      Meter.InFlight = std::max(0.0, LatencyUs - Meter.TotalLatencyUs) /
                       (static_cast<double>(Elapsed) * 1000.0);
    }
    Meter = {Now, LatencyUs, Meter.InFlight};
  }
  return Meter.InFlight;
}

/** State that a node keeps of one running move. */
struct tracked_move {
  moves::local_evidence Local;     ///< From the upstreams of this node.
  moves::merged_evidence Merged;   ///< From all nodes; for the driver.
  moves::test_state Test;          ///< Sequential test of the driver.
  moves::driver_state DriverState; ///< State of the driver.
  load_meter Load;                 ///< Load of the service.
  std::string LastDecision;        ///< For the state dump.
};

struct move_loop::implementation {
  node_context &Context;
  brake_registry &Brakes;
  gossip_loop &Gossip;
  config_loop &Config;
  publisher &Publisher;
  std::thread Thread;
  std::mutex SleepMutex; // Leaf lock for the wait between rounds.
  std::condition_variable Wake;
  mutable ranked_mutex<lock_rank::MoveEvidence> Mutex; // Guards all below.
  std::map<move_id, tracked_move> TrackedMoves;
  steady_time NextReport{};

  implementation(node_context &NodeContext, brake_registry &NodeBrakes,
                 gossip_loop &GossipLoop, config_loop &ConfigLoop,
                 publisher &NodePublisher)
      : Context(NodeContext), Brakes(NodeBrakes), Gossip(GossipLoop),
        Config(ConfigLoop), Publisher(NodePublisher) {}

  /** The mutex must be held. */
  auto trackMove(const move_id &Move) -> tracked_move & {
    auto [Entry, Inserted] = TrackedMoves.try_emplace(Move);
    if (Inserted) {
      Entry->second.Local.Move = Move;
      Entry->second.Merged.Move = Move;
    }
    return Entry->second;
  }

  void run() {
    while (!Context.Stopping) {
      auto Snapshot = Context.Store.current();
      Brakes.prune(*Snapshot, wallNow());
      removeEndedMoves(*Snapshot);
      auto ReportNow = steadyNow() >= NextReport;
      if (ReportNow) {
        NextReport = steadyNow() + ReportPeriod;
      }
      for (const auto &[Service, State] : Snapshot->RunningMoves) {
        processMove(State, ReportNow);
      }
      auto Lock = std::unique_lock(SleepMutex);
      Wake.wait_for(Lock, DrivePeriod);
    }
  }

  void removeEndedMoves(const config::snapshot &Snapshot) {
    auto Lock = std::lock_guard(Mutex);
    std::erase_if(TrackedMoves, [&Snapshot](const auto &Entry) {
      auto State = Snapshot.State.Moves.find(Entry.first);
      return State == Snapshot.State.Moves.end() ||
             State->second.Phase != config::move_phase::Running;
    });
  }

  /** @return the nodes that receive the reports on a move, highest rank first.
   */
  auto reportReceivers(const move_id &Move) const -> std::vector<config::peer> {
    auto Live = Context.View.load()->Live;
    std::sort(Live.begin(), Live.end(),
              [&Move](const config::peer &Left, const config::peer &Right) {
                return rendezvousScore(Move.Value, Left.Id.Value) >
                       rendezvousScore(Move.Value, Right.Id.Value);
              });
    Live.resize(std::min(Live.size(), ReportReceivers));
    return Live;
  }

  void processMove(const move_state &State, bool ReportNow) {
    const auto &Move = State.Move.Id;
    auto Receivers = reportReceivers(Move);
    if (ReportNow) {
      sendReports(Move, Receivers);
    }
    Context.Metrics.set(metric::MoveSharePpm, {{"move", Move.Value}},
                        State.Share.Value);
    if (!Receivers.empty() && Receivers.front().Id == Context.Self.Id) {
      driveMove(State);
    }
  }

  void sendReports(const move_id &Move,
                   const std::vector<config::peer> &Receivers) {
    auto Reports = std::vector<moves::evidence_report>();
    {
      auto Lock = std::lock_guard(Mutex);
      auto &Tracked = trackMove(Move);
      Reports = moves::buildReports(Tracked.Local, Context.Self.Id,
                                    Context.Incarnation, wallNow());
      for (const auto &Report : Reports) {
        moves::mergeReport(Tracked.Merged, Report, wallNow());
      }
    }
    auto View = Context.View.load();
    for (const auto &Report : Reports) {
      auto Datagram = inner::evidence_report{moves::encodeReport(Report)};
      for (const auto &Receiver : Receivers) {
        if (Receiver.Id != Context.Self.Id) {
          Context.Udp->send(innerAddress(*View, Receiver.Id), Datagram);
        }
      }
    }
  }

  /** @return the current capacity of both versions. A cold upstream counts with
   * its cold-start limit: without calls it would never warm up. */
  auto currentCapacity(const config::move &Move) const -> moves::move_capacity {
    auto Capacity = moves::move_capacity();
    auto View = Context.View.load();
    for (const auto &Member : View->Members) {
      for (const auto &Upstream : Member.Upstreams) {
        if (Upstream.Service != Move.Service ||
            Upstream.State == membership::upstream_state::Draining) {
          continue;
        }
        if (Upstream.Version == Move.To) {
          Capacity.WarmNewLimit += Upstream.Limit;
        } else if (Upstream.Version == Move.From) {
          Capacity.WarmOldLimit += Upstream.Limit;
        }
      }
    }
    return Capacity;
  }

  auto makeTestPlan(const move_state &State) const -> moves::test_plan {
    auto Plan = moves::test_plan{State.StartedAt, State.Move.By, 0};
    auto Snapshot = Context.Store.current();
    for (const auto &Route : Snapshot->State.Declared.Routes) {
      Plan.Routes += Route.Service == State.Move.Service ? 1 : 0;
    }
    Plan.Routes = std::max(Plan.Routes, std::size_t{1});
    return Plan;
  }

  void driveMove(const move_state &State) {
    auto Decision = moves::move_decision();
    auto NewAlarm = std::optional<moves::move_alarm>();
    {
      auto Lock = std::lock_guard(Mutex);
      auto &Tracked = trackMove(State.Move.Id);
      auto HadAlarm = Tracked.Test.Alarm.has_value();
      moves::advanceTest(Tracked.Test, Tracked.Merged, makeTestPlan(State),
                         State.Step, wallNow());
      if (!HadAlarm) {
        NewAlarm = Tracked.Test.Alarm;
      }
      auto Input = moves::makeMoveInput(Tracked.Test, Tracked.Merged);
      Input.Brake = Brakes.reason(State.Move.Id);
      Input.Capacity = currentCapacity(State.Move);
      Input.Capacity.InFlight =
          measureLoad(Tracked.Load, Tracked.Merged, wallNow());
      Input.LogAvailable = Config.logAvailable();
      Decision =
          moves::decideNext(State, Tracked.DriverState, Input, wallNow());
      Tracked.LastDecision = describeDecision(Decision);
    }
    if (NewAlarm) {
      raiseBrake(State, *NewAlarm);
    }
    publish(State, Decision);
  }

  static auto describeDecision(const moves::move_decision &Decision)
      -> std::string {
    if (const auto *Hold = std::get_if<moves::move_hold>(&Decision)) {
      return "hold: " + Hold->Reason;
    }
    if (const auto *Step = std::get_if<moves::move_step>(&Decision)) {
      return "step " + std::to_string(Step->Number) + " to " +
             std::to_string(Step->Share.Value) + " ppm";
    }
    const auto &Verdict = std::get<moves::move_verdict>(Decision);
    return Verdict.Phase == config::move_phase::Done
               ? "done"
               : "taken back: " + Verdict.Reason;
  }

  void raiseBrake(const move_state &State, const moves::move_alarm &Alarm) {
    auto Reason = Alarm.Reason;
    if (!Alarm.Route.Value.empty()) {
      Reason += " on route " + Alarm.Route.Value;
    }
    auto Notice = membership::brake_notice{State.Move.Id, State.Move.Service,
                                           State.Move.To, wallNow(), Reason};
    Brakes.add(Notice);
    Gossip.raiseBrake(Notice);
    Context.Metrics.increment(
        metric::MoveBrakes,
        {{"move", State.Move.Id.Value}, {"origin", "raised"}});
    logLine(log_level::Warning, {"move.brake", "", ""}, "brake raised",
            {{"move", State.Move.Id.Value}, {"reason", Reason}});
  }

  void publish(const move_state &State, const moves::move_decision &Decision) {
    if (std::holds_alternative<moves::move_hold>(Decision)) {
      return;
    }
    auto Record = config::record();
    Record.At = wallNow();
    auto Name = std::string();
    if (const auto *Step = std::get_if<moves::move_step>(&Decision)) {
      Name = "step-" + std::to_string(Step->Number);
      Record.Body =
          config::move_step_record{State.Move.Id, Step->Number, Step->Share};
    } else {
      const auto &Verdict = std::get<moves::move_verdict>(Decision);
      Name = "verdict";
      Record.Body = config::move_verdict_record{State.Move.Id, Verdict.Phase,
                                                Verdict.Reason};
    }
    // Each record has a unique request id, so that the outcome of an earlier
    // record is never taken for its own. Replay decides on it by step number
    // and phase.
    Record.Request = {State.Move.Id.Value + "/" + Name + "/" +
                      Context.Self.Id.Value + "/" +
                      std::to_string(Context.Incarnation.Value) + "/" +
                      std::to_string(Record.At.Value)};
    auto Result = Publisher.publish(Record, PublishTimeout);
    logLine(Result.Kind == publish_kind::Accepted ? log_level::Info
                                                  : log_level::Warning,
            {"move.publish", "", Record.Request.Value},
            describeDecision(Decision),
            {{"move", State.Move.Id.Value},
             {"accepted", Result.Kind == publish_kind::Accepted},
             {"reason", Result.Reason}});
  }
};

move_loop::move_loop(node_context &Context, brake_registry &Brakes,
                     gossip_loop &Gossip, config_loop &Config,
                     publisher &Publisher)
    : Impl(std::make_unique<implementation>(Context, Brakes, Gossip, Config,
                                            Publisher)) {}

move_loop::~move_loop() { stop(); }

void move_loop::start() {
  Impl->Thread = std::thread([this] { Impl->run(); });
}

void move_loop::stop() {
  Impl->Context.Stopping = true;
  Impl->Wake.notify_all();
  if (Impl->Thread.joinable()) {
    Impl->Thread.join();
  }
}

void move_loop::recordCall(const finished_call &Call) {
  auto Snapshot = Impl->Context.Store.current();
  auto Running = Snapshot->RunningMoves.find(Call.Service);
  if (Running == Snapshot->RunningMoves.end()) {
    return;
  }
  const auto &Move = Running->second.Move;
  if (Call.Version != Move.From && Call.Version != Move.To) {
    return;
  }
  auto Side =
      Call.Version == Move.To ? moves::move_side::New : moves::move_side::Old;
  auto Lock = std::lock_guard(Impl->Mutex);
  moves::recordCall(Impl->trackMove(Move.Id).Local, Call.Route, Side,
                    Call.Sample, wallNow());
}

void move_loop::onPeerReport(const std::string &Bytes) {
  auto Report = moves::decodeReport(Bytes);
  if (!isOk(Report)) {
    telemetry::logError(log_level::Warning, errorOf(Report));
    return;
  }
  auto Snapshot = Impl->Context.Store.current();
  const auto &Move = valueOf(Report).Move;
  auto State = Snapshot->State.Moves.find(Move);
  if (State == Snapshot->State.Moves.end() ||
      State->second.Phase != config::move_phase::Running) {
    return;
  }
  auto Lock = std::lock_guard(Impl->Mutex);
  moves::mergeReport(Impl->trackMove(Move).Merged, valueOf(Report), wallNow());
}

void move_loop::onPeerBrake(const membership::brake_notice &Brake) {
  if (Impl->Brakes.add(Brake)) {
    Impl->Context.Metrics.increment(
        metric::MoveBrakes,
        {{"move", Brake.Move.Value}, {"origin", "learned"}});
    logLine(log_level::Warning, {"move.brake", "", ""},
            "brake received from another node",
            {{"move", Brake.Move.Value}, {"reason", Brake.Reason}});
  }
}

auto move_loop::dump() const -> nlohmann::json {
  auto List = nlohmann::json::array();
  auto Lock = std::lock_guard(Impl->Mutex);
  for (const auto &[Move, Tracked] : Impl->TrackedMoves) {
    List.push_back({{"move", Move.Value},
                    {"reporters", Tracked.Merged.Reporters.size()},
                    {"evidence", Tracked.Test.Evidence},
                    {"information", Tracked.Test.Information},
                    {"decision", Tracked.LastDecision}});
  }
  return List;
}

} // namespace sycamorelb::node
