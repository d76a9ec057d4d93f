/** @file entry.cpp Picks targets for a call and tries them. */
#include "proxy/entry.h"

#include "proxy/call_header.h"

#include "sycamorelb/core/clock_func.h"

#include <algorithm>
#include <array>
#include <utility>

namespace sycamorelb::proxy {

/** One call at its entry node. */
class entry_call {
public:
  entry_call(proxy_core &Core, exchange &Exchange, route_info TheRoute)
      : Core(Core), Exchange(Exchange), Route(std::move(TheRoute)) {
    const auto &Headers = Exchange.head().Headers;
    Deadline = steadyNow() + remainingTime(Headers, Route.Timeout);
    Allowance = allowedAttempts(Headers, Core.Options.MaxAttempts);
    OwnAttempts = std::clamp(Route.MaxAttempts, 1U, Allowance);
  }

  /** Tries targets until one answers or no further attempt is allowed. */
  void run();

private:
  auto pickNext() -> bool;
  auto planRetry(outcome_kind Kind, bool ReachedPeer) -> bool;
  auto holdAnswer(const response_head &Answer) -> bool;
  auto runTarget() -> attempt_result;
  auto runRemote() -> attempt_result;
  auto runHedged(attempt &First) -> attempt_result;
  auto planFor(const call_target &Target, call_priority Priority,
               std::uint32_t Number) -> attempt_plan;
  auto priority() const -> call_priority {
    return Route.Idempotent ? call_priority::Idempotent
                            : call_priority::NonIdempotent;
  }
  auto filter() -> answer_filter {
    return [this](const auto &Answer) { return holdAnswer(Answer); };
  }

