/** @file upstream_model.h How the upstream stand-in behaves; no sockets. */
#pragma once

#include "sycamorelb/core/unit_type.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace sycamorelb::standin {

/** Settings that POST /control changes; all are keys of the same name there. */
struct upstream_behaviour {
  double ServiceMs = 5;     ///< service_ms: time of a call on a warm host.
  std::uint32_t Slots = 10; ///< slots: calls worked on at once.
  std::uint32_t MaxWaiting = 100; ///< max_waiting: calls that wait for a slot;
                                  ///< more are shed as not run.
  double FailRatio = 0;           ///< fail_ratio: share of calls that fail.
  int FailStatus = 500;           ///< fail_status: status of a failed call.
  double SlowFactor = 1;          ///< slow_factor: multiplies the service time.
  std::int64_t FaultAfterMs = 0;  ///< fault_after_ms: delay before the faults.
  std::uint32_t FaultAtLoad = 0;  ///< fault_at_load: calls in progress from
                                  ///< which the faults occur.
  std::string FaultRoute;         ///< fault_route: path prefix with the faults.
  std::uint32_t ColdSlots = 1;    ///< cold_slots: calls a cold host can bear.
  double ColdFactor = 20;         ///< cold_factor: slowdown above that.
  std::uint32_t WarmCalls = 50;   ///< warm_calls: calls that warm it fully.
  std::int64_t WarmMs = 30000;  ///< warm_ms: time that warms it fully; 0 starts
                                ///< warm.
  std::int64_t ReportLagMs = 0; ///< report_lag_ms: age of /load and /health.
  bool ReportMislead = false; ///< report_mislead: /load shows an idle host and
                              ///< /health a healthy one.
  std::uint32_t AnswerChunks = 0; ///< answer_chunks: pieces of the answer; 0
                                  ///< for one with a length.
  double ChunkPauseMs = 0;        ///< chunk_pause_ms: pause between pieces.
  bool TruncateAnswer = false;    ///< truncate_answer: the connection breaks in
                                  ///< the middle of the answer.
};

/** @return an error text, or an empty one. Unknown keys are errors and then
 * nothing is changed. */
auto changeBehaviour(upstream_behaviour &Behaviour,
                     const nlohmann::json &Change) -> std::string;

/** State of the simulated host. */
struct upstream_state {
  double Warmth = 0;          ///< 0 is cold, 1 is warm.
  steady_time WarmthAt{};     ///< Time to which Warmth applies.
  steady_time FaultSince{};   ///< Time of the last change of behaviour.
  double FailDue = 0;         ///< Failures due; a call fails at 1.
  std::uint32_t InFlight = 0; ///< Calls in progress, waiting ones included.
};

/** What happens to one call. */
struct call_plan {
  enum class kind : std::uint8_t { Work, Fail, Shed };
  kind Kind = kind::Work; ///< Work, fail after the work, or refuse at once.
  micros Duration{0};     ///< Time of the work.
};

/** Plans a call that starts now; InFlight includes it. */
auto planCall(const upstream_behaviour &Behaviour, upstream_state &State,
              std::string_view Path, steady_time Now) -> call_plan;

/** Warms the host by a completed call and by the time that passed. */
void noteCompleted(const upstream_behaviour &Behaviour, upstream_state &State,
                   steady_time Now);

} // namespace sycamorelb::standin
