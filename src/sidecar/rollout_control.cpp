/** @file rollout_control.cpp Executes rollout orders of operators. */
#include "sidecar/rollout_control.h"

#include "platform/config_document.h"
#include "sidecar/version_view.h"
#include "sycamorelb/mesh/duty_func.h"

#include <algorithm>
#include <map>
#include <set>

namespace sycamorelb::sidecar {

using namespace inner;
using platform::store_topic;
using rollout::rollout_stage;

/** Interval at which evidence is sent and decisions are made. */
static constexpr auto TickInterval = micros(400'000);
/** Number of nodes that decide on the rollout of a service. */
static constexpr auto DecidersPerService = std::size_t{3};
/** Additional delay before each further decider acts. */
static constexpr auto DelayPerRank = micros(600'000);
/** Time after the first sight of a new era of the store before a final decision
 * is recorded, so that nodes that know a decision which the store lost tell it
 * first: an exchange with another node takes 1 s. */
static constexpr auto RewoundDecisionDelay = micros(2'000'000);
/** Time after a final decision for its status to appear in the store before the
 * next decider writes it. */
static constexpr auto StatusFallbackDelay = micros(1'500'000);

struct rollout_control::implementation {
  /** Local progress of an order, beyond the state shared between nodes. */
  struct order_progress {
    mesh::log_position Order;       // Identity of the order.
    mesh::log_position StoredOrder; // Newest position of the order.
    steady_time SwitchedAt{};
    steady_time FinalAt{};
    bool WriteInProgress = false; // A store call is pending.
    bool RunningReported = false; // Status in the store: running.
    bool FinalReported = false;   // Status in the store: the outcome.
    bool DecisionLost = false;    // The store may lack the final decision.
    rollout::evidence_ledger Ledger;
  };

  node_state &State;
  admission &Admission;
  gossip &Gossip;
  store_feed &Store;
  std::map<service_id, order_progress> ProgressByService;
  bool TickScheduled = false;

  static void recordReport(order_progress &Progress,
                           const rollout_evidence_report &Report) {
    rollout::recordEvidence(Progress.Ledger, Report.Node,
                            {Report.Start, Report.Version, Report.Evidence});
  }
  /** The store may lack what was written about an order. */
  static void expectLoss(order_progress &Progress) {
    Progress.RunningReported = false;
    Progress.FinalReported = false;
    Progress.FinalAt = steady_time();
    Progress.DecisionLost = true;
  }
  auto selectDeciders(const service_id &Service) const -> std::vector<node_id>;
  auto progressOf(const rollout::rollout_state &Rollout) -> order_progress &;
  void scheduleTick();
  void tick();
  void sendEvidence(const rollout::rollout_state &Rollout,
                    const std::vector<node_id> &Deciders);
  void decideNextStep(rollout::rollout_state &Rollout, std::size_t Rank);
  auto collectInputs(const rollout::rollout_state &Rollout, std::size_t Rank)
      -> rollout::rollout_inputs;
  /** Advances a rollout to a later stage.
   * @param Broadcast whether to inform the other nodes, as for a stage learned
   * from local evidence or the store. */
  void advance(rollout::rollout_state &Rollout, rollout_stage Stage,
               const char *Cause, bool Broadcast = true);
  /** @return the rollout of an order, or null if a newer order for the service
   * has come meanwhile: calls to the store take time. */
  auto findOrder(const service_id &Service, mesh::log_position Order)
      -> rollout::rollout_state *;
  void proposeFinalStage(const rollout::rollout_state &Rollout,
                         rollout_stage Stage);
  void appendFinalStage(const rollout::rollout_state &Rollout,
                        rollout_stage Stage,
                        const platform::store_page &Listing);
  void writeStatus(const rollout::rollout_state &Rollout);
  auto isSettled(const rollout::rollout_state &Rollout) -> bool;
};

rollout_control::rollout_control(node_state &State, admission &Admission,
                                 gossip &Gossip, store_feed &Store)
    : Impl(std::make_unique<implementation>(
          implementation{State, Admission, Gossip, Store, {}, false})) {}

rollout_control::~rollout_control() = default;

auto rollout_control::implementation::selectDeciders(
    const service_id &Service) const -> std::vector<node_id> {
  return mesh::chooseDutyHosts(State.Hosts, Service.Value, DecidersPerService);
}

auto rollout_control::implementation::progressOf(
    const rollout::rollout_state &Rollout) -> order_progress & {
  auto &Progress = ProgressByService[Rollout.Order.Service];
  if (Progress.Order != Rollout.identity()) {
    Progress = order_progress();
    Progress.Order = Rollout.identity();
    Progress.StoredOrder = Rollout.Stored;
    Progress.DecisionLost = Rollout.NamedServing;
    if (Rollout.Order.Service == State.Settings.Service) {
      Admission.clearEvidence();
    }
  }
  if (Progress.StoredOrder != Rollout.Stored) {
    // A node that starts finds the decision by the position of the order.
    Progress.StoredOrder = Rollout.Stored;
    expectLoss(Progress);
  }
  return Progress;
}

void rollout_control::implementation::scheduleTick() {
  if (TickScheduled) {
    return;
  }
  TickScheduled = true;
  State.Loop.addTimer(State.Loop.now() + TickInterval, [this] {
    TickScheduled = false;
    tick();
  });
}

auto rollout_control::implementation::isSettled(
    const rollout::rollout_state &Rollout) -> bool {
  return rollout::isFinal(Rollout.Stage) && progressOf(Rollout).FinalReported;
}

void rollout_control::implementation::tick() {
  auto HasUnsettled = false;
  noteVersions(State);
  for (auto &[Service, Rollout] : State.Rollouts) {
    if (isSettled(Rollout)) {
      continue;
    }
    HasUnsettled = true;
    auto Deciders = selectDeciders(Service);
    if (!rollout::isFinal(Rollout.Stage)) {
      sendEvidence(Rollout, Deciders);
    }
    auto Own = std::find(Deciders.begin(), Deciders.end(), State.Own.Node);
    if (Own != Deciders.end()) {
      decideNextStep(Rollout, static_cast<std::size_t>(Own - Deciders.begin()));
    } else if (rollout::isFinal(Rollout.Stage)) {
      progressOf(Rollout).FinalReported = true;
    }
  }
  if (HasUnsettled && !State.Stopping) {
    scheduleTick();
  }
}

void rollout_control::implementation::sendEvidence(
    const rollout::rollout_state &Rollout,
    const std::vector<node_id> &Deciders) {
  progressOf(Rollout);
  if (Rollout.Order.Service != State.Settings.Service) {
    return;
  }
  auto Report = rollout_evidence_report{
      State.Own.Node,
      Rollout.Order.Service,
      Rollout.OrderOffset,
      State.Own.Target.Version,
      {State.Own.Incarnation, Admission.targetStarts(), State.Own.Process},
      Admission.evidence(),
      Rollout.OrderEra};
  for (const auto &Decider : Deciders) {
    if (Decider == State.Own.Node) {
      recordReport(progressOf(Rollout), Report);
    } else {
      Gossip.sendEvidence(Decider, Report);
    }
  }
}

auto rollout_control::implementation::collectInputs(
    const rollout::rollout_state &Rollout, std::size_t Rank)
    -> rollout::rollout_inputs {
  auto &Progress = progressOf(Rollout);
  auto Now = State.Loop.now();
  auto Delay = DelayPerRank * static_cast<std::int64_t>(Rank);
  auto Inputs = rollout::rollout_inputs();
  Inputs.Elapsed = Now - Rollout.SeenAt - Delay;
  if (Progress.SwitchedAt != steady_time()) {
    Inputs.SinceSwitch = Now - Progress.SwitchedAt - Delay;
  }
  for (const auto &[Node, Host] : State.Hosts.records()) {
    const auto &Target = Host.Target;
    if (Target.Service == Rollout.Order.Service &&
        Target.State == mesh::target_state::Ready && !Host.Leaving) {
      auto IsNew = Target.Version == Rollout.Order.Version;
      (IsNew ? Inputs.NewSlots : Inputs.OldSlots) += Target.Slots;
    }
  }
  auto Sums = rollout::sumEvidence(Progress.Ledger, Rollout.Order.Version);
  Inputs.Verdict = rollout::judge(Sums.New, Sums.Old);
  Inputs.OldAbsence = versionAbsence(State, Rollout);
  return Inputs;
}

void rollout_control::implementation::decideNextStep(
    rollout::rollout_state &Rollout, std::size_t Rank) {
  auto &Progress = progressOf(Rollout);
  auto Now = State.Loop.now();
  if (Progress.WriteInProgress || Rollout.Order.Duration <= millis(0)) {
    return;
  }
  if (rollout::isFinal(Rollout.Stage)) {
    if (Progress.FinalAt == steady_time()) {
      Progress.FinalAt = Now;
    }
    auto Wait = StatusFallbackDelay * static_cast<std::int64_t>(Rank);
    if (!Progress.FinalReported && Now - Progress.FinalAt >= Wait) {
      // The status follows the decision.
      Progress.DecisionLost ? proposeFinalStage(Rollout, Rollout.Stage)
                            : writeStatus(Rollout);
    }
    return;
  }
  auto Inputs = collectInputs(Rollout, Rank);
  if (!Progress.RunningReported && Inputs.Elapsed >= micros(0)) {
    return writeStatus(Rollout);
  }
  auto MayRecord = State.StoreEra.Value == 0 ||
                   Now - State.StoreEraSeenAt >= RewoundDecisionDelay;
  switch (rollout::decideRollout(Rollout, Inputs)) {
  case rollout::rollout_step::Wait:
    break;
  case rollout::rollout_step::Switch:
    advance(Rollout, rollout_stage::Switching, "evidence");
    break;
  case rollout::rollout_step::Brake:
    advance(Rollout, rollout_stage::Braked, "failed evaluation");
    break;
  case rollout::rollout_step::RollBack:
    advance(Rollout, rollout_stage::Braked, "failed evaluation or time limit");
    if (MayRecord) {
      proposeFinalStage(Rollout, rollout_stage::RolledBack);
    }
    break;
  case rollout::rollout_step::Complete:
    if (MayRecord) {
      proposeFinalStage(Rollout, rollout_stage::Completed);
    }
    break;
  }
}

void rollout_control::implementation::advance(rollout::rollout_state &Rollout,
                                              rollout_stage Stage,
                                              const char *Cause,
                                              bool Broadcast) {
  if (Stage <= Rollout.Stage) {
    return;
  }
  Rollout.Stage = Stage;
  auto &Progress = progressOf(Rollout);
  if (Stage == rollout_stage::Switching) {
    Progress.SwitchedAt = State.Loop.now();
  }
  State.Log.write(
      log_class::State, "rollout.stage",
      {{"service", Rollout.Order.Service.Value},
       {"version", Rollout.Order.Version.Value},
       {"stage", static_cast<std::int64_t>(Stage)},
       {"cause", Cause},
       {"elapsed_us", (State.Loop.now() - Rollout.SeenAt).count()}});
  Admission.recheckQueue();
  if (Broadcast) {
    Gossip.broadcastState();
  }
  scheduleTick();
}

auto rollout_control::implementation::findOrder(const service_id &Service,
                                                mesh::log_position Order)
    -> rollout::rollout_state * {
  auto Found = State.Rollouts.find(Service);
  if (Found != State.Rollouts.end() && Found->second.identity() == Order) {
    return &Found->second;
  }
  State.Log.write(log_class::State, "rollout.superseded",
                  {{"service", Service.Value},
                   {"offset", static_cast<std::int64_t>(Order.Offset.Value)}});
  return nullptr;
}

void rollout_control::implementation::proposeFinalStage(
    const rollout::rollout_state &Rollout, rollout_stage Stage) {
  auto Service = Rollout.Order.Service;
  auto Order = Rollout.identity();
  progressOf(Rollout).WriteInProgress = true;
  Store.list(store_topic::Mesh, [this, Service, Order,
                                 Stage](result<platform::store_page> Page) {
    auto *Found = findOrder(Service, Order);
    if (Found == nullptr) {
      return;
    }
    auto &Current = *Found;
    if (!isOk(Page)) {
      progressOf(Current).WriteInProgress = false;
      return;
    }
    for (const auto &Record : valueOf(Page).Records) {
      auto Message = decodeGossip(Record.Value, State.Loop.now());
      for (const auto &Recorded : Message
                                      ? Message->Rollouts
                                      : std::vector<rollout::rollout_state>()) {
        if (Recorded.Order.Service == Service &&
            rollout::isSameOrder(Recorded, Current,
                                 rollout::order_match::ByOffset)) {
          advance(Current, Recorded.Stage, "decided by another node");
          if (Recorded.Stored >= Current.Stored ||
              Recorded.Stage != Current.Stage) {
            progressOf(Current).WriteInProgress = false;
            progressOf(Current).DecisionLost = false;
            return;
          }
          // Recorded for the order's place in an earlier era.
          return appendFinalStage(Current, Current.Stage, valueOf(Page));
        }
      }
    }
    appendFinalStage(Current, Stage, valueOf(Page));
  });
}

void rollout_control::implementation::appendFinalStage(
    const rollout::rollout_state &Rollout, rollout_stage Stage,
    const platform::store_page &Listing) {
  auto Service = Rollout.Order.Service;
  auto Order = Rollout.identity();
  auto Decision = gossip_message();
  Decision.Sender = State.Own;
  Decision.Rollouts.push_back(Rollout);
  Decision.Rollouts[0].Stage = Stage;
  auto Value = encodeMeshMessage(Decision, State.Loop.now());
  // An append that timed out may still have been accepted; the next listing
  // shows it.
  Store.append(store_topic::Mesh, "rollout/" + Service.Value, Value, Listing,
               [this, Service, Order, Stage](result<platform::append_ack> Ack) {
                 auto *Current = findOrder(Service, Order);
                 if (Current == nullptr) {
                   return;
                 }
                 progressOf(*Current).WriteInProgress = false;
                 if (isOk(Ack) && valueOf(Ack).Appended) {
                   progressOf(*Current).DecisionLost = false;
                   advance(*Current, Stage, "decided by this node");
                   writeStatus(*Current);
                 }
               });
}

void rollout_control::implementation::writeStatus(
    const rollout::rollout_state &Rollout) {
  auto Service = Rollout.Order.Service;
  auto Order = Rollout.identity();
  auto Stage = Rollout.Stage;
  progressOf(Rollout).WriteInProgress = true;
  auto Finish = [this, Service, Order, Stage](bool Reported) {
    auto *Current = findOrder(Service, Order);
    if (Current == nullptr) {
      return;
    }
    auto &Progress = progressOf(*Current);
    Progress.WriteInProgress = false;
    Progress.RunningReported = Progress.RunningReported || Reported;
    Progress.FinalReported =
        Progress.FinalReported || (Reported && rollout::isFinal(Stage));
  };
  Store.list(store_topic::Status, [this, Service, Order,
                                   Finish](result<platform::store_page> Page) {
    auto *Current = findOrder(Service, Order);
    if (Current == nullptr) {
      return;
    }
    auto Missing = !isOk(Page) && errorOf(Page).Code == error_code::NotFound;
    if (!isOk(Page) && !Missing) {
      return Finish(false);
    }
    auto Status = platform::encodeRolloutStatus(*Current);
    auto Key = platform::rolloutStatusKey(Service);
    auto Listing = platform::store_page();
    if (Missing) {
      Listing.Era = State.StoreEra;
    } else {
      Listing = valueOf(Page);
      for (const auto &Record : valueOf(Page).Records) {
        if (Record.Key == Key && Record.Value == Status) {
          return Finish(true);
        }
      }
    }
    // The expected end offset keeps a delayed write from replacing a newer
    // status.
    Store.append(store_topic::Status, Key, Status, Listing,
                 [Finish](result<platform::append_ack> Ack) {
                   Finish(isOk(Ack) && valueOf(Ack).Appended);
                 });
  });
}

void rollout_control::handleOrders() {
  for (const auto &[Service, Rollout] : Impl->State.Rollouts) {
    Impl->progressOf(Rollout);
  }
  if (!Impl->State.Rollouts.empty()) {
    Impl->scheduleTick();
  }
}

void rollout_control::handleRewind() {
  for (const auto &[Service, Rollout] : Impl->State.Rollouts) {
    implementation::expectLoss(Impl->progressOf(Rollout));
  }
  handleOrders();
}

void rollout_control::mergeProgress(const rollout::rollout_state &Update,
                                    rollout::order_match Match) {
  auto Found = Impl->State.Rollouts.find(Update.Order.Service);
  // The order itself comes from the operator records and may arrive later.
  if (Found == Impl->State.Rollouts.end() ||
      (Found->second.Stored < Update.Stored &&
       !rollout::isSameOrder(Found->second, Update, Match))) {
    auto [Early, IsNew] =
        Impl->State.EarlyProgress.try_emplace(Update.Order.Service, Update);
    if (!IsNew) {
      rollout::mergeRollout(Early->second, Update);
    }
    return;
  }
  if (!rollout::isSameOrder(Found->second, Update, Match)) {
    return;
  }
  auto &Current = Found->second;
  auto Merged = Update;
  Merged.Stage = Current.Stage; // advance() follows.
  auto PreviousStored = Current.Stored;
  rollout::mergeRollout(Current, Merged, Match);
  if (Current.Stored != PreviousStored) {
    Impl->progressOf(Current);
    Impl->scheduleTick();
  }
  Impl->advance(Current, Update.Stage, "received from a peer", false);
}

void rollout_control::mergeEvidence(const rollout_evidence_report &Report) {
  auto Order = mesh::log_position{Report.OrderEra, Report.OrderOffset};
  auto Found = Impl->State.Rollouts.find(Report.Service);
  if (Found != Impl->State.Rollouts.end() &&
      (Found->second.identity() == Order || Found->second.Stored == Order)) {
    implementation::recordReport(Impl->progressOf(Found->second), Report);
  }
}

void rollout_control::brakeRollout() {
  auto Found = Impl->State.Rollouts.find(Impl->State.Settings.Service);
  // Without another version the callers would have none.
  if (Found != Impl->State.Rollouts.end() &&
      !isOnlyVersion(Impl->State, Found->second)) {
    Impl->advance(Found->second, rollout_stage::Braked,
                  "brake on the local target");
  }
}

} // namespace sycamorelb::sidecar
