/** @file admission.cpp Runs calls at the target beside this node. */
#include "platform/call_header.h"
#include "sidecar/admission_state.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sycamorelb::sidecar {

using namespace inner;

/** Time for which the outcome of a call is kept for an entry node that asks
 * again on a new connection. */
static constexpr auto KeepOutcome = micros(2'500'000);

/** Outcomes kept at most. */
static constexpr auto MaxOutcomes = std::size_t{512};

/** Time for which the number of a call is remembered, so that a copy of it
 * that was held up on the way does not run; no connection holds bytes up for
 * longer, as unacknowledged ones break it. */
static constexpr auto KeepNumber = micros(60'000'000);

/** Margin between the age of a call and that of the process, for the way. */
static constexpr auto UptimeMargin = micros(1'000'000);
/** Time after a lost connection in which the entry node may come back before
 * its calls are dropped. */
static constexpr auto OriginGrace = micros(400'000);

admission::admission(node_state &State, std::function<void()> OnTargetLost,
                     std::function<void()> OnBrake)
    : Impl(std::make_unique<implementation>(State, std::move(OnTargetLost),
                                            std::move(OnBrake))) {}

admission::~admission() = default;

auto admission::implementation::coldRate() const -> double {
  const auto *Rule =
      State.Routes ? State.Routes->findService(Target.Service) : nullptr;
  const auto &Bounds = State.Settings.Bounds;
  return Rule == nullptr
             ? 0
             : dispatch::coldAllowance(Rule->ColdCallsPerSecond,
                                       Bounds.ColdRateFactor, Bounds.ColdSlack);
}

auto admission::implementation::pace() const -> dispatch::target_pace {
  auto Pace = dispatch::target_pace();
  Pace.Slots = Target.Slots;
  Pace.Running = Running;
  Pace.MeanRun = MeanRun;
  auto CallsPerSecond = isCold() ? coldRate() : 0;
  if (CallsPerSecond > 0) {
    Pace.StartWaits =
        dispatch::coldStartWaits(Rate, CallsPerSecond, State.Loop.now());
    Pace.RateWindow = dispatch::coldWindow();
  }
  return Pace;
}

auto admission::implementation::load() const -> dispatch::load_report {
  auto Load = dispatch::load_report();
  Load.Running = Running;
  Load.Queued = static_cast<std::uint32_t>(Queue.size());
  Load.Slots = Target.Slots;
  Load.MeanRun = MeanRun;
  Load.FailurePpm = static_cast<std::uint32_t>(FailureShare * 1e6);
  Load.Cold = isCold();
  auto Pace = pace();
  Load.Wait = dispatch::expectedWait(Pace, Queue.size());
  if (!Pace.StartWaits.empty()) {
    Load.StartGap =
        Pace.RateWindow / static_cast<std::int64_t>(Pace.StartWaits.size());
  }
  Load.LinkKbps = static_cast<std::uint32_t>(State.Settings.LinkMbps * 1e3);
  Load.LinkBusyPpm = static_cast<std::uint32_t>(State.LinkBusy * 1e6);
  Load.BulkPpm = static_cast<std::uint32_t>(State.BulkShare * 1e6);
  return Load;
}

auto admission::implementation::obstacle(const forward_message &Forward) const
    -> const char * {
  if (Target.State != mesh::target_state::Ready) {
    return "target not ready";
  }
  if (Forward.Service != Target.Service || Forward.Version != Target.Version) {
    return "other service or version";
  }
  if (State.Evacuated.contains(State.Own.Zone)) {
    return "zone evacuated";
  }
  if (useOfTarget(State, Target) == rollout::version_use::Excluded) {
    return "version excluded";
  }
  return nullptr;
}

auto admission::implementation::find(const call_key &Key)
    -> std::shared_ptr<admitted_call> {
  auto Found = Serials.find(Key);
  return Found == Serials.end() ? nullptr : Calls.at(Found->second);
}

void admission::implementation::rememberEnded(const call_key &Key) {
  Ended.insert(Key);
  EndedOrder.emplace_back(State.Loop.now(), Key);
}

void admission::implementation::dropOldOutcomes() {
  while (!Outcomes.empty() &&
         (Outcomes.size() > MaxOutcomes ||
          Outcomes.front().first + KeepOutcome < State.Loop.now())) {
    auto Found = Calls.find(Outcomes.front().second);
    if (Found != Calls.end()) {
      auto Key = Found->second->Key;
      Serials.erase(Key);
      Calls.erase(Found);
      rememberEnded(Key);
    }
    Outcomes.pop_front();
  }
  while (!EndedOrder.empty() &&
         EndedOrder.front().first + KeepNumber < State.Loop.now()) {
    Ended.erase(EndedOrder.front().second);
    EndedOrder.pop_front();
  }
}

void admission::implementation::finish(admitted_call &Call,
                                       reply_message Outcome) {
  State.Loop.cancelTimer(Call.Timer);
  Call.Stage = call_stage::Done;
  Call.Connection = nullptr;
  Outcome.Call = Call.Forward.Call;
  Outcome.Load = load();
  auto Now = State.Loop.now();
  auto Started = Call.StartedAt != steady_time();
  State.Log.write(
      Outcome.Outcome == reply_outcome::Answered &&
              Outcome.Response.Status < 500
          ? log_class::Routine
          : log_class::Decision,
      "admission.ended",
      {{"id", Call.Id.Value},
       {"origin", Call.Key.Node.Value},
       {"outcome", static_cast<std::int64_t>(Outcome.Outcome)},
       {"status", std::int64_t{Outcome.Response.Status}},
       {"reason", Outcome.Reason},
       {"target", Target.Id.Value},
       {"cold", std::int64_t{Call.WasCold ? 1 : 0}},
       {"waited_us",
        ((Started ? Call.StartedAt : Now) - Call.ArrivedAt).count()},
       {"run_us", (Started ? Now - Call.StartedAt : micros(0)).count()},
       {"running", std::int64_t{Outcome.Load.Running}},
       {"queued", std::int64_t{Outcome.Load.Queued}}});
  auto RouteMean = RouteMeans.find(Call.Forward.Route);
  if (RouteMean != RouteMeans.end()) {
    Outcome.RouteMean = RouteMean->second;
  }
  Call.Forward.Request = http::request();
  Outcomes.emplace_back(State.Loop.now(), Call.Serial);
  auto Reply = std::exchange(Call.Reply, nullptr);
  auto IsLocal = Call.Key.Node == State.Own.Node;
  if (!IsLocal) {
    Call.Outcome = Outcome;
  }
  if (Reply) {
    Reply(Outcome);
  }
}

void admission::implementation::refuse(admitted_call &Call,
                                       const char *Reason) {
  ++State.Counters.Admissions[std::string("refused: ") + Reason];
  auto Outcome = reply_message();
  Outcome.Outcome = reply_outcome::NotRun;
  Outcome.Reason = Reason;
  finish(Call, std::move(Outcome));
}

void admission::implementation::rejoin(admitted_call &Call, reply_handler Reply,
                                       origin Origin) {
  if (Call.Stage == call_stage::Done) {
    return Reply(Call.Outcome);
  }
  Call.Reply = std::move(Reply);
  Call.Origin = Origin;
}

void admission::submit(const call_key &Key, forward_message Forward,
                       reply_handler Reply, origin Origin) {
  auto &State = Impl->State;
  Impl->dropOldOutcomes();
  if (auto Known = Impl->find(Key)) {
    return Impl->rejoin(*Known, std::move(Reply), Origin);
  }
  auto Now = State.Loop.now();
  if (Impl->Ended.contains(Key)) {
    auto Outcome = reply_message();
    Outcome.Call = Forward.Call;
    Outcome.Outcome = reply_outcome::Unknown;
    Outcome.Reason = "ended long ago";
    return Reply(Outcome);
  }
  auto Call = std::make_shared<admitted_call>();
  Call->Key = Key;
  Call->Serial = Impl->NextSerial++;
  Call->Reply = std::move(Reply);
  Call->Origin = Origin;
  Call->ArrivedAt = Now;
  Call->DeadlineAt = Now + Forward.TimeLeft;
  auto Waiting = dispatch::queued_call{Call->Serial, Forward.Priority,
                                       Now + Forward.TimeOnTime,
                                       Now + Forward.TimeToStart, Now};
  Call->Id = platform::decodeCallHeader(Forward.Request).Id;
  Call->Forward = std::move(Forward);
  Impl->Serials.emplace(Key, Call->Serial);
  Impl->Calls.emplace(Call->Serial, Call);
  if (const auto *Obstacle = Impl->obstacle(Call->Forward)) {
    return Impl->refuse(*Call, Obstacle);
  }
  if (Call->DeadlineAt <= Now) {
    return Impl->refuse(*Call, "deadline passed on the way");
  }
  if (!Impl->Queue.push(Waiting, Impl->pace(), Now)) {
    return Impl->refuse(*Call, "no room in time");
  }
  Impl->pump();
}

void admission::resume(const call_key &Key, micros Age, reply_handler Reply,
                       origin Origin) {
  Impl->dropOldOutcomes();
  if (auto Known = Impl->find(Key)) {
    return Impl->rejoin(*Known, std::move(Reply), Origin);
  }
  auto Outcome = reply_message();
  Outcome.Call = Key.Call;
  Outcome.Load = Impl->load();
  Outcome.Reason = "did not arrive";
  auto Uptime = Impl->State.Loop.now() - Impl->State.StartedAt;
  if (Uptime < Age + UptimeMargin) {
    Outcome.Outcome = reply_outcome::Unknown;
    Outcome.Reason = "node restarted since";
  } else if (Impl->Ended.contains(Key)) {
    Outcome.Outcome = reply_outcome::Unknown;
    Outcome.Reason = "ended long ago";
  } else {
    Impl->rememberEnded(Key);
  }
  Reply(Outcome);
}

void admission::implementation::planPump(steady_time At) {
  if (PumpAt != steady_time() && PumpAt <= At) {
    return;
  }
  State.Loop.cancelTimer(PumpTimer);
  PumpAt = At;
  PumpTimer = State.Loop.addTimer(At, [this] {
    PumpAt = steady_time();
    pump();
  });
}

void admission::implementation::pump() {
  auto Now = State.Loop.now();
  while (Queue.size() > 0 && Running < std::max(1U, Target.Slots)) {
    if (isCold()) {
      auto Rate = coldRate();
      auto Next =
          Rate > 0 ? dispatch::nextColdCall(this->Rate, Rate, Now) : Now;
      if (Next > Now) {
        planPump(Next);
        break;
      }
    }
    auto Next = Queue.pop(Now);
    auto Call = Calls.at(Next->Key);
    if (Next->StartBy < Now && Next->ArrivedAt < Now) {
      refuse(*Call, "start too late");
    } else {
      start(Call);
    }
  }
  for (const auto &Hopeless : Queue.takeHopeless(pace(), Now)) {
    refuse(*Calls.at(Hopeless.Key), "overtaken");
  }
  if (auto Expiry = Queue.nextExpiry()) {
    planPump(std::max(*Expiry, Now + micros(1000)));
  }
}

void admission::implementation::breakOff(admitted_call &Call) {
  auto Hold = Calls.at(Call.Serial);
  if (Call.Stage == call_stage::Queued) {
    Queue.remove(Call.Serial);
    Call.Reply = nullptr;
    refuse(Call, "cancelled");
  } else if (Call.Stage == call_stage::Running) {
    Call.Reply = nullptr;
    if (Call.Forward.Kind == mesh::call_kind::Idempotent) {
      Call.Connection->close();
      --Running;
      auto Outcome = reply_message();
      Outcome.Outcome = reply_outcome::Unknown;
      Outcome.Arrived = true;
      Outcome.Reason = "cancelled";
      ++State.Counters.Admissions["cancelled"];
      finish(Call, std::move(Outcome));
    }
  }
}

void admission::cancel(const call_key &Key) {
  if (auto Call = Impl->find(Key)) {
    Impl->breakOff(*Call);
    Impl->pump();
  }
}

void admission::noteOriginLost(origin Origin) {
  auto Orphans = std::vector<std::weak_ptr<admitted_call>>();
  for (const auto &[Serial, Call] : Impl->Calls) {
    if (Call->Origin == Origin && Call->Stage != call_stage::Done) {
      Call->Reply = nullptr;
      Orphans.push_back(Call);
    }
  }
  if (Orphans.empty()) {
    return;
  }
  Impl->State.Loop.addTimer(Impl->State.Loop.now() + OriginGrace,
                            [this, Orphans = std::move(Orphans)] {
                              for (const auto &Weak : Orphans) {
                                auto Call = Weak.lock();
                                if (Call && Call->Stage != call_stage::Done &&
                                    !Call->Reply) {
                                  Impl->breakOff(*Call);
                                }
                              }
                              Impl->pump();
                            });
}

void admission::setTarget(const mesh::target_record &Target,
                          std::optional<micros> ColdFor, bool ServedBefore) {
  auto &State = *Impl;
  auto Now = State.State.Loop.now();
  auto IsNew =
      Target.Id != State.Target.Id || Target.BornAt != State.Target.BornAt;
  if (IsNew) {
    State.Pool.clear();
    State.MeanRun = FirstRun;
    State.RouteMeans.clear();
    State.FailureShare = 0;
    State.SilentCalls = 0;
    State.Brake = rollout::brake_window();
    State.Evidence.clear();
  }
  State.Target = Target;
  if (!State.ColdKnown && (ServedBefore || (ColdFor && !IsNew))) {
    // What an earlier process sent in the last second is unknown.
    dispatch::assumeFull(State.Rate, State.coldRate(), Now);
  }
  if (ColdFor) {
    State.ColdKnown = true;
    // A last heartbeat that says warm does not shorten the margin.
    State.ColdUntil =
        std::max(*ColdFor > micros(0) || IsNew ? Now : State.ColdUntil,
                 dispatch::coldEnd(Now, *ColdFor));
  }
  reconsider();
}

void admission::reconsider() {
  auto Refused = std::vector<std::uint64_t>();
  for (const auto &Waiting : Impl->Queue.takeAll()) {
    auto &Call = *Impl->Calls.at(Waiting.Key);
    if (const auto *Obstacle = Impl->obstacle(Call.Forward)) {
      Impl->refuse(Call, Obstacle);
    } else if (!Impl->Queue.push(Waiting, Impl->pace(),
                                 Impl->State.Loop.now())) {
      Impl->refuse(Call, "no room in time");
    }
  }
  Impl->pump();
}

void admission::assumeCold() { Impl->ColdKnown = false; }

auto admission::load() const -> dispatch::load_report { return Impl->load(); }

auto admission::busy() const -> std::size_t {
  return Impl->Running + Impl->Queue.size();
}

auto admission::evidence() const -> const rollout::version_evidence & {
  return Impl->Evidence;
}

void admission::clearEvidence() {
  Impl->Evidence.clear();
  Impl->Brake = rollout::brake_window();
}

} // namespace sycamorelb::sidecar
