/** @file target_control.cpp Handles heartbeats and health of the local target
 * and publishes its state. */
#include "platform/heartbeat.h"
#include "sidecar/sidecar_state.h"
#include "sycamorelb/http/client_connection.h"

#include <algorithm>
#include <utility>

namespace sycamorelb::sidecar {

using namespace inner;

/** Key of the record of a leave, before the name of the node. */
static constexpr auto LeaveKeyPrefix = "left/";
/** Attempts to record a leave in the store, and the time between them. */
static constexpr auto MaxLeaveAppends = 5;
static constexpr auto LeaveAppendInterval = micros(1'000'000);

/** Maximum body size of a health check response, in bytes. */
static constexpr auto MaxHealthBytes = std::size_t{4096};

void sidecar::implementation::publishTarget() {
  auto Target = Watch.Known;
  if (Watch.IsLost && Target.State == mesh::target_state::Ready) {
    Target.State = mesh::target_state::Absent;
  }
  if (State.Own.Target == Target) {
    return;
  }
  State.Own.Target = Target;
  publishOwnRecord(State);
  State.Log.write(log_class::State, "target.changed",
                  {{"target", Target.Id.Value},
                   {"version", Target.Version.Value},
                   {"state", static_cast<std::int64_t>(Target.State)},
                   {"born", Target.StartedAtMs},
                   {"sequence", static_cast<std::int64_t>(Watch.Sequence)}});
  Gossip.broadcastState();
  announceHost();
}

void sidecar::implementation::recordLeave(const ended_start &Start) {
  if (std::exchange(RecordedLeave, Start) != Start) {
    appendLeave(MaxLeaveAppends);
  }
}

void sidecar::implementation::appendLeave(int Attempts) {
  auto Start = *RecordedLeave;
  auto Host = State.Own;
  // Applied by applyPreviousTarget().
  Host.Target.Id = Start.Id;
  Host.Target.StartedAtMs = Start.StartedAtMs.value_or(0);
  Host.Target.State = Start.StartedAtMs ? mesh::target_state::Draining
                                        : mesh::target_state::Gone;
  appendHostRecord(
      LeaveKeyPrefix, Host,
      [this, Start, Attempts](const result<platform::append_ack> &Ack) {
        if (isOk(Ack) || Attempts <= 1) {
          return;
        }
        Loop.addTimer(Loop.now() + LeaveAppendInterval,
                      [this, Start, Attempts] {
                        if (RecordedLeave == Start) {
                          appendLeave(Attempts - 1);
                        }
                      });
      });
}

void sidecar::implementation::publishTargetLost() {
  markLost(Watch);
  State.Own.Target.State = mesh::target_state::Absent;
  publishOwnRecord(State);
  Gossip.broadcastState();
}

void sidecar::implementation::doubtColdTime(const char *Reason) {
  Admission.assumeCold(Reason);
  ColdTimeDoubtedAt = Loop.now();
  HeartbeatSinceDoubtAt = std::nullopt;
}

void sidecar::implementation::askColdTime(bool ServedBefore) {
  auto AskedAt = Loop.now();
  auto Asked = State.Own.Target;
  probeTarget(
      [this, AskedAt, Asked, ServedBefore](const http::response *Result) {
        if (Result == nullptr) {
          return;
        }
        const auto &Response = *Result;
        auto ColdFor = platform::decodeColdTime(Response);
        auto IsCurrent = AskedAt >= ColdTimeDoubtedAt.value_or(AskedAt) &&
                         State.Own.Target == Asked &&
                         platform::isAnswerOf(Response, Asked.Id);
        // A target that rejects the check may omit its cold time.
        auto IsAnswered =
            ColdFor && (*ColdFor > micros(0) ||
                        platform::decodeHealthyTarget(Response) == Asked.Id);
        if (IsCurrent && IsAnswered) {
          applyCheckedColdTime(ColdFor, {"health check", 0, ServedBefore});
        }
      });
}

void sidecar::implementation::applyCheckedColdTime(
    std::optional<micros> Checked, const checked_report &Report) {
  ColdTimeDoubtedAt = std::nullopt;
  CheckedColdUntil =
      Checked ? std::optional(Loop.now() + *Checked) : std::nullopt;
  auto ColdFor = Checked ? std::optional(std::max(*Checked, Report.ColdFor))
                         : std::nullopt;
  Admission.setTarget(State.Own.Target, ColdFor, Report.ServedBefore);
  logColdTime(Report.Source, ColdFor, Report.Sequence);
}

auto sidecar::implementation::updateColdTime(const target_heartbeat &Heartbeat,
                                             bool ServedBefore)
    -> std::optional<micros> {
  const auto &Known = State.Own.Target;
  auto IsSameStart = Heartbeat.Target.Id == Known.Id &&
                     Heartbeat.Target.StartedAtMs == Known.StartedAtMs;
  if (IsSameStart && Known.State == mesh::target_state::Absent) {
    doubtColdTime("target was lost");
  } else if (!IsSameStart) {
    ColdTimeDoubtedAt = std::nullopt;
    CheckedColdUntil = std::nullopt;
  }
  if (ServedBefore) {
    doubtColdTime("process has started");
  }
  if (ColdTimeDoubtedAt) {
    // Heartbeats that were held up together don't prove anything.
    auto First = HeartbeatSinceDoubtAt.value_or(Loop.now());
    HeartbeatSinceDoubtAt = First;
    auto Interval = micros(State.Settings.HeartbeatInterval);
    if (Loop.now() - First < Interval * 3 / 4) {
      return std::nullopt;
    }
    ColdTimeDoubtedAt = std::nullopt;
  }
  auto CheckedUntil = std::exchange(CheckedColdUntil, std::nullopt);
  return CheckedUntil ? std::max(Heartbeat.ColdFor, *CheckedUntil - Loop.now())
                      : Heartbeat.ColdFor;
}

void sidecar::implementation::handleTargetLeaving() {
  if (markLeaving(Watch, State.Own.Target.Id, Loop.now())) {
    applyWatch();
  }
}

void sidecar::implementation::handleHeartbeat(
    const target_heartbeat &Heartbeat) {
  if (Heartbeat.Target.Service != State.Settings.Service) {
    ++State.Counters.BadInput["heartbeat"];
    State.Log.write(log_class::State, "heartbeat.foreign",
                    {{"target", Heartbeat.Target.Id.Value},
                     {"service", Heartbeat.Target.Service.Value}});
    return;
  }
  auto ServedBefore = mayHaveServed(Watch, Heartbeat);
  switch (applyHeartbeat(Watch, Heartbeat)) {
  case heartbeat_effect::Accepted:
    return handleAcceptedHeartbeat(Heartbeat, ServedBefore);
  case heartbeat_effect::Unverified:
    State.Log.write(
        log_class::State, "heartbeat.unproved",
        {{"target", Heartbeat.Target.Id.Value},
         {"born", Heartbeat.Target.StartedAtMs},
         {"sequence", static_cast<std::int64_t>(Heartbeat.Sequence)}});
    return checkTarget();
  case heartbeat_effect::Outdated:
    return handleOutdatedHeartbeat(Heartbeat);
  case heartbeat_effect::Leaving:
    applyWatch();
    return recordLeave({Heartbeat.Target.Id, Heartbeat.Target.StartedAtMs});
  }
}

void sidecar::implementation::handleAcceptedHeartbeat(
    const target_heartbeat &Heartbeat, bool ServedBefore) {
  auto ColdFor = updateColdTime(Heartbeat, ServedBefore);
  publishTarget();
  Admission.setTarget(State.Own.Target, ColdFor, ServedBefore);
  logColdTime("heartbeat", Heartbeat.ColdFor, Heartbeat.Sequence);
  if (!ColdFor) {
    askColdTime(ServedBefore);
  }
}

void sidecar::implementation::handleOutdatedHeartbeat(
    const target_heartbeat &Heartbeat) {
  State.Log.write(
      log_class::State, "heartbeat.outdated",
      {{"target", Heartbeat.Target.Id.Value},
       {"born", Heartbeat.Target.StartedAtMs},
       {"sequence", static_cast<std::int64_t>(Heartbeat.Sequence)},
       {"cold_us", Heartbeat.ColdFor.count()},
       {"known", Watch.Known.Id.Value},
       {"known_born", Watch.Known.StartedAtMs},
       {"known_sequence", static_cast<std::int64_t>(Watch.Sequence)}});
  if (mayBeOtherStart(Watch, Heartbeat)) {
    if (Admission.coldTimeLeft() == micros(0)) {
      doubtColdTime("other start with the same id");
    }
    askColdTime(false);
  }
}

void sidecar::implementation::applyWatch() {
  publishTarget();
  Admission.setTarget(State.Own.Target, std::nullopt);
  checkTarget();
}

void sidecar::implementation::logColdTime(const char *Source,
                                          std::optional<micros> Told,
                                          std::uint64_t Sequence) {
  auto Left = Admission.coldTimeLeft();
  auto IsWarm = Left && *Left == micros(0);
  auto WasWarm = std::exchange(LoggedWarm, IsWarm);
  if (IsWarm && WasWarm) {
    return;
  }
  State.Log.write(log_class::State, "target.cold_time",
                  {{"target", State.Own.Target.Id.Value},
                   {"born", State.Own.Target.StartedAtMs},
                   {"source", Source},
                   {"sequence", static_cast<std::int64_t>(Sequence)},
                   {"told_us", Told ? Told->count() : -1},
                   {"cold_us", Left ? Left->count() : -1}});
}

auto sidecar::implementation::probeTarget(
    const std::function<void(const http::response *)> &OnResult) -> bool {
  const auto *Rule = State.Routes
                         ? State.Routes->findService(State.Settings.Service)
                         : nullptr;
  if (Rule == nullptr) {
    return false;
  }
  auto Options = http::client_options();
  Options.MaxBodyBytes = MaxHealthBytes;
  Options.SameHost = true;
  auto Probe = http::client_connection::open(Loop, State.Settings.TargetAddress,
                                             Options);
  auto Timer = Loop.addTimer(Loop.now() + State.Settings.HeartbeatInterval,
                             [Probe, OnResult] {
                               Probe->close();
                               OnResult(nullptr);
                             });
  Probe->exchange(platform::healthRequest(Rule->HealthPath),
                  [this, OnResult, Timer](const http::exchange_result &Result) {
                    Loop.cancelTimer(Timer);
                    OnResult(std::get_if<http::response>(&Result));
                  });
  return true;
}

void sidecar::implementation::checkTarget() {
  if (IsCheckInProgress || !awaitsCheck(Watch)) {
    return;
  }
  // Set first, as the result may be there before probeTarget() returns.
  IsCheckInProgress = true;
  auto IsSent =
      probeTarget([this, Check = beginCheck(Watch),
                   SentAt = Loop.now()](const http::response *Response) {
        IsCheckInProgress = false;
        handleCheckResult(Check, SentAt, Response);
      });
  IsCheckInProgress = IsCheckInProgress && IsSent;
}

void sidecar::implementation::handleCheckResult(
    const target_check &Check, steady_time SentAt,
    const http::response *Response) {
  auto Id = Response != nullptr ? platform::decodeHealthyTarget(*Response)
                                : std::nullopt;
  auto WasSuperseded = isSuperseded(Watch, Check);
  auto Verified = Id ? applyHealthyAnswer(Watch, Check, *Id) : std::nullopt;
  const auto *Result = WasSuperseded         ? "superseded"
                       : Verified            ? "verified"
                       : Id                  ? "other target"
                       : Response != nullptr ? "not healthy"
                                             : "no answer";
  ++State.Counters.TargetChecks[Result];
  State.Log.write(
      log_class::State, "target.checked",
      {{"result", Result},
       {"status", std::int64_t{Response != nullptr ? Response->Status : 0}},
       {"target", Id ? Id->Value : std::string()},
       {"born", Verified ? Verified->Heartbeat.Target.StartedAtMs : -1},
       {"sequence",
        Verified ? static_cast<std::int64_t>(Verified->Heartbeat.Sequence)
                 : -1},
       {"took_us", (Loop.now() - SentAt).count()}});
  if (WasSuperseded) {
    return checkTarget();
  }
  if (!Verified) {
    return;
  }
  auto ServedBefore = Verified->MayHaveServed;
  publishTarget();
  if (SentAt < ColdTimeDoubtedAt.value_or(SentAt)) {
    Admission.setTarget(State.Own.Target, std::nullopt, ServedBefore);
    return askColdTime(ServedBefore);
  }
  // The heartbeat may be from before the target became cold.
  applyCheckedColdTime(platform::decodeColdTime(*Response),
                       {"verified heartbeat", Verified->Heartbeat.Sequence,
                        ServedBefore, Verified->Heartbeat.ColdFor});
}

/** @return the name of the effect of a leave in the log. */
static auto leaveEffectName(leave_effect Effect) -> const char * {
  switch (Effect) {
  case leave_effect::KnownStart:
    return "known start";
  case leave_effect::OtherStart:
    return "other start of the known target";
  case leave_effect::OtherTarget:
    return "remembered";
  }
  return "";
}

void sidecar::implementation::handleLeave(const mesh::target_id &Id,
                                          std::string_view Body) {
  auto StartedAtMs = platform::decodeLeaveStartTime(Body);
  auto Known = Watch.Known;
  auto Effect = applyLeave(Watch, Id, StartedAtMs, Loop.now());
  State.Log.write(log_class::State, "target.left",
                  {{"target", Id.Value},
                   {"born", StartedAtMs.value_or(-1)},
                   {"known", Known.Id.Value},
                   {"known_born", Known.StartedAtMs},
                   {"effect", leaveEffectName(Effect)}});
  applyWatch();
  recordLeave({Id, StartedAtMs});
}

auto sidecar::implementation::answerHeartbeat(const http::request &Request)
    -> http::response {
  auto Id = platform::decodeTargetId(Request);
  if (!Id || (Request.Method != "PUT" && Request.Method != "DELETE")) {
    return {404, "", {}, "not found\n"};
  }
  if (Request.Method == "DELETE") {
    handleLeave(*Id, Request.Body);
    return platform::encodeHeartbeatAck();
  }
  auto Heartbeat = platform::decodeHeartbeat(*Id, Request.Body);
  if (!isOk(Heartbeat)) {
    ++State.Counters.BadInput["heartbeat"];
    State.Log.write(
        log_class::State, "heartbeat.malformed",
        {{"target", Id->Value}, {"fault", errorOf(Heartbeat).Message}});
    return {400, "", {}, errorOf(Heartbeat).Message + "\n"};
  }
  valueOf(Heartbeat).ArrivedAt = Loop.now();
  handleHeartbeat(valueOf(Heartbeat));
  return platform::encodeHeartbeatAck();
}

} // namespace sycamorelb::sidecar
