/** @file entry.cpp Attempts, retries and hedging of a call at its entry node.
 */
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

  /** Makes attempts until one succeeds or no further attempt is allowed. */
  void run();

private:
  auto pickNextTarget() -> bool;
  auto prepareRetry(outcome_kind Kind, bool ReachedPeer) -> bool;
  auto shouldRetry(const response_head &Response) -> bool;
  auto runTarget() -> attempt_result;
  auto runRemote() -> attempt_result;
  auto runHedged(attempt &First) -> attempt_result;
  auto requestFor(const call_target &Target, call_priority Priority,
                  std::uint32_t Number) -> attempt_request;
  auto priority() const -> call_priority {
    return Route.Idempotent ? call_priority::Idempotent
                            : call_priority::NonIdempotent;
  }
  auto retryPredicate() -> retry_predicate {
    return [this](const auto &Response) { return shouldRetry(Response); };
  }

  proxy_core &Core;
  exchange &Exchange;
  route_info Route;
  call_body Body;
  steady_time Deadline;
  std::uint32_t Allowance;   // Attempts allowed, nested calls included.
  std::uint32_t OwnAttempts; // Attempts that this node may make itself.
  std::uint32_t Attempt = 0; // Number of the last attempt.
  call_target Target;        // The last target picked.
  call_target CurrentTarget; // Target of the attempt whose result counts.
  std::vector<call_target> Excluded;
  bool HasNextTarget = false; // Target is for another attempt, not yet made.
};

auto entry_call::pickNextTarget() -> bool {
  auto Picked = Core.Entry.Pick(Route, Attempt + 1, Excluded);
  if (!Picked) {
    return false;
  }
  ++Attempt;
  Target = std::move(*Picked);
  Excluded.push_back(Target);
  return true;
}

auto entry_call::prepareRetry(outcome_kind Kind, bool ReachedPeer) -> bool {
  auto MayRepeat = Kind == outcome_kind::NotRun || Route.Idempotent;
  // An attempt that reached no peer added no load, so its retry takes nothing
  // from the retry budget; otherwise a lost host would soon exhaust it.
  auto NeedsNoBudget = Kind == outcome_kind::NotRun && !ReachedPeer;
  if (Kind == outcome_kind::Cancelled || !MayRepeat || !Body.isReplayable() ||
      Attempt >= OwnAttempts ||
      steadyNow() + Core.Options.HopMargin >= Deadline ||
      (!NeedsNoBudget && !Core.Entry.MayRetry(Route))) {
    return false;
  }
  // Pick the target before the response in hand is discarded for it.
  HasNextTarget = pickNextTarget();
  return HasNextTarget;
}

auto entry_call::shouldRetry(const response_head &Response) -> bool {
  auto Kind = classifyResponse(Response);
  auto IsGatewayFailure = Response.Status == 502 || Response.Status == 503 ||
                          Response.Status == 504;
  return (Kind != outcome_kind::Answered || IsGatewayFailure) &&
         prepareRetry(Kind, true);
}

auto entry_call::requestFor(const call_target &To, call_priority Priority,
                            std::uint32_t Number) -> attempt_request {
  auto Request = attempt_request();
  auto Remaining = std::chrono::floor<millis>(Deadline - steadyNow()) -
                   Core.Options.HopMargin;
  auto Outgoing = outgoing_head();
  Outgoing.Added = {{std::string(ServiceHeader), To.Service.Value},
                    {std::string(VersionHeader), To.Version.Value},
                    {std::string(RouteHeader), Route.Name.Value},
                    {std::string(PriorityHeader),
                     std::to_string(static_cast<int>(Priority))}};
  Outgoing.Added.insert(Outgoing.Added.end(), To.ExtraHeaders.begin(),
                        To.ExtraHeaders.end());
  Outgoing.Remaining = std::max(Remaining, millis(0));
  Outgoing.Attempts = attemptShare(Allowance, OwnAttempts, Number);
  // The admission node requests a large body only after it has admitted the
  // call, so a refused call can be retried with its body unread.
  Outgoing.ExpectContinue = !Body.Complete;
  Request.Address = To.Address;
  Request.Head = writeRequestHead(Exchange.head(), Body, Outgoing);
  Request.ExpectContinue = Outgoing.ExpectContinue;
  Request.FailOnFirstByteTimeout = Route.Idempotent && Body.Complete;
  Request.FirstByteTimeout = To.FirstByteTimeout;
  Request.Deadline = Deadline;
  return Request;
}

