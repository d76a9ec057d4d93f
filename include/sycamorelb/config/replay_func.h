/** @file replay_func.h Folds log records into the configuration state.
 *
 * Replay is pure and total: equal states and records give equal results on
 * every node, and arbitrary bytes are rejected as a whole.
 *
 * Rules where a declaration meets an operational record:
 * - A zone taken out by a zone record stays out whatever a later declaration
 *   says, until a zone record brings it back in. A declaration can take a zone
 *   out with "in_service": false; that also ends with a zone record.
 * - A declared move starts when its id is first seen. When a declaration lists
 *   a completed move whose old version is the declared active version, the
 *   new version stays active, so that applying an unchanged file again does
 *   not undo the move.
 * - The active version of a service cannot change while a move of it runs.
 */
#pragma once

#include "sycamorelb/config/record_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace sycamorelb::config {

/** What became of one record. */
enum class replay_kind {
  Accepted,   ///< The state changed.
  Rejected,   ///< Skipped as a whole; only the position and hash advance.
  Duplicate,  ///< The request id was seen before; skipped.
  Checkpoint, ///< Part of a checkpoint; only the position and hash advance.
  Ignored,    ///< Does not follow the position; the state is untouched.
};

/** Outcome of one record. */
struct replay_outcome {
  replay_kind Kind = replay_kind::Rejected; ///< What became of it.
  request_outcome Outcome; ///< Outcome of the request; for a duplicate the
                           ///< first one. The id is empty when unknown.
  auto operator==(const replay_outcome &) const -> bool = default;
};

/** State and outcome after one record. */
struct replay_result {
  config_state Next;      ///< State after the record.
  replay_outcome Outcome; ///< Outcome of the record.
};

/**
 * Replays one record.
 * @param State state before the record.
 * @param Offset offset of the record; the state is returned unchanged unless
 * this is the position plus one.
 * @param Bytes the record as stored in the log.
 */
auto replay(const config_state &State, log_offset Offset,
            std::string_view Bytes) -> replay_result;

/** Replays one record in place; otherwise the same as replay. */
auto replayInto(config_state &State, log_offset Offset, std::string_view Bytes)
    -> replay_outcome;

/** @return the chain hash after a record. */
auto chainHash(std::uint64_t Before, log_offset Offset, std::string_view Bytes)
    -> std::uint64_t;

/** @return the outcome of an earlier request, if it is still kept. */
auto findOutcome(const config_state &State, const request_id &Request)
    -> std::optional<request_outcome>;

/**
 * The state as it would be after a declaration is accepted; also used to show
 * operators what a change would do.
 * @return the state with new Declared, ZonesOut and Moves (positions are
 * unchanged), or a Conflict or InvalidArgument error.
 */
auto withDeclaration(const config_state &State, const declaration &Target,
                     wall_ms At) -> result<config_state>;

/** @return what is unresolved or out of range in a state; nothing when the
 * state is sound. */
auto checkState(const config_state &State) -> std::optional<std::string>;

/** @return the running move of a service, or null. */
auto runningMove(const config_state &State, const service_id &Service)
    -> const move_state *;

} // namespace sycamorelb::config
