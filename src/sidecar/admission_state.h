/** @file admission_state.h Internal state of admission, for its sources only.
 */
#pragma once

#include "platform/call_header.h"
#include "sidecar/admission.h"
#include "sidecar/target_pool.h"
#include "sycamorelb/dispatch/call_queue.h"
#include "sycamorelb/dispatch/cold_rate.h"
#include "sycamorelb/dispatch/concurrency_limit.h"
#include "sycamorelb/dispatch/fair_share.h"
#include "sycamorelb/dispatch/start_limit.h"
#include "sycamorelb/dispatch/work_speed.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace sycamorelb::sidecar {

/** Mean run time assumed until the first call ends. */
inline constexpr auto InitialMeanRun = micros(100'000);

/** Calls started at a cold target within about a second, for the log. */
struct cold_call_count {
  std::int64_t Calls = 0;
  micros LoopDelay{0};  // Longest time from loop::now() to the clock's time.
  micros WriteDelay{0}; // Longest time from a start to the last byte written.
};

/** Run times of one route at the target, at full speed if it reports work
 * figures. */
struct route_run_time {
  micros Mean{0};      // Recent mean; predicts run times.
  double Baseline = 0; // Slow mean in microseconds; compares calls of a route.
};

enum class call_stage : std::uint8_t { Queued, Running, Done };

/** A call submitted to admission. */
struct admitted_call {
  call_key Key;
  inner::forward_message Forward;
  admission::reply_handler Reply;
  admission::source_connection Source = nullptr; // Connection that Reply uses.
  call_stage Stage = call_stage::Queued;
  std::uint64_t Serial = 0;   // Key in implementation::Calls.
  dispatch::call_share Share; // Classes of its customer and kind.
  steady_time ArrivedAt{};
  steady_time DeadlineAt{};
  steady_time StartedAt{};
  request_id Id; // Request id of the caller, for the log.
  std::shared_ptr<http::client_connection> Connection;
  event::timer_id Timer{0};
  inner::reply_message Outcome;
  bool WasCold = false;
  double WorkAtStart = 0;           // Work figure then; 0 if unknown.
  std::uint32_t RunningAtStart = 0; // Calls that ran then, with this one.
  std::uint64_t TargetStart = 0; // Value of TargetStarts when it was started.
};

struct admission::implementation {
  implementation(node_state &State, admission_events Events)
      : State(State), Events(std::move(Events)), Pool(State) {}

  node_state &State;
  admission_events Events;
  target_pool Pool;
  mesh::target_record Target;
  std::uint64_t TargetStarts = 0;   // Number of different targets so far.
  dispatch::named_limit NamedLimit; // Limit of Target.
  dispatch::start_limit StartLimit; // Enforces NamedLimit.
  bool IsTargetLeaving = false;     // Target said so in an answer.
  dispatch::call_queue Queue;
  dispatch::fair_share Share; // Use of Target.
  dispatch::call_rate_window Rate;
  steady_time ColdUntil{};
  bool IsColdTimeKnown = false;
  cold_call_count ColdCalls; // Since the last line "target.cold_calls".
  /** Configured limit of a cold target of this service, as other nodes told it.
   */
  std::optional<double> ToldColdCallsPerSecond;
  std::map<call_key, std::uint64_t> Serials; // Serial numbers in Calls.
  std::unordered_map<std::uint64_t, std::shared_ptr<admitted_call>> Calls;
  std::deque<std::pair<steady_time, std::uint64_t>> KeptOutcomes;
  std::size_t KeptOutcomeBytes = 0; // Size of their bodies.
  std::set<call_key> EndedKeys;     // Calls that must not run any more.
  std::deque<std::pair<steady_time, call_key>> EndedKeyTimes;
  std::uint64_t NextSerial = 1;
  std::uint32_t Running = 0;
  /** When calls that were given up should end at a target that reports work
   * figures, in order of giving up. */
  std::deque<steady_time> AbandonedUntil;
  /** Size of the last large answers, for the memory that running calls still
   * need. */
  std::size_t RecentAnswerBytes = 0;
  std::uint32_t CallsWithoutResponse = 0;
  micros MeanRun = InitialMeanRun;
  std::map<route_id, route_run_time> Routes;
  dispatch::work_speed Speed;        // Work figures of Target.
  dispatch::concurrency_limit Limit; // Learned for Target.
  double FailureShare = 0;
  rollout::version_evidence Evidence;
  rollout::brake_window Brake;
  event::timer_id QueueTimer{0};
  steady_time QueueTimerAt{};

  auto isCold() const -> bool {
    return !IsColdTimeKnown || ColdUntil > State.Loop.now();
  }
  /** @return the calls per second to a cold target; 0 for no limit. */
  auto coldRate() const -> double;
  /** @return where coldRate() comes from, for the log. */
  auto coldRateSource() const -> const char *;
  /** Counts a call that starts at a cold target. */
  void countColdCall();
  void logColdCalls();
  /** @return the earliest time at which the next call may start. */
  auto nextCallTime() const -> steady_time;
  auto capacity() const -> dispatch::target_capacity;
  /** @return the calls that may run at once: the slots, or the learned limit of
   * a target that reports work figures. */
  auto allowedCalls() const -> std::uint32_t;
  /** @return the calls that use slots: those that run, and abandoned ones that
   * would take places in the target's own queue. Some targets never answer a
   * call that they can't queue. */
  auto occupiedSlots() -> std::uint32_t;
  /** Notes that a call was given up that may still run at the target. */
  void recordAbandoned();
  /** @return a run time at full speed as it usually is at the target. */
  auto usualRun(micros RunAtFullSpeed) const -> micros;
  /** @return the momentary run time relative to the usual one. */
  auto speedFactor() const -> double;
  /** @return the mean run time of all calls at the current speed. */
  auto currentMeanRun() const -> micros;
  /** Moves the latest starts of a call to those at the current speed.
   * @return whether the target is so slow at this moment that the answer would
   * be late. */
  auto isTooSlowNow(const inner::forward_message &Forward,
                    dispatch::queued_call &Waiting) const -> bool;
  /** @return why a call may not run here, or null if it may. */
  auto refusalReason(const inner::forward_message &Forward) const -> const
      char *;
  auto load() const -> dispatch::load_report;
  /** @return whether a call can't start, since the buffers and the answers of
   * the running calls take nearly all memory. */
  auto lacksMemoryFor(const admitted_call &Call) const -> bool;
  /** Replaces the reply handler of a known call; a finished call replies at
   * once. */
  void replaceReply(admitted_call &Call, reply_handler Reply,
                    source_connection Source);
  /** Ends a call: logs, keeps and sends its outcome. */
  void finishCall(admitted_call &Call, inner::reply_message Outcome);
  /** Ends a call as not run because it would start too late, which counts
   * against the service of its customer and kind. */
  void refuseForCapacity(admitted_call &Call, const char *Reason);
  /** Ends a call as not run. */
  void refuseCall(admitted_call &Call, const char *Reason);
  void startCall(const std::shared_ptr<admitted_call> &Call);
  void handleResult(admitted_call &Call, http::exchange_result Result);
  void handleAnswer(admitted_call &Call, http::response Response);
  void handleFailure(admitted_call &Call,
                     const http::exchange_failure &Failure);
  /** @return what Target says of itself, empty if nothing special. */
  auto notice() const -> mesh::target_notice;
  /** Enforces and logs NamedLimit if it has changed. */
  void enforceLimit(const request_id &Cause);
  /** Takes over a limit that another node knows, until the target has answered
   * a call of this process. */
  void adoptLimit(const inner::forward_message &Forward,
                  const request_id &Cause);
  /** Takes over the limit of a cold target in the sender's configuration, which
   * counts as long as this node's configuration doesn't have the service. */
  void adoptColdRate(const inner::forward_message &Forward);
  /** Keeps and logs what the target says of itself in an answer to a call. */
  void recordNotice(const admitted_call &Call,
                    const platform::response_header &Header);
  void recordRun(const admitted_call &Call, bool Failed, micros RunTime);
  /** Takes over the work figure of an answer. */
  void recordWork(const admitted_call &Call,
                  const platform::response_header &Header);
  /** Updates the mean run times and the learned limit from an answer. */
  void recordRunTime(const admitted_call &Call, micros RunTime);
  /** Refuses calls until the next heartbeat of the target. */
  void markTargetLost(const char *Reason);
  /** Drops a queued call or aborts a running idempotent one. */
  void abortCall(admitted_call &Call);
  /** Starts queued calls as far as slots and the cold rate allow, and refuses
   * those that can't start in time. */
  void runQueue();
  /** Calls runQueue() at the given time, unless it is due earlier. */
  void scheduleQueueRun(steady_time At);
  void rememberEndedKey(const call_key &Key);
  void dropOldOutcomes();
  /** Keeps the outcome of a call of another node. */
  void keepOutcome(admitted_call &Call, inner::reply_message Outcome);
  /** @return whether there is memory to send an answer of that size to another
   * node; kept answers give way. */
  auto makeRoomForReply(std::size_t Bytes) -> bool;
  auto findCall(const call_key &Key) -> std::shared_ptr<admitted_call>;
  /** Answers a call that was submitted before. @return whether it was. */
  auto answerKnownCall(const call_key &Key, reply_handler &Reply,
                       source_connection Source) -> bool;
  /** Records a call that arrives now. */
  auto addCall(const call_key &Key, inner::forward_message Forward,
               reply_handler Reply, source_connection Source)
      -> std::shared_ptr<admitted_call>;
};

} // namespace sycamorelb::sidecar
