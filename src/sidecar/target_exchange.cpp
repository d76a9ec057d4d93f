/** @file target_exchange.cpp Sends a call to the target and evaluates the
 * response. */
#include "platform/call_header.h"
#include "sidecar/admission_state.h"
#include "sidecar/version_view.h"

#include <algorithm>
#include <utility>

namespace sycamorelb::sidecar {

using namespace inner;

/** Weight of a new sample in the moving averages of run times. */
static constexpr auto RunTimeWeight = 0.1;

/** Weight of a new sample in the baseline of a route: slow, so that a busy
 * period of some seconds shows against it. */
static constexpr auto BaselineWeight = 0.02;

/** Weight of a new sample in the moving average of failures. */
static constexpr auto FailureWeight = 0.08;

/** Number of consecutive calls without any response after which the target
 * counts as lost until its next heartbeat. */
static constexpr auto MaxCallsWithoutResponse = 12U;

/** Time after the deadline of a call at which its connection is closed. */
static constexpr auto DeadlineMargin = micros(30'000);

void admission::implementation::startCall(
    const std::shared_ptr<admitted_call> &Call) {
  // Limits are exceeded if a call counts from before it is sent.
  auto Now = State.Loop.clockTime();
  auto &Forward = Call->Forward;
  auto Idempotent = Forward.Kind == mesh::call_kind::Idempotent;
  Call->Stage = call_stage::Running;
  Call->StartedAt = Now;
  Call->WasCold = isCold();
  Call->TargetStart = TargetStarts;
  ++Running;
  Call->WorkAtStart = Speed.Current;
  Call->RunningAtStart = Running;
  if (Call->WasCold) {
    countColdCall();
  }
  dispatch::recordSentCall(Rate, Now);
  dispatch::recordStart(StartLimit, Now);
  auto Known = Routes.find(Forward.Route);
  dispatch::recordStart(Share, Call->Share,
                        Known == Routes.end() ? MeanRun : Known->second.Mean,
                        Now);
  Events.OnCallStarted(Forward.Customer);
  auto Header = platform::target_header();
  Header.TimeLeft = Call->DeadlineAt - Now;
  Header.Target = Target.Id;
  Header.CallerService = Forward.CallerService;
  Header.Customer = Forward.Customer;
  Header.HasCustomers =
      State.Routes && State.Routes->customers().hasCustomers();
  Forward.Request.Headers =
      platform::encodeTargetHeader(Forward.Request.Headers, Header);
  Call->Connection = Pool.take(!Idempotent);
  auto Weak = std::weak_ptr<admitted_call>(Call);
  auto Id = platform::decodeCallHeader(Forward.Request).Id;
  Call->Connection->setResponseMatcher([Id](const proxy::header_list &Headers) {
    auto Answered = platform::decodeResponseHeader(Headers).Id;
    return Id.Value.empty() || Answered == Id;
  });
  Call->Connection->exchange(
      std::move(Forward.Request),
      [this, Weak](http::exchange_result Result) {
        if (auto Self = Weak.lock()) {
          handleResult(*Self, std::move(Result));
        }
      },
      [this, Now, WasCold = Call->WasCold] {
        auto Delay = WasCold ? State.Loop.clockTime() - Now : micros(0);
        ColdCalls.WriteDelay = std::max(ColdCalls.WriteDelay, Delay);
      });
  http::discard(Forward.Request);
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
  auto KeepAlive = Calls.at(Call.Serial);
  --Running;
  if (auto *Response = std::get_if<http::response>(&Result)) {
    Pool.put(Call.Connection);
    handleAnswer(Call, std::move(*Response));
  } else {
    handleFailure(Call, std::get<http::exchange_failure>(Result));
  }
  if (IsTargetLeaving && Target.State == mesh::target_state::Ready) {
    Events.OnTargetLeaving();
  }
  runQueue();
}

void admission::implementation::recordWork(
    const admitted_call &Call, const platform::response_header &Header) {
  if (Header.HasMalformedLoad) {
    ++State.Counters.BadInput["target"];
  } else if (Header.Load && Header.Load->WorkPercent &&
             Call.TargetStart == TargetStarts) {
    dispatch::observeWork(Speed, *Header.Load->WorkPercent, State.Loop.now());
  }
}

void admission::implementation::recordRunTime(const admitted_call &Call,
                                              micros RunTime) {
  auto Run = RunTime;
  if (dispatch::isKnown(Speed)) {
    auto AtStart = Call.WorkAtStart > 0 ? Call.WorkAtStart : Speed.Current;
    Run = dispatch::scaled(RunTime, 200 / (AtStart + Speed.Current));
  }
  auto Average = [Run](micros Mean) {
    auto Delta = static_cast<double>((Run - Mean).count()) * RunTimeWeight;
    return Mean + micros(static_cast<std::int64_t>(Delta));
  };
  MeanRun = Average(MeanRun);
  auto Micros = static_cast<double>(Run.count());
  auto [Found, IsNew] =
      Routes.try_emplace(Call.Forward.Route, route_run_time{Run, Micros});
  if (IsNew) {
    return;
  }
  auto &Known = Found->second;
  Known.Mean = Average(Known.Mean);
  if (dispatch::isKnown(Speed)) {
    auto Concurrency = (Call.RunningAtStart + Running + 1) / 2.0;
    dispatch::observeRun(Limit,
                         {Micros / std::max(1.0, Known.Baseline), Concurrency},
                         Target.Slots, State.Loop.now());
    Known.Baseline += BaselineWeight * (Micros - Known.Baseline);
  }
}

void admission::implementation::recordRun(const admitted_call &Call,
                                          bool Failed, micros RunTime) {
  FailureShare += FailureWeight * ((Failed ? 1.0 : 0.0) - FailureShare);
  auto &Tally = Evidence[Call.Forward.Route];
  ++Tally.Calls;
  Tally.Failures += Failed ? 1 : 0;
  if (!Failed) {
    recordRunTime(Call, RunTime);
    if (!Call.WasCold) {
      ++Tally.TimedCalls;
      Tally.RunMicros += static_cast<std::uint64_t>(RunTime.count());
    }
  }
  const auto *Rollout = findRollout(State, Target.Service);
  auto InRollout = Rollout != nullptr && !rollout::isFinal(Rollout->Stage) &&
                   Rollout->Order.Version == Target.Version;
  if (InRollout && rollout::updateBrake(Brake, Failed)) {
    Brake = rollout::brake_window();
    Events.OnBrake();
  }
}

auto admission::implementation::notice() const -> mesh::target_notice {
  auto Notice = mesh::target_notice();
  if (NamedLimit.CallsPerSecond || IsTargetLeaving) {
    Notice = {Target.Id, Target.StartedAtMs, NamedLimit.CallsPerSecond,
              IsTargetLeaving};
  }
  return Notice;
}

void admission::implementation::enforceLimit(const request_id &Cause) {
  auto Named = NamedLimit.CallsPerSecond;
  if (Named == StartLimit.CallsPerSecond) {
    return;
  }
  dispatch::setStartRate(StartLimit, Named, State.Loop.now());
  State.Log.write(log_class::State, "target.limit",
                  {{"id", Cause.Value},
                   {"target", Target.Id.Value},
                   {"limited", std::int64_t{Named ? 1 : 0}},
                   {"calls_per_ks", static_cast<std::int64_t>(std::min(
                                        Named.value_or(0) * 1e3, 1e15))},
                   {"named", std::int64_t{NamedLimit.DecidedAt ? 1 : 0}}});
}

void admission::implementation::adoptLimit(const forward_message &Forward,
                                           const request_id &Cause) {
  auto Told = Forward.Notice.CallsPerSecond;
  auto Known = NamedLimit.CallsPerSecond;
  // Several nodes may tell different limits; the older ones are unknown.
  if (!NamedLimit.DecidedAt && isAbout(Forward.Notice, Target) && Told &&
      (!Known || *Told < *Known)) {
    NamedLimit.CallsPerSecond = Told;
    enforceLimit(Cause);
  }
}

void admission::implementation::recordNotice(
    const admitted_call &Call, const platform::response_header &Header) {
  if (Call.TargetStart != TargetStarts) {
    return;
  }
  if (Header.HasMalformedLimit) {
    ++State.Counters.BadInput["target"];
    State.Log.write(log_class::Decision, "target.bad_limit",
                    {{"id", Call.Id.Value}, {"target", Target.Id.Value}});
  } else {
    dispatch::applyNamedLimit(NamedLimit, Header.CallsPerSecond, Call.StartedAt,
                              State.Loop.now());
    enforceLimit(Call.Id);
  }
  if (Header.TargetLeaving && !IsTargetLeaving) {
    IsTargetLeaving = true;
    State.Log.write(log_class::State, "target.leaving",
                    {{"id", Call.Id.Value}, {"target", Target.Id.Value}});
  }
}

void admission::implementation::handleAnswer(admitted_call &Call,
                                             http::response Response) {
  auto Header = platform::decodeResponseHeader(Response.Headers);
  auto RunTime = std::max(micros(0), State.Loop.now() - Call.StartedAt);
  auto Outcome = reply_message();
  Outcome.ReachedTarget = true;
  Outcome.RunTime = RunTime;
  CallsWithoutResponse = 0;
  // Falls slowly, so that one small answer doesn't hide the large ones.
  RecentAnswerBytes =
      std::max(Response.Body.size(), RecentAnswerBytes - RecentAnswerBytes / 8);
  if (Response.Status != 421) {
    recordNotice(Call, Header);
    recordWork(Call, Header);
  }
  if (Header.NotExecuted || Response.Status == 421) {
    ++State.Counters.Admissions["refused by target"];
    Events.OnCallRejected(Call.Forward.Customer, Call.StartedAt);
    recordRun(Call, true, RunTime);
    Outcome.Outcome = reply_outcome::NotRun;
    Outcome.Reason = "target refused";
    auto Mismatch = Response.Status == 421;
    finishCall(Call, std::move(Outcome));
    if (Mismatch) {
      markTargetLost("address belongs to another target");
    }
    return;
  }
  auto Success = Response.Status >= 200 && Response.Status < 300;
  if (Header.HasContentCoding || (Success && !Header.Signed)) {
    ++State.Counters.Admissions["invalid answer"];
    recordRun(Call, true, RunTime);
    Outcome.Outcome = reply_outcome::Unknown;
    Outcome.Reason = "invalid answer";
    return finishCall(Call, std::move(Outcome));
  }
  ++State.Counters.Admissions["answered"];
  recordRun(Call, Response.Status >= 500, RunTime);
  Outcome.Outcome = reply_outcome::Answered;
  Response.Headers = platform::encodeResponseHeader(Response.Headers);
  Outcome.Response = std::move(Response);
  finishCall(Call, std::move(Outcome));
}

void admission::implementation::handleFailure(
    admitted_call &Call, const http::exchange_failure &Failure) {
  auto Outcome = reply_message();
  Outcome.ReachedTarget = Failure.Connected;
  Outcome.Outcome =
      Failure.Connected ? reply_outcome::Unknown : reply_outcome::NotRun;
  Outcome.Reason = Failure.Reason;
  Outcome.RunTime = std::max(micros(0), State.Loop.now() - Call.StartedAt);
  ++State.Counters.Admissions["failed: " + Failure.Reason];
  State.Log.write(log_class::Decision, "target.failed",
                  {{"call", static_cast<std::int64_t>(Call.Key.Call.Value)},
                   {"origin", Call.Key.Node.Value},
                   {"reason", Failure.Reason},
                   {"target", Target.Id.Value},
                   {"run_us", Outcome.RunTime.count()}});
  recordRun(Call, true, Outcome.RunTime);
  if (Failure.Connected) {
    recordAbandoned();
  } else {
    Events.OnCallRejected(Call.Forward.Customer, Call.StartedAt);
  }
  if (!Failure.ResponseStarted) {
    ++CallsWithoutResponse;
  }
  auto Lost =
      !Failure.Connected || CallsWithoutResponse >= MaxCallsWithoutResponse;
  finishCall(Call, std::move(Outcome));
  if (Lost) {
    markTargetLost("target unreachable or not responding");
  }
}

void admission::implementation::markTargetLost(const char *Reason) {
  if (Target.State != mesh::target_state::Ready) {
    return;
  }
  State.Log.write(log_class::State, "target.lost",
                  {{"target", Target.Id.Value}, {"reason", Reason}});
  CallsWithoutResponse = 0;
  Target.State = mesh::target_state::Absent;
  IsColdTimeKnown = false;
  Pool.clear();
  for (const auto &Waiting : Queue.takeAll()) {
    refuseCall(*Calls.at(Waiting.Key), "target lost");
  }
  Events.OnTargetLost();
}

} // namespace sycamorelb::sidecar
