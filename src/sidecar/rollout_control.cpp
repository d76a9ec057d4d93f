/** @file rollout_control.cpp Carries out orders to move to another version. */
#include "sidecar/rollout_control.h"

#include "platform/config_document.h"
#include "sycamorelb/core/hash_func.h"

#include <algorithm>
#include <map>
#include <set>

namespace sycamorelb::sidecar {

using namespace inner;
using platform::store_topic;
using rollout::rollout_stage;

/** Interval at which evidence is sent and decisions are taken. */
static constexpr auto TickInterval = micros(400'000);
/** Nodes that decide for a service. */
static constexpr auto Deciders = std::size_t{3};
/** Delay of each further node that decides. */
static constexpr auto RankDelay = micros(600'000);
/** Time after a final decision in which its status must be seen in the store,
 * before another node writes it. */
static constexpr auto StatusTime = micros(1'500'000);

struct rollout_control::implementation {
  /** What this node knows of an order beyond its state. */
  struct order_book {
    log_offset OrderOffset{0};
    steady_time SwitchedAt{};
    steady_time FinalAt{};
    bool Writing = false;     // A call to the store is in progress.
    bool RunningTold = false; // The status says that it runs.
    bool FinalTold = false;   // The status says how it ended.
    std::map<node_id, rollout_evidence_report> Reports;
  };

  node_state &State;
  admission &Admission;
  gossip &Gossip;
  store_feed &Store;
  std::map<service_id, order_book> Books;
  bool TickPlanned = false;

  auto deciders(const service_id &Service) const -> std::vector<node_id>;
  auto book(const rollout::rollout_state &Rollout) -> order_book &;
  void planTick();
  void tick();
  void sendEvidence(const rollout::rollout_state &Rollout,
                    const std::vector<node_id> &Leaders);
  void decide(rollout::rollout_state &Rollout, std::size_t Rank);
  auto inputs(const rollout::rollout_state &Rollout, std::size_t Rank)
      -> rollout::rollout_inputs;
  /** Takes over a stage. Tells the other nodes of it if this one learned it by
   * its own evidence or from the store. */
  void advance(rollout::rollout_state &Rollout, rollout_stage Stage,
               const char *Cause, bool Tells = true);
  void writeFinal(const rollout::rollout_state &Rollout, rollout_stage Stage);
  void appendFinal(const service_id &Service, rollout_stage Stage,
                   log_offset End);
  void tellStatus(const rollout::rollout_state &Rollout);
  auto isSettled(const rollout::rollout_state &Rollout) -> bool;
};

rollout_control::rollout_control(node_state &State, admission &Admission,
                                 gossip &Gossip, store_feed &Store)
    : Impl(std::make_unique<implementation>(
          implementation{State, Admission, Gossip, Store, {}, false})) {}

rollout_control::~rollout_control() = default;

auto rollout_control::implementation::deciders(const service_id &Service) const
    -> std::vector<node_id> {
  auto Ranked = std::vector<std::pair<std::uint64_t, node_id>>();
  for (const auto &[Node, Host] : State.Hosts.records()) {
    if (!Host.Leaving && !Host.StoreLost) {
      Ranked.emplace_back(rendezvousScore(Service.Value, Node.Value), Node);
    }
  }
  std::sort(Ranked.rbegin(), Ranked.rend());
  Ranked.resize(std::min(Ranked.size(), Deciders));
  auto Nodes = std::vector<node_id>();
  for (const auto &[Score, Node] : Ranked) {
    Nodes.push_back(Node);
  }
  return Nodes;
}

auto rollout_control::implementation::book(
    const rollout::rollout_state &Rollout) -> order_book & {
  auto &Book = Books[Rollout.Order.Service];
  if (Book.OrderOffset != Rollout.OrderOffset) {
    Book = order_book();
    Book.OrderOffset = Rollout.OrderOffset;
    if (Rollout.Order.Service == State.Settings.Service) {
      Admission.clearEvidence();
    }
  }
  return Book;
}

void rollout_control::implementation::planTick() {
  if (TickPlanned) {
    return;
  }
  TickPlanned = true;
  State.Loop.addTimer(State.Loop.now() + TickInterval, [this] {
    TickPlanned = false;
    tick();
  });
}

auto rollout_control::implementation::isSettled(
    const rollout::rollout_state &Rollout) -> bool {
  return rollout::isFinal(Rollout.Stage) && book(Rollout).FinalTold;
}

void rollout_control::implementation::tick() {
  auto Unsettled = false;
  for (auto &[Service, Rollout] : State.Rollouts) {
    if (isSettled(Rollout)) {
      continue;
    }
    Unsettled = true;
    auto Leaders = deciders(Service);
    if (!rollout::isFinal(Rollout.Stage)) {
      sendEvidence(Rollout, Leaders);
    }
    auto Own = std::find(Leaders.begin(), Leaders.end(), State.Own.Node);
    if (Own != Leaders.end()) {
      decide(Rollout, static_cast<std::size_t>(Own - Leaders.begin()));
    } else if (rollout::isFinal(Rollout.Stage)) {
      book(Rollout).FinalTold = true;
    }
  }
  if (Unsettled && !State.Stopping) {
    planTick();
  }
}

void rollout_control::implementation::sendEvidence(
    const rollout::rollout_state &Rollout,
    const std::vector<node_id> &Leaders) {
  book(Rollout);
  if (Rollout.Order.Service != State.Settings.Service) {
    return;
  }
  auto Report = rollout_evidence_report{
      State.Own.Node, Rollout.Order.Service, Rollout.OrderOffset,
      State.Own.Target.Version, Admission.evidence()};
  for (const auto &Leader : Leaders) {
    if (Leader == State.Own.Node) {
      book(Rollout).Reports[State.Own.Node] = Report;
    } else {
      Gossip.tellEvidence(Leader, Report);
    }
  }
}

auto rollout_control::implementation::inputs(
    const rollout::rollout_state &Rollout, std::size_t Rank)
    -> rollout::rollout_inputs {
  auto &Book = book(Rollout);
  auto Now = State.Loop.now();
  auto Delay = RankDelay * static_cast<std::int64_t>(Rank);
  auto Inputs = rollout::rollout_inputs();
  Inputs.Elapsed = Now - Rollout.SeenAt - Delay;
  if (Book.SwitchedAt != steady_time()) {
    Inputs.SinceSwitch = Now - Book.SwitchedAt - Delay;
  }
  for (const auto &[Node, Host] : State.Hosts.records()) {
    const auto &Target = Host.Target;
    if (Target.Service == Rollout.Order.Service &&
        Target.State == mesh::target_state::Ready && !Host.Leaving) {
      auto IsNew = Target.Version == Rollout.Order.Version;
      (IsNew ? Inputs.NewSlots : Inputs.OldSlots) += Target.Slots;
    }
  }
  auto New = rollout::version_evidence();
  auto Old = rollout::version_evidence();
  for (const auto &[Node, Report] : Book.Reports) {
    auto IsNew = Report.Version == Rollout.Order.Version;
    rollout::addEvidence(IsNew ? New : Old, Report.Evidence);
  }
  Inputs.Verdict = rollout::judge(New, Old);
  return Inputs;
}

void rollout_control::implementation::decide(rollout::rollout_state &Rollout,
                                             std::size_t Rank) {
  auto &Book = book(Rollout);
  auto Now = State.Loop.now();
  if (Book.Writing || Rollout.Order.Duration <= millis(0)) {
    return;
  }
  if (rollout::isFinal(Rollout.Stage)) {
    if (Book.FinalAt == steady_time()) {
      Book.FinalAt = Now;
    }
    auto Wait = StatusTime * static_cast<std::int64_t>(Rank);
    if (!Book.FinalTold && Now - Book.FinalAt >= Wait) {
      tellStatus(Rollout);
    }
    return;
  }
  auto Inputs = inputs(Rollout, Rank);
  if (!Book.RunningTold && Inputs.Elapsed >= micros(0)) {
    return tellStatus(Rollout);
  }
  switch (rollout::decideRollout(Rollout, Inputs)) {
  case rollout::rollout_step::Wait:
    break;
  case rollout::rollout_step::Switch:
    advance(Rollout, rollout_stage::Switching, "evidence");
    break;
  case rollout::rollout_step::RollBack:
    advance(Rollout, rollout_stage::Braked, "evidence or time");
    writeFinal(Rollout, rollout_stage::RolledBack);
    break;
  case rollout::rollout_step::Complete:
    writeFinal(Rollout, rollout_stage::Completed);
    break;
  }
}

void rollout_control::implementation::advance(rollout::rollout_state &Rollout,
                                              rollout_stage Stage,
                                              const char *Cause, bool Tells) {
  if (Stage <= Rollout.Stage) {
    return;
  }
  Rollout.Stage = Stage;
  auto &Book = book(Rollout);
  if (Stage == rollout_stage::Switching) {
    Book.SwitchedAt = State.Loop.now();
  }
  State.Log.write(
      log_class::State, "rollout.stage",
      {{"service", Rollout.Order.Service.Value},
       {"version", Rollout.Order.Version.Value},
       {"stage", static_cast<std::int64_t>(Stage)},
       {"cause", Cause},
       {"elapsed_us", (State.Loop.now() - Rollout.SeenAt).count()}});
  Admission.recheckQueue();
  if (Tells) {
    Gossip.tellNews();
  }
  planTick();
}

void rollout_control::implementation::writeFinal(
    const rollout::rollout_state &Rollout, rollout_stage Stage) {
  auto &Book = book(Rollout);
  auto Service = Rollout.Order.Service;
  Book.Writing = true;
  Store.list(store_topic::Mesh, [this, Service,
                                 Stage](result<platform::store_page> Page) {
    auto &Held = State.Rollouts[Service];
    if (!isOk(Page)) {
      book(Held).Writing = false;
      return;
    }
    for (const auto &Record : valueOf(Page).Records) {
      auto Message = decodeGossip(Record.Value, State.Loop.now());
      for (const auto &Known : Message
                                   ? Message->Rollouts
                                   : std::vector<rollout::rollout_state>()) {
        if (Known.Order.Service == Service &&
            Known.OrderOffset == Held.OrderOffset) {
          book(Held).Writing = false;
          return advance(Held, Known.Stage, "decided by another node");
        }
      }
    }
    appendFinal(Service, Stage, valueOf(Page).End);
  });
}

void rollout_control::implementation::appendFinal(const service_id &Service,
                                                  rollout_stage Stage,
                                                  log_offset End) {
  auto Decision = gossip_message();
  Decision.Sender = State.Own;
  Decision.Rollouts.push_back(State.Rollouts[Service]);
  Decision.Rollouts[0].Stage = Stage;
  auto Value = encodeMeshMessage(Decision, State.Loop.now());
  // An append without answer may still be taken; the next listing shows it.
  Store.append(store_topic::Mesh, "rollout/" + Service.Value, Value, End,
               [this, Service, Stage](result<platform::append_ack> Ack) {
                 auto &Held = State.Rollouts[Service];
                 book(Held).Writing = false;
                 if (isOk(Ack) && valueOf(Ack).Appended) {
                   advance(Held, Stage, "decided here");
                   tellStatus(Held);
                 }
               });
}

void rollout_control::implementation::tellStatus(
    const rollout::rollout_state &Rollout) {
  auto Service = Rollout.Order.Service;
  auto Stage = Rollout.Stage;
  book(Rollout).Writing = true;
  auto Finish = [this, Service, Stage](bool Told) {
    auto &Book = book(State.Rollouts[Service]);
    Book.Writing = false;
    Book.RunningTold = Book.RunningTold || Told;
    Book.FinalTold = Book.FinalTold || (Told && rollout::isFinal(Stage));
  };
  Store.list(store_topic::Status, [this, Service, Stage,
                                   Finish](result<platform::store_page> Page) {
    auto Missing = !isOk(Page) && errorOf(Page).Code == error_code::NotFound;
    if (!isOk(Page) && !Missing) {
      return Finish(false);
    }
    auto Status = platform::encodeRolloutStatus(State.Rollouts[Service]);
    auto Key = platform::rolloutStatusKey(Service);
    auto End = log_offset{0};
    if (!Missing) {
      End = valueOf(Page).End;
      for (const auto &Record : valueOf(Page).Records) {
        if (Record.Key == Key && Record.Value == Status) {
          return Finish(true);
        }
      }
    }
    // The condition keeps a delayed write from replacing a later status.
    Store.append(store_topic::Status, Key, Status, End,
                 [Finish](result<platform::append_ack> Ack) {
                   Finish(isOk(Ack) && valueOf(Ack).Appended);
                 });
  });
}

void rollout_control::noteOrders() {
  for (const auto &[Service, Rollout] : Impl->State.Rollouts) {
    Impl->book(Rollout);
  }
  if (!Impl->State.Rollouts.empty()) {
    Impl->planTick();
  }
}

void rollout_control::mergeProgress(const rollout::rollout_state &News) {
  auto Found = Impl->State.Rollouts.find(News.Order.Service);
  // The order itself comes from the operators' records, perhaps later.
  if (Found == Impl->State.Rollouts.end() ||
      Found->second.OrderOffset < News.OrderOffset) {
    auto [Told, IsNew] =
        Impl->State.ToldProgress.try_emplace(News.Order.Service, News);
    if (!IsNew) {
      rollout::mergeRollout(Told->second, News);
    }
    return;
  }
  if (Found->second.OrderOffset != News.OrderOffset) {
    return;
  }
  auto &Held = Found->second;
  Held.SeenAt = std::min(Held.SeenAt, News.SeenAt);
  Impl->advance(Held, News.Stage, "told by another node", false);
}

void rollout_control::mergeEvidence(const rollout_evidence_report &Report) {
  auto Found = Impl->State.Rollouts.find(Report.Service);
  if (Found != Impl->State.Rollouts.end() &&
      Found->second.OrderOffset == Report.OrderOffset) {
    Impl->book(Found->second).Reports[Report.Node] = Report;
  }
}

void rollout_control::brake() {
  auto Found = Impl->State.Rollouts.find(Impl->State.Settings.Service);
  if (Found != Impl->State.Rollouts.end()) {
    Impl->advance(Found->second, rollout_stage::Braked, "brake at the target");
  }
}

} // namespace sycamorelb::sidecar
