/** @file target_watch.h Tracks the state of the local target from its
 * heartbeats. */
#pragma once

#include "sycamorelb/sidecar/heartbeat_type.h"

#include <optional>

namespace sycamorelb::sidecar {

/** Known state of the local target. */
struct target_watch {
  mesh::target_record Known;  ///< Latest known start of the target.
  std::uint64_t Sequence = 0; ///< Sequence of its last accepted heartbeat.
  /** Heartbeat that awaits verification; see needsVerification(). */
  std::optional<target_heartbeat> Unverified;
};

/**
 * Checks whether a heartbeat must be verified before it is accepted. A node
 * that has just started may get a delayed heartbeat of a target that has
 * already left, if a previous process acknowledged the leave. The target counts
 * as ready only after one of its first heartbeats since its start, a second
 * heartbeat, or a successful health check.
 * @return whether the heartbeat must not be accepted yet.
 */
auto needsVerification(const target_watch &Watch,
                       const target_heartbeat &Heartbeat) -> bool;

/** @return whether this heartbeat still awaits verification. */
auto awaitsVerification(const target_watch &Watch,
                        const target_heartbeat &Heartbeat) -> bool;

/** @return whether a previous process of this node may have sent calls to the
 * target: this process knows no target yet, and this isn't the target's first
 * heartbeat. */
auto mayHaveServed(const target_watch &Watch, const target_heartbeat &Heartbeat)
    -> bool;

/** Adopts the target known to a previous process, after a successful health
 * check. Has no effect if this process already knows a target, or if the
 * previous one wasn't ready.
 * @return whether it was adopted. */
auto resumeTarget(target_watch &Watch, const mesh::target_record &Previous)
    -> bool;

/** @return whether a heartbeat that was not accepted may come from the target
 * at the address: it has the id of the known one, but an earlier start time. It
 * is late, or the time of day was set back before the target started again. */
auto mayBeOtherStart(const target_watch &Watch,
                     const target_heartbeat &Heartbeat) -> bool;

/** Accepts a heartbeat unless it is outdated: from an earlier start, older than
 * the last accepted one, or from a target that has announced its leave.
 * @return whether it was accepted. */
auto acceptHeartbeat(target_watch &Watch, const target_heartbeat &Heartbeat)
    -> bool;

/** Marks the target as gone.
 * @param StartedAtMs start time of the leaving target, if it was sent.
 * @return whether the leave applies to the known target; false if it is
 * ignored. */
auto acceptLeave(target_watch &Watch, const mesh::target_id &Id,
                 std::optional<std::int64_t> StartedAtMs) -> bool;

/** Applies that a target said in an answer that it leaves.
 * @return whether it was ready before. */
auto markLeaving(target_watch &Watch, const mesh::target_id &Id) -> bool;

/** Applies the state of the target that other nodes know from before this node
 * started: a target that was already leaving must not become ready again. */
void applyPreviousTarget(target_watch &Watch,
                         const mesh::target_record &Previous);

} // namespace sycamorelb::sidecar
