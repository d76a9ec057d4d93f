/** @file admission.cpp Admission of calls to an upstream attached to this node.
 */
#include "proxy/admission.h"

#include "proxy/call_header.h"

#include "sycamorelb/core/clock_func.h"
#include "sycamorelb/core/hash_func.h"

#include <algorithm>
#include <utility>

namespace sycamorelb::proxy {

/** Watches the caller during its lifetime and cancels the call if the caller
 * disconnects. */
class caller_watch_scope {
public:
  caller_watch_scope(caller_watch &Watch, int CallerFd)
      : Cancel(std::make_shared<cancellation>()), Watch(Watch),
        CallerFd(CallerFd), Id(Watch.watch(CallerFd, Cancel)) {}
  ~caller_watch_scope() { Watch.unwatch(CallerFd, Id); }
  caller_watch_scope(const caller_watch_scope &) = delete;
  auto operator=(const caller_watch_scope &) -> caller_watch_scope & = delete;

  std::shared_ptr<cancellation> Cancel; ///< Raised when the caller disconnects.

private:
  caller_watch &Watch;
  int CallerFd;
  std::uint64_t Id;
};

static auto refusedResult(const char *Step, std::string Reason,
                          const cancellation &Cancel) -> attempt_result {
  auto Result = attempt_result();
  Result.Outcome.Kind =
      Cancel.isCancelled() ? outcome_kind::Cancelled : outcome_kind::NotRun;
  Result.Outcome.Step = Step;
  Result.Outcome.Reason = std::move(Reason);
  return Result;
}

static void respondKeyHeld(exchange &Exchange, const claim_decision &Decision) {
  auto Headers = header_list{{std::string(OutcomeHeader),
                              Decision.Completed ? "completed" : "unknown"}};
  if (Decision.Status != 0) {
    Headers.push_back(
        {"x-sycamore-first-status", std::to_string(Decision.Status)});
  }
  Exchange.respond(409, Headers, "the idempotency key was used before\n");
}

/** Claims the idempotency key of the call. @return the result that ends the
 * call if it must not run. */
static auto claim(proxy_core &Core, exchange &Exchange,
                  const admitted_call &Call, const admission_ticket &Ticket,
                  cancellation &Cancel) -> std::optional<attempt_result> {
  auto Decision =
      Core.Admission.Claim(*Call.KeyHash, Call.Request, Ticket, Cancel);
  if (Decision.Kind == claim_decision::kind::Granted) {
    return std::nullopt;
  }
  auto Result = refusedResult("claim", Decision.Reason, Cancel);
  if (Decision.Kind == claim_decision::kind::Held && !Cancel.isCancelled()) {
    respondKeyHeld(Exchange, Decision);
    Result.Responded = true;
    Result.Outcome.Status = 409;
    Result.Outcome.Reason = "key held by another call";
  }
  return Result;
}

static auto forward(proxy_core &Core, exchange &Exchange, call_body &Body,
                    const admitted_call &Call, const admission_ticket &Ticket,
                    const retry_predicate &ShouldRetry) -> attempt_result {
  auto Remaining =
      std::chrono::floor<millis>(Call.Request.Deadline - steadyNow()) -
      Core.Options.HopMargin;
  auto Request = attempt_request();
  Request.Address = Ticket.UpstreamAddress;
  Request.Head = writeRequestHead(
      Exchange.head(), Body,
      {{}, std::max(Remaining, millis(0)), Call.Attempts, false});
  Request.FailOnFirstByteTimeout =
      Call.Request.Priority != call_priority::NonIdempotent && Body.Complete;
  Request.FirstByteTimeout = Ticket.FirstByteTimeout;
  Request.Deadline = Call.Request.Deadline;
  auto Attempt = attempt(Core, Exchange, Body, std::move(Request));
  if (!Attempt.start()) {
    return {Attempt.outcome(), {}, false, Attempt.bodyRefusal()};
  }
  return finishAttempt(Attempt, ShouldRetry);
}

auto finishAttempt(attempt &Attempt, const retry_predicate &ShouldRetry)
    -> attempt_result {
  if (!Attempt.awaitHead()) {
    return {Attempt.outcome(), {}, false, Attempt.bodyRefusal()};
  }
  auto Headers = Attempt.responseHead().Headers;
  if (ShouldRetry && ShouldRetry(Attempt.responseHead())) {
    Attempt.discard();
    return {Attempt.outcome(), std::move(Headers), false, {}};
  }
  auto Relayed = Attempt.relay();
  return {Attempt.outcome(), std::move(Headers), Relayed, {}};
}

auto runAdmitted(proxy_core &Core, exchange &Exchange, call_body &Body,
                 const admitted_call &Call, const retry_predicate &ShouldRetry)
    -> attempt_result {
  auto Begin = steadyNow();
  auto Ticket = admission_ticket();
  auto Result = std::optional<attempt_result>();
  auto Claimed = std::optional<std::uint64_t>();
  {
    auto CallerWatch = caller_watch_scope(Core.Watch, Exchange.callerFd());
    auto Decision = Core.Admission.Admit(Call.Request, *CallerWatch.Cancel);
    if (auto *Refusal = std::get_if<admission_refusal>(&Decision)) {
      return refusedResult("admit", Refusal->Reason, *CallerWatch.Cancel);
    }
    Ticket = std::move(std::get<admission_ticket>(Decision));
    if (Call.KeyHash) {
      Result = claim(Core, Exchange, Call, Ticket, *CallerWatch.Cancel);
      Claimed = Result ? std::nullopt : Call.KeyHash;
    }
    if (!Result && CallerWatch.Cancel->isCancelled()) {
      Result = refusedResult("admit", "caller left", *CallerWatch.Cancel);
    }
  }
  if (!Result) {
    Result = forward(Core, Exchange, Body, Call, Ticket, ShouldRetry);
  }
  Result->Outcome.Latency = steadyNow() - Begin;
  Core.Admission.Release(Call.Request, Ticket, Result->Outcome, Claimed);
  return std::move(*Result);
}

auto claimKeyHash(const request_head &Head, const service_id &Service)
    -> std::optional<std::uint64_t> {
  auto Key = findHeader(Head.Headers, IdempotencyKeyHeader);
  if (!Key || Key->empty()) {
    return std::nullopt;
  }
  // Neither part can contain the separator.
  return hash64(Service.Value + "\n" + std::string(*Key));
}

void respondWithResult(exchange &Exchange, const attempt_result &Result,
                       const body_refusal &Refusal) {
  if (Result.Responded || Exchange.isResponseStarted()) {
    return;
  }
  if (Refusal.Status > 0) {
    auto OutcomeValue = Result.Outcome.Started ? "unknown" : "not-run";
    Exchange.closeAfterResponse();
    Exchange.respond(Refusal.Status,
                     {{std::string(OutcomeHeader), OutcomeValue}},
                     Refusal.Reason + "\n");
  } else if (Refusal.Status < 0 ||
             Result.Outcome.Kind == outcome_kind::Cancelled) {
    Exchange.abort();
  } else {
    respondWithFailure(Exchange, Result.Outcome);
  }
}

/** Parses the headers with which the entry node describes the call. */
static auto parseCall(const request_head &Head) -> admitted_call {
  auto HeaderText = [&](std::string_view Name) {
    return std::string(findHeader(Head.Headers, Name).value_or(""));
  };
  auto Call = admitted_call();
  Call.Request.Service = {HeaderText(ServiceHeader)};
  Call.Request.Version = {HeaderText(VersionHeader)};
  Call.Request.Route = {HeaderText(RouteHeader)};
  auto Priority = parseDecimal(HeaderText(PriorityHeader)).value_or(0);
  Call.Request.Priority =
      static_cast<call_priority>(std::min<std::uint64_t>(Priority, 2));
  return Call;
}

void handleAdmission(proxy_core &Core, exchange &Exchange) {
  // Entry nodes of this version always send a deadline; this limit bounds calls
  // that carry none.
  constexpr auto MaxCallTime = millis{600'000};
  const auto &Head = Exchange.head();
  if (!Core.Admission.Authenticate(Head.Headers)) {
    Exchange.closeAfterResponse();
    Exchange.respond(401, {{std::string(OutcomeHeader), "not-run"}},
                     "not run: authentication failed\n");
    return;
  }
  auto Call = parseCall(Head);
  Call.Request.Deadline =
      steadyNow() + remainingTime(Head.Headers, MaxCallTime);
  Call.Attempts = allowedAttempts(Head.Headers, Core.Options.MaxAttempts);
  if (Call.Request.Priority == call_priority::NonIdempotent) {
    Call.KeyHash = claimKeyHash(Head, Call.Request.Service);
  }
  auto Body = call_body();
  auto Refusal = body_refusal();
  if (!Head.ExpectContinue) {
    Refusal = bufferBody(Exchange, Core.Options.BufferedBodyBytes,
                         Call.Request.Deadline, Body);
  }
  auto Result = attempt_result();
  if (Refusal.Status == 0) {
    Result = runAdmitted(Core, Exchange, Body, Call, {});
    Refusal = Result.Refusal;
  }
  respondWithResult(Exchange, Result, Refusal);
}

} // namespace sycamorelb::proxy
