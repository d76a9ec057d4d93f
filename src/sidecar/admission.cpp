/** @file admission.cpp Runs calls at the target beside this node. */
#include "sidecar/admission.h"

#include "platform/call_header.h"
#include "sidecar/target_pool.h"
#include "sycamorelb/dispatch/call_queue.h"
#include "sycamorelb/dispatch/cold_rate.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

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
/** Time after a lost connection in which the entry node may come back before
 * its calls are dropped. */
static constexpr auto OriginGrace = micros(400'000);
/** Weight of a new value in the means of run times. */
static constexpr auto RunWeight = 0.1;
/** Weight of a call in the share of failed calls. */
static constexpr auto FailureWeight = 0.08;
/** Run time assumed before any call has ended. */
static constexpr auto FirstRun = micros(100'000);
/** Time for which a target counts as cold if its rate is unknown. */
static constexpr auto UnknownColdTime = micros(10'000'000);
/** Failures to get any answer in a row after which a target is given up until
 * its next heartbeat. */
static constexpr auto MaxSilentCalls = 12U;
/** Time beyond a call's deadline after which its connection is closed. */
static constexpr auto DeadlineMargin = micros(30'000);

namespace {

enum class call_stage : std::uint8_t { Queued, Running, Done };

/** A call at this node. */
struct admitted_call {
  call_key Key;
  forward_message Forward;
  admission::reply_handler Reply;
  call_stage Stage = call_stage::Queued;
  std::uint64_t Serial = 0;
  steady_time ArrivedAt{};
  steady_time DeadlineAt{};
  steady_time StartedAt{};
  request_id Id; // Id of the caller's request, for the log.
  std::shared_ptr<http::client_connection> Connection;
  event::timer_id Timer{0};
  reply_message Outcome;
  bool WasCold = false;
};

} // namespace

struct admission::implementation {
  implementation(node_state &State, std::function<void()> OnTargetLost,
                 std::function<void()> OnBrake)
      : State(State), OnTargetLost(std::move(OnTargetLost)),
        OnBrake(std::move(OnBrake)), Pool(State) {}

  node_state &State;
  std::function<void()> OnTargetLost;
  std::function<void()> OnBrake;
  target_pool Pool;
  mesh::target_record Target;
  dispatch::call_queue Queue;
  dispatch::cold_rate Rate;
  steady_time ColdUntil{};
  bool ColdKnown = false;
  std::map<call_key, std::uint64_t> Serials;
  std::unordered_map<std::uint64_t, std::shared_ptr<admitted_call>> Calls;
  std::deque<std::pair<steady_time, std::uint64_t>> Outcomes;
  std::set<call_key> Ended; // Numbers of calls whose outcome was dropped.
  std::deque<std::pair<steady_time, call_key>> EndedOrder;
  std::uint64_t NextSerial = 1;
  std::uint32_t Running = 0;
  std::uint32_t SilentCalls = 0;
  micros MeanRun = FirstRun;
  std::map<route_id, micros> RouteMeans;
  double FailureShare = 0;
  rollout::version_evidence Evidence;
  rollout::brake_window Brake;
  event::timer_id PumpTimer{0};
  steady_time PumpAt{};

  auto isCold() const -> bool {
    return !ColdKnown || ColdUntil > State.Loop.now();
  }
  auto coldRate() const -> double;
  auto pace() const -> dispatch::target_pace;
  auto obstacle(const forward_message &Forward) const -> const char *;
  auto load() const -> dispatch::load_report;
  void finish(admitted_call &Call, reply_message Outcome);
  void refuse(admitted_call &Call, const char *Reason);
  void start(const std::shared_ptr<admitted_call> &Call);
  void handleResult(admitted_call &Call, http::exchange_result Result);
  void handleAnswer(admitted_call &Call, http::response Response);
  void handleFailure(admitted_call &Call,
                     const http::exchange_failure &Failure);
  void noteRun(const admitted_call &Call, bool Failed, micros Run);
  void loseTarget(const char *Reason);
  void breakOff(admitted_call &Call);
  void pump();
  void planPump(steady_time At);
  void rememberEnded(const call_key &Key);
  void dropOldOutcomes();
  auto find(const call_key &Key) -> std::shared_ptr<admitted_call>;
};

admission::admission(node_state &State, std::function<void()> OnTargetLost,
                     std::function<void()> OnBrake)
    : Impl(std::make_unique<implementation>(State, std::move(OnTargetLost),
                                            std::move(OnBrake))) {}

admission::~admission() = default;

auto admission::implementation::coldRate() const -> double {
  const auto *Rule =
      State.Routes ? State.Routes->findService(Target.Service) : nullptr;
  if (Rule == nullptr || Rule->ColdCallsPerSecond <= 0) {
    return 0;
  }
  return Rule->ColdCallsPerSecond * State.Settings.Bounds.ColdRateFactor;
}

auto admission::implementation::pace() const -> dispatch::target_pace {
  auto Pace = dispatch::target_pace();
  Pace.Slots = Target.Slots;
  Pace.Running = Running;
  Pace.MeanRun = MeanRun;
  if (isCold() && coldRate() > 0) {
    Pace.StartGap = micros(static_cast<std::int64_t>(1e6 / coldRate()));
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

void admission::submit(const call_key &Key, forward_message Forward,
                       reply_handler Reply) {
  auto &State = Impl->State;
  Impl->dropOldOutcomes();
  if (auto Known = Impl->find(Key)) {
    if (Known->Stage == call_stage::Done) {
      return Reply(Known->Outcome);
    }
    Known->Reply = std::move(Reply);
    return;
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

void admission::resume(const call_key &Key, reply_handler Reply) {
  Impl->dropOldOutcomes();
  if (auto Known = Impl->find(Key)) {
    if (Known->Stage == call_stage::Done) {
      return Reply(Known->Outcome);
    }
    Known->Reply = std::move(Reply);
    return;
  }
  auto Outcome = reply_message();
  Outcome.Call = Key.Call;
  Outcome.Load = Impl->load();
  Outcome.Reason = "did not arrive";
  if (Impl->Ended.contains(Key)) {
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

void admission::implementation::start(
    const std::shared_ptr<admitted_call> &Call) {
  auto Now = State.Loop.now();
  auto &Forward = Call->Forward;
  auto Idempotent = Forward.Kind == mesh::call_kind::Idempotent;
  Call->Stage = call_stage::Running;
  Call->StartedAt = Now;
  Call->WasCold = isCold();
  ++Running;
  dispatch::noteCall(Rate, Now);
  auto Header = platform::target_header();
  Header.Left = Call->DeadlineAt - Now;
  Header.Target = Target.Id;
  Header.CallerService = Forward.CallerService;
  Forward.Request.Headers =
      platform::encodeTargetHeader(Forward.Request.Headers, Header);
  Call->Connection = Pool.take(!Idempotent);
  auto Weak = std::weak_ptr<admitted_call>(Call);
  auto Id = platform::decodeCallHeader(Forward.Request).Id;
  Call->Connection->setBelongs([Id](const proxy::header_list &Headers) {
    auto Answered = platform::decodeAnswerHeader(Headers).Id;
    return !Answered || *Answered == Id;
  });
  Call->Connection->exchange(Forward.Request,
                             [this, Weak](http::exchange_result Result) {
                               if (auto Self = Weak.lock()) {
                                 handleResult(*Self, std::move(Result));
                               }
                             });
  Forward.Request.Body = std::string();
  Call->Timer =
      State.Loop.addTimer(Call->DeadlineAt + DeadlineMargin, [this, Weak] {
        if (auto Self = Weak.lock()) {
          Self->Connection->close();
          handleResult(*Self, http::exchange_failure{true, false, "deadline"});
        }
      });
}

void admission::implementation::handleResult(admitted_call &Call,
                                             http::exchange_result Result) {
  auto Hold = Calls.at(Call.Serial);
  --Running;
  if (auto *Response = std::get_if<http::response>(&Result)) {
    Pool.put(Call.Connection);
    handleAnswer(Call, std::move(*Response));
  } else {
    handleFailure(Call, std::get<http::exchange_failure>(Result));
  }
  pump();
}

void admission::implementation::noteRun(const admitted_call &Call, bool Failed,
                                        micros Run) {
  FailureShare += FailureWeight * ((Failed ? 1.0 : 0.0) - FailureShare);
  auto &Tally = Evidence[Call.Forward.Route];
  ++Tally.Calls;
  Tally.Failures += Failed ? 1 : 0;
  if (!Failed) {
    auto Blend = [Run](micros Mean) {
      auto Delta = static_cast<double>((Run - Mean).count()) * RunWeight;
      return Mean + micros(static_cast<std::int64_t>(Delta));
    };
    MeanRun = Blend(MeanRun);
    auto [Mean, IsNew] = RouteMeans.try_emplace(Call.Forward.Route, Run);
    if (!IsNew) {
      Mean->second = Blend(Mean->second);
    }
    if (!Call.WasCold) {
      ++Tally.Timed;
      Tally.RunMicros += static_cast<std::uint64_t>(Run.count());
    }
  }
  const auto *Rollout = findRollout(State, Target.Service);
  auto OnTrial = Rollout != nullptr && !rollout::isFinal(Rollout->Stage) &&
                 Rollout->Order.Version == Target.Version;
  if (OnTrial && rollout::noteAndCheckBrake(Brake, Failed)) {
    Brake = rollout::brake_window();
    OnBrake();
  }
}

void admission::implementation::handleAnswer(admitted_call &Call,
                                             http::response Response) {
  auto Header = platform::decodeAnswerHeader(Response.Headers);
  auto Run = State.Loop.now() - Call.StartedAt;
  auto Outcome = reply_message();
  Outcome.Arrived = true;
  Outcome.Run = Run;
  SilentCalls = 0;
  if (Header.NotRun || Response.Status == 421) {
    ++State.Counters.Admissions["refused by target"];
    noteRun(Call, true, Run);
    Outcome.Outcome = reply_outcome::NotRun;
    Outcome.Reason = "target refused";
    auto Mismatch = Response.Status == 421;
    finish(Call, std::move(Outcome));
    if (Mismatch) {
      loseTarget("address belongs to another target");
    }
    return;
  }
  auto Success = Response.Status >= 200 && Response.Status < 300;
  if (Header.Encoded || (Success && !Header.Signed)) {
    ++State.Counters.Admissions["invalid answer"];
    noteRun(Call, true, Run);
    Outcome.Outcome = reply_outcome::Unknown;
    Outcome.Reason = "invalid answer";
    return finish(Call, std::move(Outcome));
  }
  ++State.Counters.Admissions["answered"];
  noteRun(Call, Response.Status >= 500, Run);
  Outcome.Outcome = reply_outcome::Answered;
  Response.Headers = platform::encodeCallerHeader(Response.Headers);
  Outcome.Response = std::move(Response);
  finish(Call, std::move(Outcome));
}

void admission::implementation::handleFailure(
    admitted_call &Call, const http::exchange_failure &Failure) {
  auto Outcome = reply_message();
  Outcome.Arrived = Failure.Connected;
  Outcome.Outcome =
      Failure.Connected ? reply_outcome::Unknown : reply_outcome::NotRun;
  Outcome.Reason = Failure.Reason;
  Outcome.Run = State.Loop.now() - Call.StartedAt;
  ++State.Counters.Admissions["failed: " + Failure.Reason];
  State.Log.write(log_class::Decision, "target.failed",
                  {{"call", static_cast<std::int64_t>(Call.Key.Call.Value)},
                   {"origin", Call.Key.Node.Value},
                   {"reason", Failure.Reason},
                   {"target", Target.Id.Value},
                   {"run_us", Outcome.Run.count()}});
  noteRun(Call, true, Outcome.Run);
  if (!Failure.Answering) {
    ++SilentCalls;
  }
  auto Lost = !Failure.Connected || SilentCalls >= MaxSilentCalls;
  finish(Call, std::move(Outcome));
  if (Lost) {
    loseTarget("can't be reached");
  }
}

void admission::implementation::loseTarget(const char *Reason) {
  if (Target.State != mesh::target_state::Ready) {
    return;
  }
  State.Log.write(log_class::State, "target.lost",
                  {{"target", Target.Id.Value}, {"reason", Reason}});
  SilentCalls = 0;
  Target.State = mesh::target_state::Absent;
  ColdKnown = false;
  Pool.clear();
  for (const auto &Waiting : Queue.takeAll()) {
    refuse(*Calls.at(Waiting.Key), "target lost");
  }
  OnTargetLost();
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

void admission::noteOriginLost(const node_id &Node, std::uint64_t Incarnation) {
  // A call that is submitted again gets a new handler; the others keep the
  // one whose connection has ended.
  auto Orphans = std::vector<std::weak_ptr<admitted_call>>();
  for (const auto &[Key, Serial] : Impl->Serials) {
    auto &Call = Impl->Calls.at(Serial);
    if (Key.Node == Node && Key.Incarnation == Incarnation &&
        Call->Stage != call_stage::Done) {
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
                          std::optional<micros> ColdFor) {
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
  if (ColdFor) {
    if (!State.ColdKnown && !IsNew) {
      // What an earlier process sent in the last second is unknown.
      dispatch::assumeFull(State.Rate, State.coldRate(), Now);
    }
    State.ColdKnown = true;
    State.ColdUntil = Now + *ColdFor;
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

void admission::assumeCold() {
  Impl->ColdKnown = false;
  Impl->ColdUntil = Impl->State.Loop.now() + UnknownColdTime;
}

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
