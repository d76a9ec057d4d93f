/** @file admission.cpp Admits a call to an upstream beside this node. */
#include "proxy/admission.h"

#include "proxy/call_header.h"

#include "sycamorelb/core/clock_func.h"
#include "sycamorelb/core/hash_func.h"

#include <algorithm>
#include <utility>

namespace sycamorelb::proxy {

/** Raises the cancellation of a call whose caller leaves during a hook. */
class watched_wait {
public:
  watched_wait(caller_watch &Watch, int CallerFd)
      : Cancel(std::make_shared<cancellation>()), Watch(Watch),
        CallerFd(CallerFd), Id(Watch.watch(CallerFd, Cancel)) {}
  ~watched_wait() { Watch.unwatch(CallerFd, Id); }
  watched_wait(const watched_wait &) = delete;
  auto operator=(const watched_wait &) -> watched_wait & = delete;

  std::shared_ptr<cancellation> Cancel; ///< Raised when the caller leaves.

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

static void answerHeld(exchange &Exchange, const claim_decision &Decision) {
  auto Headers = header_list{{std::string(OutcomeHeader),
                              Decision.Completed ? "completed" : "unknown"}};
  if (Decision.Status != 0) {
    Headers.push_back(
        {"x-sycamore-first-status", std::to_string(Decision.Status)});
  }
  Exchange.answer(409, Headers, "the idempotency key was used before\n");
}

/** Claims the key of the call. @return the result that ends the call, if it may
 * not run. */
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
    answerHeld(Exchange, Decision);
    Result.Answered = true;
    Result.Outcome.Status = 409;
    Result.Outcome.Reason = "key held by another call";
  }
  return Result;
}

static auto forward(proxy_core &Core, exchange &Exchange, call_body &Body,
                    const admitted_call &Call, const admission_ticket &Ticket,
                    const answer_filter &Hold) -> attempt_result {
  auto Remaining =
      std::chrono::floor<millis>(Call.Request.Deadline - steadyNow()) -
      Core.Options.HopMargin;
  auto Plan = attempt_plan();
  Plan.Address = Ticket.UpstreamAddress;
  Plan.Head = writeRequestHead(
      Exchange.head(), Body,
      {{}, std::max(Remaining, millis(0)), Call.Attempts, false});
  Plan.GiveUpOnSilence =
      Call.Request.Priority != call_priority::NonIdempotent && Body.Whole;
  Plan.FirstByteTimeout = Ticket.FirstByteTimeout;
  Plan.Deadline = Call.Request.Deadline;
  auto Attempt = attempt(Core, Exchange, Body, std::move(Plan));
  if (!Attempt.start()) {
    return {Attempt.outcome(), {}, false, Attempt.bodyRefusal()};
  }
  return finishAttempt(Attempt, Hold);
}

auto finishAttempt(attempt &Attempt, const answer_filter &Hold)
    -> attempt_result {
  if (!Attempt.awaitHead()) {
    return {Attempt.outcome(), {}, false, Attempt.bodyRefusal()};
  }
  auto Headers = Attempt.answerHead().Headers;
  if (Hold && Hold(Attempt.answerHead())) {
    Attempt.discard();
    return {Attempt.outcome(), std::move(Headers), false, {}};
  }
  auto Whole = Attempt.relay();
  return {Attempt.outcome(), std::move(Headers), Whole, {}};
}

auto runAdmitted(proxy_core &Core, exchange &Exchange, call_body &Body,
                 const admitted_call &Call, const answer_filter &Hold)
    -> attempt_result {
  auto Begin = steadyNow();
  auto Ticket = admission_ticket();
  auto Result = std::optional<attempt_result>();
  auto Claimed = std::optional<std::uint64_t>();
  {
    auto Wait = watched_wait(Core.Watch, Exchange.callerFd());
    auto Decision = Core.Admission.Admit(Call.Request, *Wait.Cancel);
    if (auto *Refusal = std::get_if<admission_refusal>(&Decision)) {
      return refusedResult("admit", Refusal->Reason, *Wait.Cancel);
    }
    Ticket = std::move(std::get<admission_ticket>(Decision));
    if (Call.KeyHash) {
      Result = claim(Core, Exchange, Call, Ticket, *Wait.Cancel);
      Claimed = Result ? std::nullopt : Call.KeyHash;
    }
    if (!Result && Wait.Cancel->isCancelled()) {
      Result = refusedResult("admit", "caller left", *Wait.Cancel);
    }
  }
  if (!Result) {
    Result = forward(Core, Exchange, Body, Call, Ticket, Hold);
  }
  Result->Outcome.Latency = steadyNow() - Begin;
  Core.Admission.Release(Call.Request, Ticket, Result->Outcome, Claimed);
  return std::move(*Result);
}

auto claimKey(const request_head &Head, const service_id &Service)
    -> std::optional<std::uint64_t> {
  auto Key = findHeader(Head.Headers, IdempotencyKeyHeader);
  if (!Key || Key->empty()) {
    return std::nullopt;
  }
  // The separator cannot occur in either part.
  return hash64(Service.Value + "\n" + std::string(*Key));
}

void answerResult(exchange &Exchange, const attempt_result &Result,
                  const body_refusal &Refusal) {
  if (Result.Answered || Exchange.isAnswerSent()) {
    return;
  }
  if (Refusal.Status > 0) {
    auto Mark = Result.Outcome.Started ? "unknown" : "not-run";
    Exchange.closeAfterAnswer();
    Exchange.answer(Refusal.Status, {{std::string(OutcomeHeader), Mark}},
                    Refusal.Reason + "\n");
  } else if (Refusal.Status < 0 ||
             Result.Outcome.Kind == outcome_kind::Cancelled) {
    Exchange.abort();
  } else {
    answerFailure(Exchange, Result.Outcome);
  }
}

/** Reads what the entry node says about the call. */
static auto readCall(const request_head &Head) -> admitted_call {
  auto Text = [&](std::string_view Name) {
    return std::string(findHeader(Head.Headers, Name).value_or(""));
  };
  auto Call = admitted_call();
  Call.Request.Service = {Text(ServiceHeader)};
  Call.Request.Version = {Text(VersionHeader)};
  Call.Request.Route = {Text(RouteHeader)};
  auto Priority = parseDecimal(Text(PriorityHeader)).value_or(0);
  Call.Request.Priority =
      static_cast<call_priority>(std::min<std::uint64_t>(Priority, 2));
  return Call;
}

void handleAdmission(proxy_core &Core, exchange &Exchange) {
  // Without a stated deadline a call does not come from an entry node of this
  // version; it gets a bounded time all the same.
  constexpr auto LongestCall = millis{600'000};
  const auto &Head = Exchange.head();
  if (!Core.Admission.Authenticate(Head.Headers)) {
    Exchange.closeAfterAnswer();
    Exchange.answer(401, {{std::string(OutcomeHeader), "not-run"}},
                    "not run: authentication failed\n");
    return;
  }
  auto Call = readCall(Head);
  Call.Request.Deadline =
      steadyNow() + remainingTime(Head.Headers, LongestCall);
  Call.Attempts = allowedAttempts(Head.Headers, Core.Options.MaxAttempts);
  if (Call.Request.Priority == call_priority::NonIdempotent) {
    Call.KeyHash = claimKey(Head, Call.Request.Service);
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
  answerResult(Exchange, Result, Refusal);
}

} // namespace sycamorelb::proxy
