/** @file replay_func.h Replay of log records into the configuration state.
 *
 * Replay is deterministic and accepts any input: equal states and records give
 * equal results on every node, and invalid records have no partial effect.
 *
 * Rules for conflicts between declarations and operational records:
 * - A zone taken out of service by a zone record stays out, whatever a later
 *   declaration says, until a zone record puts it back. A declaration can
 *   take a zone out with "in_service": false; a zone record can also put that
 *   zone back.
 * - A declared move starts when a declaration first lists its id. If a
 *   declaration lists a completed move whose old version is the declared active
 *   version, the new version stays active, so that applying an unchanged file
 *   again does not undo the move.
 * - The active version of a service cannot change while one of its moves is
 *   running.
 */
#pragma once

#include "sycamorelb/config/record_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace sycamorelb::config {

/** Effect of a record. */
enum class replay_kind {
  Accepted,   ///< The state changed.
  Rejected,   ///< Invalid or refused; only position, hash and outcomes change.
  Duplicate,  ///< The request id is already known; skipped.
  Checkpoint, ///< Part of a checkpoint; only position and hash change.
  Ignored,    ///< Not the record after the position; nothing changes.
};

/** Outcome of replaying a record. */
struct replay_outcome {
  replay_kind Kind = replay_kind::Rejected; ///< Effect of the record.
  request_outcome Outcome; ///< Outcome of the request; for a duplicate, that of
                           ///< the first record. The id is empty if unknown.
  auto operator==(const replay_outcome &) const -> bool = default;
};

/** State and outcome after a record. */
struct replay_result {
  config_state Next;      ///< State after the record.
  replay_outcome Outcome; ///< Outcome of the record.
};

/**
 * Replays a record.
 * @param State state before the record.
 * @param Offset offset of the record; the state is returned unchanged unless
 * this is its position plus one.
 * @param Bytes the record as stored in the log.
 */
auto replay(const config_state &State, log_offset Offset,
            std::string_view Bytes) -> replay_result;

/** Same as replay, but modifies the state in place. */
auto replayInto(config_state &State, log_offset Offset, std::string_view Bytes)
    -> replay_outcome;

/** @return the chain hash after a record. */
auto chainHash(std::uint64_t Before, log_offset Offset, std::string_view Bytes)
    -> std::uint64_t;

/** @return the outcome of an earlier request if it is still kept. */
auto findOutcome(const config_state &State, const request_id &Request)
    -> std::optional<request_outcome>;

/**
 * Computes the state after a declaration is accepted, for example to preview a
 * change.
 * @return the state with new Declared, ZonesOutOfService and Moves (versions
 * and position are unchanged), or a Conflict or InvalidArgument error.
 */
auto withDeclaration(const config_state &State, const declaration &Target,
                     wall_ms At) -> result<config_state>;

/** @return the first unresolved reference or inconsistency of a state, or
 * nothing if the state is valid. */
auto checkState(const config_state &State) -> std::optional<std::string>;

/** @return the running move of a service, or null. */
auto runningMove(const config_state &State, const service_id &Service)
    -> const move_state *;

} // namespace sycamorelb::config
