/** @file admission.h Admits calls to the local target. */
#pragma once

#include "sidecar/node_state.h"
#include "sycamorelb/inner/mesh_message_type.h"

#include <functional>
#include <memory>
#include <optional>

namespace sycamorelb::sidecar {

/** Identifies one attempt of a call across all nodes. */
struct call_key {
  node_id Node;            ///< Node that accepted the call.
  process_id Process;      ///< Process of that node.
  inner::call_number Call; ///< Number given by that process.
  // clang-tidy reports the compiler-generated comparison code.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const call_key &) const = default;
};

/** Callbacks from admission to the rest of the node. */
struct admission_events {
  /** The target can't be reached. */
  std::function<void()> OnTargetLost;
  /** The target said in an answer that it leaves. */
  std::function<void()> OnTargetLeaving;
  /** The target's version is being rolled out and fails too often. */
  std::function<void()> OnBrake;
  /** A call of a customer starts at the target. */
  std::function<void(const customer_id &)> OnCallStarted =
      [](const customer_id &) {};
  /** A call that started at that time wasn't run by the target. */
  std::function<void(const customer_id &, steady_time)> OnCallRejected =
      [](const customer_id &, steady_time) {};
};

/**
 * Admission control of the local target. Every call to the target passes
 * through submit(), which enforces the state of the target, its concurrency
 * limit (slots), the limit that it names, its rate limit while cold,
 * evacuations of its zone and the rollout state of its version.
 */
class admission {
public:
  /** May move the response out of the outcome of a call of this node. */
  using reply_handler = std::function<void(inner::reply_message &)>;
  /** Identifies the peer connection that delivered a call; null for calls of
   * this node. */
  using source_connection = const void *;

  admission(node_state &State, admission_events Events);
  ~admission();
  admission(const admission &) = delete;
  auto operator=(const admission &) -> admission & = delete;

  /** Queues or runs a call, or refuses it at once. A call that was submitted
   * before is not run again: Reply gets the outcome of the first run. */
  void submit(const call_key &Key, inner::forward_message Call,
              reply_handler Reply, source_connection Source = nullptr);
  /** Refuses a call of another node that is not received, as there is no memory
   * for it. It is not run either if a copy of it arrives later. */
  void refuseArrival(const call_key &Key, reply_handler Reply,
                     source_connection Source);
  /** Reports the outcome of a call whose connection was lost. A call that has
   * not arrived is reported as not run, and is not run if it arrives later. If
   * the call was sent to another process of this node, the outcome is unknown,
   * as that process may have run it; if the caller's node doesn't know the
   * process, so it is if this one may have started after the call was sent. */
  void resume(const call_key &Key, const inner::resume_message &Resume,
              reply_handler Reply, source_connection Source = nullptr);
  /** Frees the memory of outcomes that are too old to be asked for. */
  void dropOldOutcomes();
  /** Cancels a call whose caller no longer waits: a queued call is dropped, a
   * running idempotent call is aborted, any other running call finishes. */
  void cancel(const call_key &Key);
  /** Handles the end of a peer connection. Its calls are cancelled after a
   * grace period, unless they are resumed on another connection. */
  void handleConnectionLost(source_connection Source);

  /** Applies a new state of the target.
   * @param ColdFor remaining time as a cold target; nothing if unknown.
   * @param ServedBefore a previous process of this node may have sent calls to
   * it within the last second. */
  void setTarget(const mesh::target_record &Target,
                 std::optional<micros> ColdFor, bool ServedBefore = false);
  /** Refuses queued calls that may no longer run, after a change of the
   * evacuated zones, rollouts or configuration. */
  void recheckQueue();
  /** Treats the target as cold until setTarget() tells the cold time.
   * @param Reason for the log. */
  void assumeCold(const char *Reason);
  /** @return how long the target counts as cold, 0 for a warm one; nothing if
   * that isn't known, so that it counts as cold. */
  auto coldTimeLeft() const -> std::optional<micros>;

  /** @return the current load of the target. */
  auto load() const -> dispatch::load_report;
  /** @return the number of running and queued calls. */
  auto pendingCalls() const -> std::size_t;
  /** @return the number of different targets so far. */
  auto targetStarts() const -> std::uint64_t;
  /** @return call statistics of the target by route, since the newest rollout
   * of its service. */
  auto evidence() const -> const rollout::version_evidence &;
  /** Resets the statistics for a new rollout. */
  void clearEvidence();

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::sidecar
