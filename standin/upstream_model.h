/** @file upstream_model.h Model of a simulated upstream host, without I/O. */
#pragma once

#include "sycamorelb/core/unit_type.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace sycamorelb::standin {

/** Settings that POST /control changes. Each comment starts with the JSON key
 * of its setting. */
struct upstream_behaviour {
  double ServiceMs = 5;           ///< service_ms: service time on a warm host.
  std::uint32_t Slots = 10;       ///< slots: calls executed at once.
  std::uint32_t MaxWaiting = 100; ///< max_waiting: limit on calls that wait for
                                  ///< a slot; more are shed as not run.
  double FailRatio = 0;           ///< fail_ratio: share of calls that fail.
  int FailStatus = 500;           ///< fail_status: status of a failed call.
  double SlowFactor = 1;          ///< slow_factor: multiplies the service time.
  std::int64_t FaultAfterMs = 0;  ///< fault_after_ms: delay of the faults.
  std::uint32_t FaultAtLoad = 0;  ///< fault_at_load: minimum of calls in
                                  ///< progress for the faults to occur.
  std::string FaultRoute;         ///< fault_route: path prefix with the faults.
  std::uint32_t ColdSlots = 1;    ///< cold_slots: call capacity of a cold host.
  double ColdFactor = 20;       ///< cold_factor: slowdown above that capacity.
  std::uint32_t WarmCalls = 50; ///< warm_calls: calls until it is warm.
  std::int64_t WarmMs = 30000;  ///< warm_ms: time until it is warm; 0 starts it
                                ///< warm.
  std::int64_t ReportLagMs = 0; ///< report_lag_ms: age of /load and /health.
  bool ReportMislead = false; ///< report_mislead: /load shows an idle host and
                              ///< /health a healthy one.
  std::uint32_t AnswerChunks = 0; ///< answer_chunks: number of chunks of the
                                  ///< answer; 0 for Content-Length instead.
  double ChunkPauseMs = 0;        ///< chunk_pause_ms: pause between chunks.
  bool TruncateAnswer = false;    ///< truncate_answer: closes the connection in
                                  ///< the middle of the answer.
};

/** Applies a change from JSON; changes nothing if it has an unknown key or a
 * value of the wrong type. @return an error text, empty on success. */
auto changeBehaviour(upstream_behaviour &Behaviour,
                     const nlohmann::json &Change) -> std::string;

/** State of the simulated host. */
struct upstream_state {
  double Warmth = 0;                ///< From 0, cold, to 1, warm.
  steady_time WarmthUpdatedAt{};    ///< Time of the last update of Warmth.
  steady_time BehaviourChangedAt{}; ///< Time of the last change of behaviour.
  double FailureCredit = 0;   ///< Accumulated fail_ratio; a call fails at 1.
  std::uint32_t InFlight = 0; ///< Calls in progress, including waiting ones.
};

/** Simulated execution of a call. */
struct call_plan {
  enum class kind : std::uint8_t { Run, Fail, Shed };
  kind Kind = kind::Run; ///< Run, fail after the run, or refuse at once.
  micros Duration{0};    ///< Duration of the run.
};

/** Plans a call that starts now; State.InFlight already includes it. */
auto planCall(const upstream_behaviour &Behaviour, upstream_state &State,
              std::string_view Path, steady_time Now) -> call_plan;

/** Warms up the host by a completed call and by the time since the last update.
 */
void onCallCompleted(const upstream_behaviour &Behaviour, upstream_state &State,
                     steady_time Now);

} // namespace sycamorelb::standin
