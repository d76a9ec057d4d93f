/** @file publisher.cpp Appends mutations to the log and finds their outcome. */
#include "node/publisher.h"

#include "sycamorelb/config/replay_func.h"
#include "sycamorelb/telemetry/log_func.h"

#include <algorithm>
#include <thread>

namespace sycamorelb::node {

using telemetry::metric;

/** Period at which the log is read while waiting for an outcome. */
static constexpr auto DecisionPollPeriod = millis(20);
/** Maximum number of undecided request ids; the oldest are dropped first. */
static constexpr auto MaxUndecided = std::size_t{1024};

publisher::publisher(node_context &NodeContext, config_loop &ConfigLoop)
    : Context(NodeContext), Config(ConfigLoop) {}

auto publisher::findDecision(const request_id &Request) const
    -> std::optional<publish_result> {
  auto Snapshot = Context.Store.current();
  auto Outcome = config::findOutcome(Snapshot->State, Request);
  if (!Outcome) {
    return std::nullopt;
  }
  auto Kind = Outcome->Kind == config::outcome_kind::Accepted
                  ? publish_kind::Accepted
                  : publish_kind::Rejected;
  return publish_result{Kind, Outcome->At, Outcome->Reason};
}

auto publisher::awaitDecision(const request_id &Request, steady_time Deadline)
    -> std::optional<publish_result> {
  while (!Context.Stopping) {
    Config.readLog(millis(0));
    auto Result = findDecision(Request);
    if (Result || steadyNow() + DecisionPollPeriod >= Deadline) {
      return Result;
    }
    std::this_thread::sleep_for(DecisionPollPeriod);
  }
  return std::nullopt;
}

void publisher::recordUndecided(const request_id &Request) {
  auto Lock = std::lock_guard(Mutex);
  if (std::find(Undecided.begin(), Undecided.end(), Request) !=
      Undecided.end()) {
    return;
  }
  Undecided.push_back(Request);
  if (Undecided.size() > MaxUndecided) {
    Undecided.pop_front();
  }
}

auto publisher::isUndecided(const request_id &Request) -> bool {
  auto Lock = std::lock_guard(Mutex);
  return std::find(Undecided.begin(), Undecided.end(), Request) !=
         Undecided.end();
}

auto publisher::publish(const config::record &Record, millis Timeout)
    -> publish_result {
  auto Result = publishOnce(Record, Timeout);
  if (Result.Kind == publish_kind::Unknown) {
    recordUndecided(Record.Request);
  } else if (Result.Kind == publish_kind::NotAccepted &&
             isUndecided(Record.Request)) {
    Result.Kind = publish_kind::Unknown;
    Result.Reason += "; an earlier append of this request may take effect";
  }
  return Result;
}

auto publisher::publishOnce(const config::record &Record, millis Timeout)
    -> publish_result {
  if (auto Known = findDecision(Record.Request)) {
    return *Known;
  }
  auto Deadline = steadyNow() + Timeout;
  auto Appended = Context.Log.append(ConfigStream, config::encodeRecord(Record),
                                     Context.Settings.Log.AppendTimeout);
  if (const auto *Refused = std::get_if<platform::append_refused>(&Appended)) {
    Context.Metrics.increment(metric::LogAppends, {{"result", "refused"}});
    return {publish_kind::NotAccepted, {}, describe(Refused->Error)};
  }
  const auto *Unknown = std::get_if<platform::append_unknown>(&Appended);
  Context.Metrics.increment(
      metric::LogAppends,
      {{"result", Unknown == nullptr ? "appended" : "unknown"}});
  if (auto Result = awaitDecision(Record.Request, Deadline)) {
    return *Result;
  }
  if (Unknown != nullptr) {
    return {publish_kind::Unknown, {}, describe(Unknown->Error)};
  }
  return {publish_kind::Unknown,
          std::get<platform::append_done>(Appended).Offset,
          "the record is durable but was not read back in time"};
}

auto publisher::lookUp(const request_id &Request) -> publish_result {
  if (auto Known = findDecision(Request)) {
    return *Known;
  }
  Config.readLog(millis(0));
  return findDecision(Request).value_or(publish_result{
      publish_kind::Unknown, {}, "no outcome of this request id is known"});
}

} // namespace sycamorelb::node
