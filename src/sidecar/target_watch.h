/** @file target_watch.h What the heartbeats of the target beside a node mean.
 */
#pragma once

#include "sycamorelb/sidecar/heartbeat_type.h"

#include <optional>

namespace sycamorelb::sidecar {

/** What is known of the target beside a node. */
struct target_watch {
  mesh::target_record Known;  ///< Newest start and its state.
  std::uint64_t Sequence = 0; ///< Greatest sequence of that start.
  /** Heartbeat that waits for a proof; see needsProof(). */
  std::optional<target_heartbeat> Unproved;
};

/**
 * A node that has just started may get a heartbeat that was held up on the way,
 * of a target whose leave an earlier process has acknowledged. Only the first
 * heartbeats of a target, a second one, or the target itself prove that it is
 * ready.
 * @return whether the heartbeat must not be taken over yet.
 */
auto needsProof(const target_watch &Watch, const target_heartbeat &Heartbeat)
    -> bool;

/** @return whether the heartbeat is of a target that an earlier process of this
 * node may have sent calls to: this one knows none, and it isn't new. */
auto mayHaveServed(const target_watch &Watch, const target_heartbeat &Heartbeat)
    -> bool;

/** Takes over a target that an earlier process knew, if this one knows none and
 * the target itself has said that it is still there and healthy.
 * @return whether it holds. */
auto resumeTarget(target_watch &Watch, const mesh::target_record &Earlier)
    -> bool;

/** Takes a heartbeat over unless it is outdated: of an earlier start, older
 * than one seen before, or of a target that has said that it leaves.
 * @return whether it holds. */
auto acceptHeartbeat(target_watch &Watch, const target_heartbeat &Heartbeat)
    -> bool;

/** Takes over that a target leaves at once.
 * @param BornAt its start, if it told.
 * @return whether it is the target that is known. */
auto acceptLeave(target_watch &Watch, const mesh::target_id &Id,
                 std::optional<std::int64_t> BornAt) -> bool;

/** Takes over what other nodes remember of the target from before this node
 * started: a target that was leaving then is not ready now. */
void rememberTarget(target_watch &Watch, const mesh::target_record &Earlier);

} // namespace sycamorelb::sidecar
