/** @file target_control.cpp Handles heartbeats and health of the local target
 * and publishes its state. */
#include "platform/heartbeat.h"
#include "sidecar/sidecar_state.h"
#include "sycamorelb/http/client_connection.h"

#include <algorithm>
#include <utility>

namespace sycamorelb::sidecar {

using namespace inner;

/** Maximum body size of a health check response, in bytes. */
static constexpr auto MaxHealthBytes = std::size_t{4096};

void sidecar::implementation::publishTarget() {
  auto Changed = State.Own.Target != Watch.Known;
  State.Own.Target = Watch.Known;
  if (Changed) {
    publishOwnRecord(State);
    State.Log.write(log_class::State, "target.changed",
                    {{"target", Watch.Known.Id.Value},
                     {"version", Watch.Known.Version.Value},
                     {"state", static_cast<std::int64_t>(Watch.Known.State)},
                     {"born", Watch.Known.StartedAtMs},
                     {"sequence", static_cast<std::int64_t>(Watch.Sequence)}});
    Gossip.broadcastState();
    announceHost();
  }
}

void sidecar::implementation::publishTargetLost() {
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
      [this, AskedAt, Asked, ServedBefore](const http::response &Response) {
        auto ColdFor = platform::decodeColdTime(Response);
        auto IsCurrent = AskedAt >= ColdTimeDoubtedAt.value_or(AskedAt) &&
                         State.Own.Target == Asked &&
                         platform::isAnswerOf(Response, Asked.Id);
        // A target that rejects the check may omit its cold time.
        auto IsAnswered = ColdFor && (*ColdFor > micros(0) ||
                                      platform::isHealthy(Response, Asked.Id));
        if (IsCurrent && IsAnswered) {
          applyCheckedColdTime(ColdFor, ServedBefore, "health check", 0);
        }
      });
}

void sidecar::implementation::applyCheckedColdTime(
    std::optional<micros> ColdFor, bool ServedBefore, const char *Source,
    std::uint64_t Sequence) {
  ColdTimeDoubtedAt = std::nullopt;
  ColdTimeFromCheck = ColdFor.has_value();
  Admission.setTarget(State.Own.Target, ColdFor, ServedBefore);
  logColdTime(Source, ColdFor, Sequence);
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
    ColdTimeFromCheck = false;
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
  auto Checked = std::exchange(ColdTimeFromCheck, false)
                     ? Admission.coldTimeLeft()
                     : std::nullopt;
  return std::max(Heartbeat.ColdFor, Checked.value_or(micros(0)));
}