auto entry_call::runRemote() -> attempt_result {
  auto First =
      attempt(Core, Exchange, Body, requestFor(Target, priority(), Attempt));
  if (!First.start()) {
    return {First.outcome(), {}, false, First.bodyRefusal()};
  }
  auto MayHedge = Route.HedgeAfter.count() > 0 && Route.Idempotent &&
                  Body.Complete && Body.Buffered.empty() &&
                  Attempt < OwnAttempts;
  return MayHedge ? runHedged(First) : finishAttempt(First, retryPredicate());
}

auto entry_call::runHedged(attempt &First) -> attempt_result {
  auto ReadyIndex = std::size_t{0};
  auto HedgeAt = std::min(Deadline, steadyNow() + Route.HedgeAfter);
  auto Wait = wait_limits{.Deadline = HedgeAt, .CallerFd = Exchange.callerFd()};
  if (waitForEither({First.fd(), -1}, Wait, ReadyIndex) !=
          io_status::TimedOut ||
      !Core.Entry.MayHedge(Route)) {
    return finishAttempt(First, retryPredicate());
  }
  if (!pickNextTarget()) {
    return finishAttempt(First, retryPredicate());
  }
  ++Core.Counters.Hedges;
  auto Second =
      attempt(Core, Exchange, Body,
              requestFor(Target, call_priority::Speculative, Attempt));
  // A hedged attempt at a local upstream would block this thread during
  // admission and delay the first attempt, so it is not made.
  if (Target.Kind != target_kind::AdmissionNode || !Second.start()) {
    Core.Entry.OnAttemptFinished(Route, Target, Second.outcome(), {});
    return finishAttempt(First, retryPredicate());
  }
  Wait.Deadline = Deadline;
  waitForEither({First.fd(), Second.fd()}, Wait, ReadyIndex);
  auto SecondWon = ReadyIndex == 1;
  auto &Loser = SecondWon ? First : Second;
  Loser.cancel("another attempt answered first");
  Core.Entry.OnAttemptFinished(Route, SecondWon ? CurrentTarget : Target,
                               Loser.outcome(), {});
  if (SecondWon) {
    CurrentTarget = Target;
  }
  return finishAttempt(SecondWon ? Second : First, retryPredicate());
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
    Call.KeyHash = claimKeyHash(Exchange.head(), Target.Service);
  }
  return runAdmitted(Core, Exchange, Body, Call, retryPredicate());
}

void entry_call::run() {
  auto Refusal =
      bufferBody(Exchange, Core.Options.BufferedBodyBytes, Deadline, Body);
  auto Result = attempt_result();
  Result.Outcome.Step = "pick";
  Result.Outcome.Peer = Route.Service.Value;
  Result.Outcome.Reason = "no upstream";
  HasNextTarget = Refusal.Status == 0 && pickNextTarget();
  while (std::exchange(HasNextTarget, false)) {
    if (Attempt > 1) {
      ++Core.Counters.Retries;
    }
    CurrentTarget = Target;
    Result = runTarget();
    Core.Entry.OnAttemptFinished(Route, CurrentTarget, Result.Outcome,
                                 Result.ResponseHeaders);
    Refusal = Result.Refusal;
    if (!Result.Responded && !HasNextTarget && Refusal.Status == 0 &&
        !Exchange.isResponseStarted()) {
      prepareRetry(Result.Outcome.Kind, Result.Outcome.Started);
    }
  }
  respondWithResult(Exchange, Result, Refusal);
}

void handleEntry(proxy_core &Core, exchange &Exchange) {
  const auto &Head = Exchange.head();
  auto Route = Core.Entry.Resolve(Head.Method, Head.Path, Head.Headers);
  if (!Route) {
    Exchange.respond(404, {{std::string(OutcomeHeader), "not-run"}},
                     "no route\n");
    return;
  }
  entry_call(Core, Exchange, std::move(*Route)).run();
}

} // namespace sycamorelb::proxy
