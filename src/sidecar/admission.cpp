/** @file admission.cpp Admits calls to the local target. */
#include "platform/call_header.h"
#include "sidecar/admission_state.h"
#include "sidecar/message_intake.h"
#include "sidecar/version_view.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sycamorelb::sidecar {

using namespace inner;

/** Time that an entry node has to resume its calls after its connection was
 * lost, before they are cancelled. */
static constexpr auto ReconnectGrace = micros(400'000);

admission::admission(node_state &State, admission_events Events)
    : Impl(std::make_unique<implementation>(State, std::move(Events))) {}

admission::~admission() = default;

auto admission::implementation::refusalReason(
    const forward_message &Forward) const -> const char * {
  if (Target.State != mesh::target_state::Ready) {
    return "target not ready";
  }
  if (IsTargetLeaving) {
    return "target leaving";
  }
  if (Forward.Service != Target.Service || Forward.Version != Target.Version) {
    return "other service or version";
  }
  if (State.EvacuatedZones.contains(State.Own.Zone)) {
    return "zone evacuated";
  }
  if (useOfTarget(State, Target) == rollout::version_use::Excluded) {
    return "version excluded";
  }
  return nullptr;
}

auto admission::implementation::findCall(const call_key &Key)
    -> std::shared_ptr<admitted_call> {
  auto Found = Serials.find(Key);
  return Found == Serials.end() ? nullptr : Calls.at(Found->second);
}

void admission::implementation::finishCall(admitted_call &Call,
                                           reply_message Outcome) {
  auto KeepAlive = Calls.at(Call.Serial);
  auto IsLocal = Call.Key.Node == State.Own.Node;
  State.Loop.cancelTimer(Call.Timer);
  Call.Stage = call_stage::Done;
  Call.Connection = nullptr;
  Outcome.Call = Call.Forward.Call;
  Outcome.Load = load();
  Outcome.Notice = notice();
  http::discard(Call.Forward.Request);
  if (!IsLocal && !makeRoomForReply(Outcome.Response.Body.size())) {
    ++State.Counters.RepliesDropped;
    dropAnswer(Outcome);
  }
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
  auto Known = Routes.find(Call.Forward.Route);
  if (Known != Routes.end()) {
    Outcome.MeanRouteRunTime = usualRun(Known->second.Mean);
  }
  KeptOutcomes.emplace_back(State.Loop.now(), Call.Serial);
  if (auto Reply = std::exchange(Call.Reply, nullptr)) {
    Reply(Outcome);
  }
  if (!IsLocal) {
    keepOutcome(Call, std::move(Outcome));
  }
}

void admission::implementation::refuseCall(admitted_call &Call,
                                           const char *Reason) {
  ++State.Counters.Admissions[std::string("refused: ") + Reason];
  auto Outcome = reply_message();
  Outcome.Outcome = reply_outcome::NotRun;
  Outcome.Reason = Reason;
  finishCall(Call, std::move(Outcome));
}

void admission::implementation::refuseForCapacity(admitted_call &Call,
                                                  const char *Reason) {
  dispatch::recordRefusal(Share, Call.Share, State.Loop.now());
  refuseCall(Call, Reason);
}

auto admission::implementation::addCall(const call_key &Key,
                                        forward_message Forward,
                                        reply_handler Reply,
                                        source_connection Source)
    -> std::shared_ptr<admitted_call> {
  auto Call = std::make_shared<admitted_call>();
  Call->Key = Key;
  Call->Serial = NextSerial++;
  Call->Reply = std::move(Reply);
  Call->Source = Source;
  Call->ArrivedAt = State.Loop.now();
  Call->DeadlineAt = Call->ArrivedAt + Forward.TimeLeft;
  Call->Id = platform::decodeCallHeader(Forward.Request).Id;
  Call->Forward = std::move(Forward);
  Serials.emplace(Key, Call->Serial);
  Calls.emplace(Call->Serial, Call);
  return Call;
}

void admission::refuseArrival(const call_key &Key, reply_handler Reply,
                              source_connection Source) {
  Impl->dropOldOutcomes();
  if (Impl->answerKnownCall(Key, Reply, Source)) {
    return;
  }
  auto Forward = forward_message();
  Forward.Call = Key.Call;
  Impl->refuseCall(
      *Impl->addCall(Key, std::move(Forward), std::move(Reply), Source),
      "no memory");
}

void admission::submit(const call_key &Key, forward_message Forward,
                       reply_handler Reply, source_connection Source) {
  auto &State = Impl->State;
  Impl->dropOldOutcomes();
  if (Impl->answerKnownCall(Key, Reply, Source)) {
    return;
  }
  auto Now = State.Loop.now();
  auto Call = Impl->addCall(Key, std::move(Forward), std::move(Reply), Source);
  auto Waiting =
      dispatch::queued_call{Call->Serial, Call->Forward.Priority,
                            Now + Call->Forward.TimeToStartOnTime,
                            Now + Call->Forward.TimeToLatestStart, Now};
  Impl->adoptLimit(Call->Forward, Call->Id);
  Impl->adoptColdRate(Call->Forward);
  if (const auto *Reason = Impl->refusalReason(Call->Forward)) {
    return Impl->refuseCall(*Call, Reason);
  }
  // The entry has decided about the calls of callers beside this node.
  if (Key.Node != State.Own.Node &&
      event::refusesCalls(*State.Loop.memory(),
                          Call->Forward.Request.Body.size())) {
    return Impl->refuseCall(*Call, "no memory");
  }
  if (Call->DeadlineAt <= Now) {
    return Impl->refuseCall(*Call, "deadline passed on the way");
  }
  if (!endsBeforeStop(State, Call->DeadlineAt)) {
    return Impl->refuseCall(*Call, "node stopping");
  }
  if (Impl->isTooSlowNow(Call->Forward, Waiting)) {
    return Impl->refuseCall(*Call, "target slow now");
  }
  Impl->Share.HasKindFloors =
      dispatch::isKnown(Impl->Speed) ||
      (State.Routes && State.Routes->customers().hasCustomers());
  Call->Share = dispatch::shareOf(Impl->Share, Call->Forward.Customer,
                                  Call->Forward.Route, Now);
  Waiting.Share = Call->Share;
  Waiting.Standing = dispatch::standingOf(Impl->Share, Call->Share, Now);
  Impl->Queue.updateStandings(Impl->Share, Now);
  if (!Impl->Queue.push(Waiting, Impl->capacity(), Now)) {
    return Impl->refuseForCapacity(*Call, "no room in time");
  }
  Impl->runQueue();
}

auto admission::implementation::lacksMemoryFor(const admitted_call &Call) const
    -> bool {
  const auto &Memory = *State.Loop.memory();
  auto Expected = event::memory_budget();
  Expected.LimitBytes = Memory.LimitBytes;
  Expected.UsedBytes = Memory.UsedBytes + Running * RecentAnswerBytes;
  // The entry on this host holds the body once more.
  return event::refusesCalls(Expected, Call.Forward.Request.Body.size() * 2);
}

void admission::implementation::scheduleQueueRun(steady_time At) {
  if (QueueTimerAt != steady_time() && QueueTimerAt <= At) {
    return;
  }
  State.Loop.cancelTimer(QueueTimer);
  QueueTimerAt = At;
  QueueTimer = State.Loop.addTimer(At, [this] {
    QueueTimerAt = steady_time();
    runQueue();
  });
}

void admission::implementation::runQueue() {
  auto Now = State.Loop.now();
  Queue.updateStandings(Share, Now);
  while (Queue.size() > 0 && occupiedSlots() < std::max(1U, allowedCalls())) {
    auto NextStart = nextCallTime();
    if (NextStart > Now) {
      scheduleQueueRun(NextStart);
      break;
    }
    auto Next = Queue.pop(Now);
    auto Call = Calls.at(Next->Key);
    if (Next->LatestStart < Now && Next->ArrivedAt < Now) {
      refuseForCapacity(*Call, "start too late");
    } else if (lacksMemoryFor(*Call)) {
      refuseCall(*Call, "no memory");
    } else {
      startCall(Call);
    }
  }
  for (const auto &Expired : Queue.shedLateCalls(capacity(), Now)) {
    refuseForCapacity(*Calls.at(Expired.Key), "overtaken");
  }
  if (Queue.size() > 0 && !AbandonedUntil.empty()) {
    scheduleQueueRun(std::max(AbandonedUntil.front(), Now + micros(1000)));
  }
  if (auto Expiry = Queue.nextExpiry()) {
    scheduleQueueRun(std::max(*Expiry, Now + micros(1000)));
  }
}

void admission::implementation::abortCall(admitted_call &Call) {
  auto KeepAlive = Calls.at(Call.Serial);
  if (Call.Stage == call_stage::Queued) {
    Queue.remove(Call.Serial);
    Call.Reply = nullptr;
    refuseCall(Call, "cancelled");
  } else if (Call.Stage == call_stage::Running) {
    Call.Reply = nullptr;
    if (Call.Forward.Kind == mesh::call_kind::Idempotent) {
      Call.Connection->close();
      --Running;
      recordAbandoned();
      auto Outcome = reply_message();
      Outcome.Outcome = reply_outcome::Unknown;
      Outcome.ReachedTarget = true;
      Outcome.Reason = "cancelled";
      ++State.Counters.Admissions["cancelled"];
      finishCall(Call, std::move(Outcome));
    }
  }
}

void admission::cancel(const call_key &Key) {
  if (auto Call = Impl->findCall(Key)) {
    Impl->abortCall(*Call);
    Impl->runQueue();
  }
}

void admission::handleConnectionLost(source_connection Source) {
  auto Affected = std::vector<std::weak_ptr<admitted_call>>();
  for (const auto &[Serial, Call] : Impl->Calls) {
    if (Call->Source == Source && Call->Stage != call_stage::Done) {
      Call->Reply = nullptr;
      Affected.push_back(Call);
    }
  }
  if (Affected.empty()) {
    return;
  }
  Impl->State.Loop.addTimer(Impl->State.Loop.now() + ReconnectGrace,
                            [this, Affected = std::move(Affected)] {
                              for (const auto &Weak : Affected) {
                                auto Call = Weak.lock();
                                if (Call && Call->Stage != call_stage::Done &&
                                    !Call->Reply) {
                                  Impl->abortCall(*Call);
                                }
                              }
                              Impl->runQueue();
                            });
}

void admission::setTarget(const mesh::target_record &Target,
                          std::optional<micros> ColdFor, bool ServedBefore) {
  auto &Self = *Impl;
  auto Now = Self.State.Loop.now();
  auto IsNew = Target.Id != Self.Target.Id ||
               Target.StartedAtMs != Self.Target.StartedAtMs;
  if (IsNew) {
    Self.Pool.clear();
    ++Self.TargetStarts;
    Self.NamedLimit = dispatch::named_limit();
    Self.StartLimit = dispatch::start_limit();
    Self.IsTargetLeaving = false;
    Self.MeanRun = InitialMeanRun;
    Self.Routes.clear();
    Self.Share = dispatch::fair_share();
    Self.AbandonedUntil.clear();
    Self.Speed = dispatch::work_speed();
    Self.Limit = dispatch::concurrency_limit();
    Self.FailureShare = 0;
    Self.CallsWithoutResponse = 0;
    Self.Brake = rollout::brake_window();
    Self.Evidence.clear();
  }
  Self.Target = Target;
  if (!Self.IsColdTimeKnown && ServedBefore) {
    // The calls that the previous process sent before it ended are unknown.
    dispatch::fillWindow(Self.Rate, Self.State.StartedAt);
  } else if (!Self.IsColdTimeKnown && ColdFor && !IsNew) {
    dispatch::fillWindow(Self.Rate, Self.State.Loop.clockTime());
  }
  if (IsNew && !ColdFor) {
    Self.IsColdTimeKnown = false;
  }
  if (ColdFor) {
    Self.IsColdTimeKnown = true;
    // A heartbeat that reports a warm target does not shorten the margin that
    // coldEndTime() added before.
    auto ReadAt = *ColdFor > micros(0) ? Self.State.Loop.clockTime() : Now;
    Self.ColdUntil =
        std::max(*ColdFor > micros(0) || IsNew ? Now : Self.ColdUntil,
                 dispatch::coldEndTime(ReadAt, *ColdFor));
  }
  recheckQueue();
}

void admission::recheckQueue() {
  auto Refused = std::vector<std::uint64_t>();
  for (const auto &Waiting : Impl->Queue.takeAll()) {
    auto &Call = *Impl->Calls.at(Waiting.Key);
    if (const auto *Reason = Impl->refusalReason(Call.Forward)) {
      Impl->refuseCall(Call, Reason);
    } else if (!Impl->Queue.push(Waiting, Impl->capacity(),
                                 Impl->State.Loop.now())) {
      Impl->refuseForCapacity(Call, "no room in time");
    }
  }
  Impl->runQueue();
}

void admission::assumeCold(const char *Reason) {
  Impl->State.Log.write(
      log_class::State, "target.cold_assumed",
      {{"target", Impl->Target.Id.Value}, {"reason", Reason}});
  Impl->IsColdTimeKnown = false;
}

auto admission::coldTimeLeft() const -> std::optional<micros> {
  if (!Impl->IsColdTimeKnown) {
    return std::nullopt;
  }
  return std::max(micros(0), Impl->ColdUntil - Impl->State.Loop.now());
}

auto admission::load() const -> dispatch::load_report { return Impl->load(); }

auto admission::pendingCalls() const -> std::size_t {
  return Impl->Running + Impl->Queue.size();
}

auto admission::targetStarts() const -> std::uint64_t {
  return Impl->TargetStarts;
}

auto admission::evidence() const -> const rollout::version_evidence & {
  return Impl->Evidence;
}

void admission::clearEvidence() {
  Impl->Evidence.clear();
  Impl->Brake = rollout::brake_window();
}

} // namespace sycamorelb::sidecar