void sidecar::implementation::handleTargetLeaving() {
  if (markLeaving(Watch, State.Own.Target.Id)) {
    publishTarget();
    Admission.setTarget(State.Own.Target, std::nullopt);
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
  if (needsVerification(Watch, Heartbeat)) {
    Watch.Unverified = Heartbeat;
    return verifyHeartbeat(Heartbeat);
  }
  auto ServedBefore = mayHaveServed(Watch, Heartbeat);
  if (!acceptHeartbeat(Watch, Heartbeat)) {
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
    return;
  }
  auto ColdFor = updateColdTime(Heartbeat, ServedBefore);
  publishTarget();
  Admission.setTarget(State.Own.Target, ColdFor, ServedBefore);
  logColdTime("heartbeat", Heartbeat.ColdFor, Heartbeat.Sequence);
  if (!ColdFor) {
    askColdTime(ServedBefore);
  }
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

void sidecar::implementation::probeTarget(
    const std::function<void(const http::response &)> &OnResponse) {
  const auto *Rule = State.Routes
                         ? State.Routes->findService(State.Settings.Service)
                         : nullptr;
  if (Rule == nullptr) {
    return;
  }
  auto Options = http::client_options();
  Options.MaxBodyBytes = MaxHealthBytes;
  Options.SameHost = true;
  auto Probe = http::client_connection::open(Loop, State.Settings.TargetAddress,
                                             Options);
  auto Timer = Loop.addTimer(Loop.now() + State.Settings.HeartbeatInterval,
                             [Probe] { Probe->close(); });
  Probe->exchange(
      platform::healthRequest(Rule->HealthPath),
      [this, OnResponse, Timer](const http::exchange_result &Result) {
        Loop.cancelTimer(Timer);
        if (const auto *Response = std::get_if<http::response>(&Result)) {
          OnResponse(*Response);
        }
      });
}

/** @return how long a target stays cold, if its heartbeat has waited for this
 * health check: the heartbeat may be from before the target became cold, also
 * from an earlier start with the same id. Nothing if it isn't known. */
static auto laterColdTime(const target_heartbeat &Heartbeat,
                          const http::response &Response)
    -> std::optional<micros> {
  auto ColdFor = platform::decodeColdTime(Response);
  return ColdFor ? std::optional(std::max(*ColdFor, Heartbeat.ColdFor))
                 : std::nullopt;
}

void sidecar::implementation::verifyHeartbeat(
    const target_heartbeat &Heartbeat) {
  State.Log.write(
      log_class::State, "heartbeat.unproved",
      {{"target", Heartbeat.Target.Id.Value},
       {"born", Heartbeat.Target.StartedAtMs},
       {"sequence", static_cast<std::int64_t>(Heartbeat.Sequence)}});
  probeTarget([this, Heartbeat](const http::response &Response) {
    auto Verified = awaitsVerification(Watch, Heartbeat) &&
                    platform::isHealthy(Response, Heartbeat.Target.Id) &&
                    acceptHeartbeat(Watch, Heartbeat);
    State.Log.write(
        log_class::State, "heartbeat.checked",
        {{"target", Heartbeat.Target.Id.Value},
         {"born", Heartbeat.Target.StartedAtMs},
         {"sequence", static_cast<std::int64_t>(Heartbeat.Sequence)},
         {"status", std::int64_t{Response.Status}},
         {"verified", std::int64_t{Verified ? 1 : 0}}});
    if (Verified) {
      publishTarget();
      applyCheckedColdTime(laterColdTime(Heartbeat, Response), true,
                           "verified heartbeat", Heartbeat.Sequence);
    }
  });
}

void sidecar::implementation::probePreviousTarget() {
  auto MustProbe = PreviousTarget && State.Routes &&
                   Watch.Known.State == mesh::target_state::Absent;
  if (!MustProbe) {
    return;
  }
  auto Previous = *std::exchange(PreviousTarget, std::nullopt);
  probeTarget([this, Previous](const http::response &Response) {
    auto Resumed = platform::isHealthy(Response, Previous.Id) &&
                   resumeTarget(Watch, Previous);
    auto ColdFor = platform::decodeColdTime(Response);
    State.Log.write(log_class::State, "target.asked",
                    {{"target", Previous.Id.Value},
                     {"status", std::int64_t{Response.Status}},
                     {"cold_us", ColdFor ? ColdFor->count() : -1},
                     {"resumed", std::int64_t{Resumed ? 1 : 0}}});
    if (Resumed) {
      publishTarget();
      applyCheckedColdTime(ColdFor, true, "health check", 0);
    }
  });
}

void sidecar::implementation::handleLeave(const mesh::target_id &Id,
                                          std::string_view Body) {
  auto StartedAtMs = platform::decodeLeaveStartTime(Body);
  if (!acceptLeave(Watch, Id, StartedAtMs)) {
    State.Log.write(log_class::State, "leave.outdated",
                    {{"target", Id.Value},
                     {"born", StartedAtMs.value_or(-1)},
                     {"known", Watch.Known.Id.Value},
                     {"known_born", Watch.Known.StartedAtMs}});
    return;
  }
  publishTarget();
  Admission.setTarget(State.Own.Target, std::nullopt);
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
  handleHeartbeat(valueOf(Heartbeat));
  return platform::encodeHeartbeatAck();
}

} // namespace sycamorelb::sidecar
