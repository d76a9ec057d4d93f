/** @file call_dispatch.cpp Sends calls to targets and answers their callers.
 */
#include "platform/call_header.h"
#include "sidecar/entry_state.h"
#include "sycamorelb/core/number_func.h"
#include "sycamorelb/dispatch/call_queue.h"
#include "sycamorelb/dispatch/work_speed.h"

#include <algorithm>
#include <utility>

namespace sycamorelb::sidecar {

using namespace inner;

/** Number of attempts that were not run after which a call gets only one last
 * attempt, which needs to meet only its deadline. */
static constexpr auto MaxBounces = std::uint32_t{4};

/** Share of the time left, less the run time, that a call may be queued once
 * its latency objective is missed. */
static constexpr auto MissedObjectiveWaitShare = 0.5;

auto entry::implementation::pickHost(const call_ref &Call)
    -> const mesh::host_record * {
  auto Now = State.Loop.now();
  auto Request = dispatch::pick_request();
  Request.MeanRun = expectedRunTime(Balancer, *Call->Route);
  Request.TimeToObjective = Call->ObjectiveAt - Now;
  Request.TimeLeft = Call->ObjectiveMissed
                         ? Call->DeadlineAt - Now
                         : std::max(Request.TimeToObjective, Request.MeanRun);
  Request.Bytes = Call->Request.Body.size();
  auto Filter =
      target_filter{Call->Service, Call->PrefersCanary, &Call->TriedHosts};
  auto Eligible = findEligibleTargets(State, Balancer, Filter);
  if (Eligible.Hosts.empty() && Call->PrefersCanary) {
    Call->PrefersCanary = false;
    return pickHost(Call);
  }
  auto Picked =
      dispatch::pickTarget(Eligible.Candidates, Request, Now, State.Random);
  return Picked ? Eligible.Hosts[Picked->Index] : nullptr;
}

void entry::implementation::dispatchCall(const call_ref &Call) {
  // An attempt needs the memory of the body once more. The one before may still
  // be in the output.
  if (!event::hasRoom(*State.Loop.memory(), Call->Request.Body.size())) {
    return refuseCall(Call, "no memory");
  }
  if (Call->Bounces < MaxBounces) {
    if (const auto *Host = pickHost(Call)) {
      return sendAttempt(Call, *Host);
    }
  }
  if (!Call->ObjectiveMissed) {
    // Tries once more with the whole time until the deadline.
    Call->ObjectiveMissed = true;
    if (Call->Arrivals == 0) {
      Call->TriedHosts.clear();
    }
    if (const auto *Host = pickHost(Call)) {
      return sendAttempt(Call, *Host);
    }
  }
  refuseCall(Call, "no target in time");
}

auto entry::implementation::makeForward(const open_call &Call,
                                        const mesh::host_record &Host) const
    -> forward_message {
  auto Now = State.Loop.now();
  auto RunTime = expectedRunTime(Balancer, *Call.Route);
  auto Forward = forward_message();
  Forward.Call = Call.Attempt;
  Forward.Service = Call.Service;
  Forward.Version = Host.Target.Version;
  Forward.Route = Call.Route->Name;
  Forward.CallerService = State.Settings.Service;
  Forward.Kind = Call.Route->Kind;
  Forward.Priority = Call.Priority;
  Forward.Customer = Call.Customer;
  auto View = Balancer.Views.find(Host.Node);
  if (View != Balancer.Views.end() && dispatch::reportsWork(View->second)) {
    // The target's node knows its speed at this moment, and takes it off.
    RunTime = dispatch::scaled(RunTime, View->second.RelativeRunTime);
  }
  Forward.TimeToStartOnTime = Call.ObjectiveAt - Now - RunTime;
  Forward.TimeLeft = Call.DeadlineAt - Now;
  auto Notice = Balancer.Notices.find(Host.Node);
  if (Notice != Balancer.Notices.end() &&
      isAbout(Notice->second, Host.Target)) {
    Forward.Notice = Notice->second;
  }
  if (const auto *Service = Call.Routes->findService(Call.Service)) {
    Forward.ColdCallsPerSecond = Service->ColdCallsPerSecond;
  }
  auto Slack = static_cast<double>((Forward.TimeLeft - RunTime).count());
  Forward.TimeToLatestStart = std::max(
      dispatch::MinTimeToStart,
      Call.ObjectiveMissed ? saturatedMicros(Slack * MissedObjectiveWaitShare)
                           : Forward.TimeToStartOnTime);
  return Forward;
}

void entry::implementation::sendAttempt(const call_ref &Call,
                                        const mesh::host_record &Host) {
  auto Node = Host.Node;
  // Each attempt needs a new number, as a node runs a number only once.
  Call->Attempt = {NextNumber++};
  Call->Host = Node;
  Call->SentAt = State.Loop.now();
  Call->SentTo = std::nullopt;
  Attempts.emplace(Call->Attempt.Value, Call);
  auto Forward = makeForward(*Call, Host);
  recordCallSent(Balancer, Node, Call->Request.Body.size());
  if (Node == State.Own.Node) {
    Forward.Request = Call->Request;
    auto Key = call_key{Node, State.Own.Process, Call->Attempt};
    auto Weak = std::weak_ptr<open_call>(Call);
    Admission.submit(Key, std::move(Forward),
                     [this, Weak, Node](reply_message &Reply) {
                       if (auto Self = Weak.lock()) {
                         handleOutcome(Self, Node, Reply);
                       }
                     });
    return;
  }
  // Encoded without a copy of the request, which the call keeps for another
  // attempt.
  Forward.Request = std::move(Call->Request);
  auto Message = mesh_message(std::move(Forward));
  auto IsSent = Links.send(Node, Message);
  Call->Request = std::move(std::get<forward_message>(Message).Request);
  if (!IsSent) {
    auto Reply = reply_message();
    Reply.Reason = "host can't be reached";
    recordUnreachableHost(Balancer, Node, State.Loop.now());
    Links.adjustAwaitedReplies(Node, 1);
    return handleOutcome(Call, Node, Reply);
  }
  Links.adjustAwaitedReplies(Node, 1);
}

void entry::implementation::releaseHost(open_call &Call) {
  if (!Call.Host.Value.empty()) {
    recordCallReleased(Balancer, Call.Host, Call.Request.Body.size());
    if (Call.Host != State.Own.Node) {
      Links.adjustAwaitedReplies(Call.Host, -1);
    }
  }
  Call.Host = node_id();
  Attempts.erase(Call.Attempt.Value);
}

void entry::implementation::handleOutcome(const call_ref &Call,
                                          const node_id &Node,
                                          reply_message &Reply) {
  if (Call->Host != Node) {
    return;
  }
  releaseHost(*Call);
  Call->LastHost = Node;
  recordReply(Balancer, Node, Call->Route->Name, Reply, State.Loop.now());
  Call->Arrivals += Reply.ReachedTarget ? 1 : 0;
  Call->TriedHosts.insert(Node);
  switch (Reply.Outcome) {
  case reply_outcome::NotRun:
    return handleNotRun(Call, Reply);
  case reply_outcome::Unknown:
    Call->MayHaveRun = true;
    return handleFailed(Call, Reply);
  case reply_outcome::Answered:
    break;
  }
  Call->MayHaveRun = true;
  if (Reply.Response.Status >= 500) {
    Call->Failure.emplace(std::move(Reply.Response));
    return handleFailed(Call, Reply);
  }
  answerCall(Call, std::move(Reply.Response), "answered");
}

void entry::implementation::handleNotRun(const call_ref &Call,
                                         const reply_message &Reply) {
  State.Log.write(log_class::Decision, "call.bounced",
                  {{"id", Call->Id.Value},
                   {"reason", Reply.Reason},
                   {"running", std::int64_t{Reply.Load.Running}},
                   {"queued", std::int64_t{Reply.Load.Queued}},
                   {"slots", std::int64_t{Reply.Load.Slots}}});
  ++State.Counters.Bounces;
  ++Call->Bounces;
  if (Reply.ReachedTarget && !mayRetry(*Call, retry_cause::Refused)) {
    return refuseCall(Call, "target refused");
  }
  dispatchCall(Call);
}

auto entry::implementation::mayRetry(const open_call &Call, retry_cause Cause)
    -> bool {
  auto RunTime = expectedRunTime(Balancer, *Call.Route);
  return Call.Arrivals < Call.Route->Attempts &&
         State.Loop.now() + RunTime < Call.DeadlineAt &&
         takeRetryToken(State, Balancer, Call.Service, Cause);
}

void entry::implementation::handleFailed(const call_ref &Call,
                                         const reply_message &Reply) {
  auto MayRetry = Call->Route->Kind == mesh::call_kind::Idempotent &&
                  mayRetry(*Call, retry_cause::Failed);
  State.Log.write(log_class::Decision,
                  MayRetry ? "call.repeated" : "call.failed",
                  {{"id", Call->Id.Value},
                   {"reason", Reply.Reason},
                   {"status", std::int64_t{Reply.Response.Status}},
                   {"arrivals", std::int64_t{Call->Arrivals}},
                   {"run_us", Reply.RunTime.count()}});
  if (MayRetry) {
    ++State.Counters.Retries;
    Call->PrefersCanary = false;
    return dispatchCall(Call);
  }
  failCall(Call, 502, "target failed");
}

auto entry::implementation::retryDelay(const open_call &Call) -> micros {
  auto Now = State.Loop.now();
  auto Filter = target_filter{Call.Service, false, nullptr};
  auto Eligible = findEligibleTargets(State, Balancer, Filter);
  auto Wait = DefaultRetryDelay;
  for (const auto &Candidate : Eligible.Candidates) {
    Wait = std::min(Wait, dispatch::predictedWait(Candidate.View, Now));
  }
  return dispatch::retryAfter(Wait, Call.DeadlineAt - Now, State.Random);
}

void entry::implementation::refuseCall(const call_ref &Call,
                                       const char *Reason) {
  if (Call->MayHaveRun) {
    return failCall(Call, 502, Reason);
  }
  auto RetryDelay = retryDelay(*Call);
  State.Log.write(log_class::Decision, "call.refused",
                  {{"id", Call->Id.Value},
                   {"route", Call->Route->Name.Value},
                   {"service", Call->Service.Value},
                   {"reason", Reason},
                   {"bounces", std::int64_t{Call->Bounces}},
                   {"held_us", (State.Loop.now() - Call->ArrivedAt).count()},
                   {"return_us", RetryDelay.count()}});
  answerCall(Call,
             platform::encodeLocalReply(503, Call->Id, RetryDelay, Reason),
             "refused");
}

void entry::implementation::failCall(const call_ref &Call, int Status,
                                     const char *Reason) {
  if (Call->Failure) {
    return answerCall(Call, std::move(*Call->Failure), "failed by target");
  }
  answerCall(Call,
             platform::encodeLocalReply(Status, Call->Id, std::nullopt, Reason),
             "failed");
}

void entry::implementation::logCustomer(const open_call &Call, int Status) {
  if (Call.Customer.Value.empty()) {
    return;
  }
  // A line of its own, so that deployments without customers log as before.
  State.Log.write(Status < 400 ? log_class::Routine : log_class::Decision,
                  "call.customer",
                  {{"id", Call.Id.Value},
                   {"customer", Call.Customer.Value},
                   {"priority", std::int64_t{Call.Priority}}});
}

void entry::implementation::answerCall(const call_ref &Call,
                                       http::response Response,
                                       const char *Outcome) {
  removeCall(*Call);
  logCustomer(*Call, Response.Status);
  auto Duration = State.Loop.now() - Call->ArrivedAt;
  ++State.Counters.Calls[Outcome];
  recordLatency(State.Counters.Latency[Call->Route->Name], Duration);
  State.Log.write(
      Response.Status < 400 ? log_class::Routine : log_class::Decision,
      "call.ended",
      {{"id", Call->Id.Value},
       {"route", Call->Route->Name.Value},
       {"outcome", Outcome},
       {"status", std::int64_t{Response.Status}},
       {"host", Call->LastHost.Value},
       {"arrivals", std::int64_t{Call->Arrivals}},
       {"bounces", std::int64_t{Call->Bounces}},
       {"body", static_cast<std::int64_t>(Call->Request.Body.size())},
       {"took_us", Duration.count()}});
  if (auto Caller = Call->Caller.lock()) {
    Caller->respond(Call->Exchange, std::move(Response), State.Stopping);
  }
  relieveIfFull();
}

void entry::implementation::cancelAttempt(const call_ref &Call) {
  if (Call->Host.Value.empty()) {
    return;
  }
  auto Node = Call->Host;
  auto Attempt = Call->Attempt;
  releaseHost(*Call);
  if (Node == State.Own.Node) {
    Admission.cancel({Node, State.Own.Process, Attempt});
  } else {
    Links.send(Node, cancel_message{Attempt});
  }
}

void entry::implementation::handleTimeout(const call_ref &Call) {
  auto AtHost = !Call->Host.Value.empty();
  State.Log.write(log_class::Decision, "call.expired",
                  {{"id", Call->Id.Value},
                   {"host", Call->Host.Value},
                   {"arrivals", std::int64_t{Call->Arrivals}}});
  cancelAttempt(Call);
  if (AtHost || Call->MayHaveRun) {
    return failCall(Call, 504, "time is over");
  }
  refuseCall(Call, "time is over");
}

void entry::implementation::removeCall(const open_call &Call) {
  State.Loop.cancelTimer(Call.Timer);
  Calls.erase(Call.Serial);
  auto Found = Connections.find(Call.Caller.lock());
  if (Found != Connections.end()) {
    Found->second.erase(Call.Serial);
  }
}

void entry::implementation::handleConnectionClosed(
    const std::shared_ptr<http::server_connection> &Connection) {
  auto Found = Connections.find(Connection);
  if (Found == Connections.end()) {
    return;
  }
  auto Serials = std::move(Found->second);
  Connections.erase(Found);
  for (auto Serial : Serials) {
    if (auto Open = Calls.find(Serial); Open != Calls.end()) {
      handleCallerDisconnect(call_ref(Open->second));
    }
  }
}

void entry::implementation::handleCallerDisconnect(const call_ref &Call) {
  removeCall(*Call);
  ++State.Counters.Calls["abandoned by caller"];
  State.Log.write(log_class::Decision, "call.abandoned",
                  {{"id", Call->Id.Value},
                   {"host", Call->Host.Value},
                   {"after_us", (State.Loop.now() - Call->ArrivedAt).count()}});
  cancelAttempt(Call);
}

} // namespace sycamorelb::sidecar