  proxy_core &Core;
  exchange &Exchange;
  route_info Route;
  call_body Body;
  steady_time Deadline;
  std::uint32_t Allowance;   // Attempts over all levels below.
  std::uint32_t OwnAttempts; // Attempts that this node may make.
  std::uint32_t Attempt = 0; // Number of the last attempt.
  call_target Target;        // Target picked last.
  call_target Current;       // Target of the attempt whose result counts.
  std::vector<call_target> Excluded;
  bool NextPicked = false; // Target is that of a further attempt.
};

auto entry_call::pickNext() -> bool {
  auto Picked = Core.Entry.Pick(Route, Attempt + 1, Excluded);
  if (!Picked) {
    return false;
  }
  ++Attempt;
  Target = std::move(*Picked);
  Excluded.push_back(Target);
  return true;
}

auto entry_call::planRetry(outcome_kind Kind, bool ReachedPeer) -> bool {
  auto MayRepeat = Kind == outcome_kind::NotRun || Route.Idempotent;
  // An attempt that reached no peer added no load, so its repetition takes
  // nothing from the budget: a lost host would soon use up the budget.
  auto IsFree = Kind == outcome_kind::NotRun && !ReachedPeer;
  if (Kind == outcome_kind::Cancelled || !MayRepeat || !Body.isReplayable() ||
      Attempt >= OwnAttempts ||
      steadyNow() + Core.Options.HopMargin >= Deadline ||
      (!IsFree && !Core.Entry.MayRetry(Route))) {
    return false;
  }
  // The target is picked before an answer is given up for it.
  NextPicked = pickNext();
  return NextPicked;
}

auto entry_call::holdAnswer(const response_head &Answer) -> bool {
  auto Kind = classifyAnswer(Answer);
  auto IsGatewayFailure =
      Answer.Status == 502 || Answer.Status == 503 || Answer.Status == 504;
  return (Kind != outcome_kind::Answered || IsGatewayFailure) &&
         planRetry(Kind, true);
}

auto entry_call::planFor(const call_target &To, call_priority Priority,
                         std::uint32_t Number) -> attempt_plan {
  auto Plan = attempt_plan();
  auto Remaining = std::chrono::floor<millis>(Deadline - steadyNow()) -
                   Core.Options.HopMargin;
  auto Out = outgoing_head();
  Out.Added = {{std::string(ServiceHeader), To.Service.Value},
               {std::string(VersionHeader), To.Version.Value},
               {std::string(RouteHeader), Route.Name.Value},
               {std::string(PriorityHeader),
                std::to_string(static_cast<int>(Priority))}};
  Out.Added.insert(Out.Added.end(), To.ExtraHeaders.begin(),
                   To.ExtraHeaders.end());
  Out.Remaining = std::max(Remaining, millis(0));
  Out.Attempts = attemptShare(Allowance, OwnAttempts, Number);
  // The admission node asks for a large body only after it has admitted the
  // call, so a refusal leaves the body unread and the call repeatable.
  Out.ExpectContinue = !Body.Whole;
  Plan.Address = To.Address;
  Plan.Head = writeRequestHead(Exchange.head(), Body, Out);
  Plan.ExpectContinue = Out.ExpectContinue;
  Plan.GiveUpOnSilence = Route.Idempotent && Body.Whole;
  Plan.FirstByteTimeout = To.FirstByteTimeout;
  Plan.Deadline = Deadline;
  return Plan;
}

auto entry_call::runRemote() -> attempt_result {
  auto First =
      attempt(Core, Exchange, Body, planFor(Target, priority(), Attempt));
  if (!First.start()) {
    return {First.outcome(), {}, false, First.bodyRefusal()};
  }
  auto MayHedge = Route.HedgeAfter.count() > 0 && Route.Idempotent &&
                  Body.Whole && Body.Buffered.empty() && Attempt < OwnAttempts;
  return MayHedge ? runHedged(First) : finishAttempt(First, filter());
}

auto entry_call::runHedged(attempt &First) -> attempt_result {
  auto Which = std::size_t{0};
  auto HedgeAt = std::min(Deadline, steadyNow() + Route.HedgeAfter);
  auto Wait = wait_limits{.Deadline = HedgeAt, .CallerFd = Exchange.callerFd()};
  if (waitForEither({First.fd(), -1}, Wait, Which) != io_status::TimedOut ||
      !Core.Entry.MayHedge(Route)) {
    return finishAttempt(First, filter());
  }
  if (!pickNext()) {
    return finishAttempt(First, filter());
  }
  ++Core.Counters.Hedges;
  auto Second = attempt(Core, Exchange, Body,
                        planFor(Target, call_priority::Speculative, Attempt));
  // A hedge at an upstream beside this node would wait for admission here and
  // hold up the first attempt, so it is not made.
  if (Target.Kind != target_kind::AdmissionNode || !Second.start()) {
    Core.Entry.OnAttemptFinished(Route, Target, Second.outcome(), {});
    return finishAttempt(First, filter());
  }
  Wait.Deadline = Deadline;
  waitForEither({First.fd(), Second.fd()}, Wait, Which);
  auto SecondWon = Which == 1;
  auto &Loser = SecondWon ? First : Second;
  Loser.cancel("another attempt answered first");
  Core.Entry.OnAttemptFinished(Route, SecondWon ? Current : Target,
                               Loser.outcome(), {});
  if (SecondWon) {
    Current = Target;
  }
  return finishAttempt(SecondWon ? Second : First, filter());
}

auto entry_call::runTarget() -> attempt_result {
  if (Target.Kind == target_kind::AdmissionNode) {
    return runRemote();
  }
  auto Call = admitted_call();
  Call.Request = {Target.Service, Target.Version, Route.Name, priority(),
                  Deadline};
  Call.Attempts = attemptShare(Allowance, OwnAttempts, Attempt);
  if (!Route.Idempotent) {
    Call.KeyHash = claimKey(Exchange.head(), Target.Service);
  }
  return runAdmitted(Core, Exchange, Body, Call, filter());
}

void entry_call::run() {
  auto Refusal =
      bufferBody(Exchange, Core.Options.BufferedBodyBytes, Deadline, Body);
  auto Result = attempt_result();
  Result.Outcome.Step = "pick";
  Result.Outcome.Peer = Route.Service.Value;
  Result.Outcome.Reason = "no upstream";
  NextPicked = Refusal.Status == 0 && pickNext();
  while (std::exchange(NextPicked, false)) {
    if (Attempt > 1) {
      ++Core.Counters.Retries;
    }
    Current = Target;
    Result = runTarget();
    Core.Entry.OnAttemptFinished(Route, Current, Result.Outcome,
                                 Result.ResponseHeaders);
    Refusal = Result.Refusal;
    if (!Result.Answered && !NextPicked && Refusal.Status == 0 &&
        !Exchange.isAnswerSent()) {
      planRetry(Result.Outcome.Kind, Result.Outcome.Started);
    }
  }
  answerResult(Exchange, Result, Refusal);
}

void handleEntry(proxy_core &Core, exchange &Exchange) {
  const auto &Head = Exchange.head();
  auto Route = Core.Entry.Resolve(Head.Method, Head.Path, Head.Headers);
  if (!Route) {
    Exchange.answer(404, {{std::string(OutcomeHeader), "not-run"}},
                    "no route\n");
    return;
  }
  entry_call(Core, Exchange, std::move(*Route)).run();
}

} // namespace sycamorelb::proxy
