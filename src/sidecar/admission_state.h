/** @file admission_state.h State of the admission of calls. Private to its
 * sources. */
#pragma once

#include "sidecar/admission.h"
#include "sidecar/target_pool.h"
#include "sycamorelb/dispatch/call_queue.h"
#include "sycamorelb/dispatch/cold_rate.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>

namespace sycamorelb::sidecar {

/** Run time assumed before any call has ended. */
inline constexpr auto FirstRun = micros(100'000);

enum class call_stage : std::uint8_t { Queued, Running, Done };

/** A call at this node. */
struct admitted_call {
  call_key Key;
  inner::forward_message Forward;
  admission::reply_handler Reply;
  admission::origin Origin = nullptr; // Connection that Reply sends on.
  call_stage Stage = call_stage::Queued;
  std::uint64_t Serial = 0;
  steady_time ArrivedAt{};
  steady_time DeadlineAt{};
  steady_time StartedAt{};
  request_id Id; // Id of the caller's request, for the log.
  std::shared_ptr<http::client_connection> Connection;
  event::timer_id Timer{0};
  inner::reply_message Outcome;
  bool WasCold = false;
};

struct admission::implementation {
  implementation(node_state &State, std::function<void()> OnTargetLost,
                 std::function<void()> OnBrake)
      : State(State), OnTargetLost(std::move(OnTargetLost)),
        OnBrake(std::move(OnBrake)), Pool(State) {}

  node_state &State;
  std::function<void()> OnTargetLost;
  std::function<void()> OnBrake;
  target_pool Pool;
  mesh::target_record Target;
  dispatch::call_queue Queue;
  dispatch::cold_rate Rate;
  steady_time ColdUntil{};
  bool ColdKnown = false;
  std::map<call_key, std::uint64_t> Serials;
  std::unordered_map<std::uint64_t, std::shared_ptr<admitted_call>> Calls;
  std::deque<std::pair<steady_time, std::uint64_t>> Outcomes;
  std::set<call_key> Ended; // Numbers of calls whose outcome was dropped.
  std::deque<std::pair<steady_time, call_key>> EndedOrder;
  std::uint64_t NextSerial = 1;
  std::uint32_t Running = 0;
  std::uint32_t SilentCalls = 0;
  micros MeanRun = FirstRun;
  std::map<route_id, micros> RouteMeans;
  double FailureShare = 0;
  rollout::version_evidence Evidence;
  rollout::brake_window Brake;
  event::timer_id PumpTimer{0};
  steady_time PumpAt{};

  auto isCold() const -> bool {
    return !ColdKnown || ColdUntil > State.Loop.now();
  }
  auto coldRate() const -> double;
  auto pace() const -> dispatch::target_pace;
  auto obstacle(const inner::forward_message &Forward) const -> const char *;
  auto load() const -> dispatch::load_report;
  /** Gives the outcome of a known call to another connection, now or later. */
  void rejoin(admitted_call &Call, reply_handler Reply, origin Origin);
  void finish(admitted_call &Call, inner::reply_message Outcome);
  void refuse(admitted_call &Call, const char *Reason);
  void start(const std::shared_ptr<admitted_call> &Call);
  void handleResult(admitted_call &Call, http::exchange_result Result);
  void handleAnswer(admitted_call &Call, http::response Response);
  void handleFailure(admitted_call &Call,
                     const http::exchange_failure &Failure);
  void noteRun(const admitted_call &Call, bool Failed, micros Run);
  void loseTarget(const char *Reason);
  void breakOff(admitted_call &Call);
  void pump();
  void planPump(steady_time At);
  void rememberEnded(const call_key &Key);
  void dropOldOutcomes();
  auto find(const call_key &Key) -> std::shared_ptr<admitted_call>;
};

} // namespace sycamorelb::sidecar
