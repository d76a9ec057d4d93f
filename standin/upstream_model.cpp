/** @file upstream_model.cpp Model of a simulated upstream host. */
#include "upstream_model.h"

#include <algorithm>
#include <functional>
#include <map>

namespace sycamorelb::standin {

using setter =
    std::function<void(upstream_behaviour &, const nlohmann::json &)>;

template <class T> static auto field(T upstream_behaviour::*Member) -> setter {
  return [Member](upstream_behaviour &Behaviour, const nlohmann::json &Value) {
    Behaviour.*Member = Value.get<T>();
  };
}

static auto setters() -> const std::map<std::string, setter> & {
  using b = upstream_behaviour;
  static const auto Table = std::map<std::string, setter>{
      {"service_ms", field(&b::ServiceMs)},
      {"slots", field(&b::Slots)},
      {"max_waiting", field(&b::MaxWaiting)},
      {"fail_ratio", field(&b::FailRatio)},
      {"fail_status", field(&b::FailStatus)},
      {"slow_factor", field(&b::SlowFactor)},
      {"fault_after_ms", field(&b::FaultAfterMs)},
      {"fault_at_load", field(&b::FaultAtLoad)},
      {"fault_route", field(&b::FaultRoute)},
      {"cold_slots", field(&b::ColdSlots)},
      {"cold_factor", field(&b::ColdFactor)},
      {"warm_calls", field(&b::WarmCalls)},
      {"warm_ms", field(&b::WarmMs)},
      {"report_lag_ms", field(&b::ReportLagMs)},
      {"report_mislead", field(&b::ReportMislead)},
      {"answer_chunks", field(&b::AnswerChunks)},
      {"chunk_pause_ms", field(&b::ChunkPauseMs)},
      {"truncate_answer", field(&b::TruncateAnswer)}};
  return Table;
}

auto changeBehaviour(upstream_behaviour &Behaviour,
                     const nlohmann::json &Change) -> std::string {
  auto Changed = Behaviour;
  for (const auto &[Key, Value] : Change.items()) {
    auto Found = setters().find(Key);
    if (Found == setters().end()) {
      return "unknown key " + Key;
    }
    try {
      Found->second(Changed, Value);
    } catch (const nlohmann::json::exception &) {
      return "wrong type of " + Key;
    }
  }
  Behaviour = Changed;
  return "";
}

static void warmUpByTime(const upstream_behaviour &Behaviour,
                         upstream_state &State, steady_time Now) {
  auto Passed = Now - State.WarmthUpdatedAt;
  auto Increase = Behaviour.WarmMs <= 0
                      ? 1.0
                      : static_cast<double>(Passed.count()) /
                            (static_cast<double>(Behaviour.WarmMs) * 1000);
  State.Warmth = std::min(1.0, State.Warmth + Increase);
  State.WarmthUpdatedAt = Now;
}

static auto isFaultActive(const upstream_behaviour &Behaviour,
                          const upstream_state &State, std::string_view Path,
                          steady_time Now) -> bool {
  return Now - State.BehaviourChangedAt >= millis(Behaviour.FaultAfterMs) &&
         State.InFlight >= Behaviour.FaultAtLoad &&
         Path.starts_with(Behaviour.FaultRoute);
}

auto planCall(const upstream_behaviour &Behaviour, upstream_state &State,
              std::string_view Path, steady_time Now) -> call_plan {
  warmUpByTime(Behaviour, State, Now);
  auto Plan = call_plan();
  if (State.InFlight > Behaviour.Slots + Behaviour.MaxWaiting) {
    Plan.Kind = call_plan::kind::Shed;
    return Plan;
  }
  auto Slots = static_cast<double>(Behaviour.Slots);
  auto Cold = static_cast<double>(Behaviour.ColdSlots);
  auto Capacity = Cold + State.Warmth * std::max(0.0, Slots - Cold);
  auto DurationMs = Behaviour.ServiceMs;
  // A cold host that exceeds its capacity becomes slow for all calls.
  if (State.Warmth < 1 && static_cast<double>(State.InFlight) > Capacity) {
    DurationMs *= Behaviour.ColdFactor;
  }
  if (isFaultActive(Behaviour, State, Path, Now)) {
    DurationMs *= Behaviour.SlowFactor;
    // Failures are spread evenly instead of at random, so that runs are
    // reproducible.
    State.FailureCredit += Behaviour.FailRatio;
    if (State.FailureCredit >= 1) {
      State.FailureCredit -= 1;
      Plan.Kind = call_plan::kind::Fail;
    }
  }
  Plan.Duration = micros(static_cast<std::int64_t>(DurationMs * 1000));
  return Plan;
}

void onCallCompleted(const upstream_behaviour &Behaviour, upstream_state &State,
                     steady_time Now) {
  warmUpByTime(Behaviour, State, Now);
  State.Warmth =
      std::min(1.0, State.Warmth +
                        1.0 / std::max<std::uint32_t>(1, Behaviour.WarmCalls));
}

} // namespace sycamorelb::standin
