/** @file target_watch.h Decides which start of the local target gets calls,
 * from its heartbeats, its leaves and health checks.
 *
 * A start is named by the id and the start time of the target. Messages arrive
 * late, repeated and in any order, and the time of day may be set back between
 * two starts, so start times don't prove which start is the later one. A
 * heartbeat may be from before a leave, and the answer to a health check may be
 * false. So both are needed, from after the time in which this process may have
 * missed a leave; or two heartbeats that tell that the start still runs when
 * late ones can't arrive any more. See docs/design/target-starts.md. */
#pragma once

#include "sycamorelb/sidecar/heartbeat_type.h"

#include <optional>
#include <vector>

namespace sycamorelb::sidecar {

/** Names starts that have ended or announced that they will. */
struct ended_start {
  mesh::target_id Id; ///< Name of the target.
  /** Start time in Unix ms; nothing if the leave didn't tell which start of the
   * target it is about. */
  std::optional<std::int64_t> StartedAtMs;
  auto operator==(const ended_start &) const -> bool = default;
};

/** What this process knows of the local target. */
struct target_watch {
  mesh::target_record Known;  ///< Gets calls if it is ready and not lost.
  std::uint64_t Sequence = 0; ///< Sequence of its last accepted heartbeat.
  bool IsLost = false;        ///< Calls don't reach it; a heartbeat ends this.
  /** This process may lack leaves: an earlier one has acknowledged them, or
   * they were dropped from Ended. */
  bool MayLackLeaves = true;
  std::vector<ended_start> Ended; ///< Oldest first.
  /** Latest heartbeat of each start that waits for a second witness, in the
   * order of their arrival. */
  std::vector<target_heartbeat> Unverified;
  /** Heartbeats that arrive from then on were sent after all leaves that this
   * process may lack or can't attribute to a start; none before applyStart().
   */
  steady_time FreshFrom = steady_time::max();
  /** Longest delay of a heartbeat. */
  micros MaxLateness{0};
  /** Increases whenever health checks in progress become worthless. */
  std::uint64_t Changes = 0;
};

/** What became of a heartbeat. */
enum class heartbeat_effect : std::uint8_t {
  Accepted,   ///< It is the latest one of the known start.
  Unverified, ///< Its start is used only after a second witness.
  Outdated,   ///< It changes nothing.
  Leaving,    ///< Its start is leaving.
};

/** What became of a leave, or of a heartbeat that says that its start leaves.
 */
enum class leave_effect : std::uint8_t {
  KnownStart, ///< The known start gets no more calls.
  /** It is about the known target, but not its known start. Nothing is sent
   * there until a health check tells that the target isn't leaving. */
  OtherStart,
  OtherTarget, ///< Another target; the leave is remembered.
};

/** Health check of the target. */
struct target_check {
  std::uint64_t Changes = 0; ///< target_watch::Changes when it was sent.
};

/** Start that a health check has proved. */
struct verified_start {
  target_heartbeat Heartbeat; ///< The heartbeat that waited for the check.
  /** A previous process of this node may have sent calls to it. */
  bool MayHaveServed = false;
};

/** Applies that this process has started, and may lack leaves until now. */
void applyStart(target_watch &Watch, steady_time Now);

/** @return whether a start waits that a health check can prove. */
auto awaitsCheck(const target_watch &Watch) -> bool;

/** @return whether a previous process of this node may have sent calls to the
 * target: this process knows no target yet, and this isn't the target's first
 * heartbeat. */
auto mayHaveServed(const target_watch &Watch, const target_heartbeat &Heartbeat)
    -> bool;

/** @return whether a heartbeat that was not accepted may come from the target
 * at the address: it has the id of the known one, but an earlier start time. It
 * is late, or the time of day was set back before the target started again. */
auto mayBeOtherStart(const target_watch &Watch,
                     const target_heartbeat &Heartbeat) -> bool;

/** Applies a heartbeat. */
auto applyHeartbeat(target_watch &Watch, const target_heartbeat &Heartbeat)
    -> heartbeat_effect;

/** Applies a leave.
 * @param StartedAtMs start time of the leaving target, if it was sent. */
auto applyLeave(target_watch &Watch, const mesh::target_id &Id,
                std::optional<std::int64_t> StartedAtMs, steady_time Now)
    -> leave_effect;

/** Applies that the known target said in an answer that it leaves.
 * @return whether it was ready before. */
auto markLeaving(target_watch &Watch, const mesh::target_id &Id,
                 steady_time Now) -> bool;

/** Applies that calls don't reach the known target. */
void markLost(target_watch &Watch);

/** Applies what other nodes or the store know of the target of a previous
 * process. That it was ready proves nothing. */
void applyPreviousTarget(target_watch &Watch,
                         const mesh::target_record &Previous);

/** @return a health check that is about to be sent. */
auto beginCheck(const target_watch &Watch) -> target_check;

/** @return whether the answer to the health check proves nothing any more. */
auto isSuperseded(const target_watch &Watch, const target_check &Check) -> bool;

/** Applies an answer to a health check that says that the target is healthy. It
 * proves a start whose heartbeat waits; if a known leave may have been about
 * that start, only if the heartbeat can't be late. An answer that says
 * otherwise changes nothing: the target may be full.
 * @param Id target that has answered.
 * @return the start that is now the known one, or nothing if none of that
 * target waits. */
auto applyHealthyAnswer(target_watch &Watch, const target_check &Check,
                        const mesh::target_id &Id)
    -> std::optional<verified_start>;

} // namespace sycamorelb::sidecar
