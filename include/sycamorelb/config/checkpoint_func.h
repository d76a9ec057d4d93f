/** @file checkpoint_func.h Encoding of states for peers and as checkpoints in
 * the log. */
#pragma once

#include "sycamorelb/config/record_type.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorelb::config {

/** Maximum size of one encoded checkpoint part. */
inline constexpr std::size_t MaxPartBytes = 65536;

/** @return the encoded state with a hash over it, for transfer between peers.
 */
auto encodeState(const config_state &State) -> std::string;

/** @return the state, or a Corrupt error. References are not checked. */
auto decodeState(std::string_view Bytes) -> result<config_state>;

/**
 * Encodes a checkpoint as records for the log.
 * @param Id unique per checkpoint, so that readers can tell the parts of
 * different checkpoints apart.
 * @param At wall-clock time of the writer.
 * @param DataBytes bytes of the state per part; encoded in base64, the default
 * leaves some 1,300 bytes of MaxPartBytes for the other members.
 * @return encoded records of at most MaxPartBytes each, to be appended in
 * order.
 */
auto encodeCheckpoint(const config_state &State, const std::string &Id,
                      wall_ms At, std::size_t DataBytes = 48128)
    -> std::vector<std::string>;

/** Reassembles checkpoints from records in log order. Parts of different
 * checkpoints may be interleaved, repeated or missing. */
struct checkpoint_assembly {
  /** A checkpoint with missing parts. */
  struct pending_checkpoint {
    checkpoint_part FirstPart; ///< First part read from the log.
    std::map<std::uint32_t, std::string> Parts; ///< Data by part index.
  };
  std::deque<pending_checkpoint> Pending; ///< Oldest first, bounded.
};

/** Maximum number of incomplete checkpoints kept. Checkpoints whose writer
 * failed midway are dropped when newer ones follow. */
inline constexpr std::size_t MaxPendingCheckpoints = 16;

/**
 * Adds a record to an assembly; records other than checkpoint parts are
 * skipped.
 * @return the state if this record completes a checkpoint with a matching hash
 * and position and a valid state.
 */
auto addCheckpointPart(checkpoint_assembly &Assembly, const raw_record &Record)
    -> std::optional<config_state>;

/**
 * Finds the newest complete checkpoint.
 * @param Records records in log order; records other than checkpoint parts are
 * skipped.
 * @return the valid state with the greatest position, or nothing.
 */
auto newestCheckpoint(const std::vector<raw_record> &Records)
    -> std::optional<config_state>;

/**
 * Restores the state from the retained part of the log. Checkpoints are
 * validated by the chain hash that they lead to at the end of the log. When the
 * log begins at offset 1, that hash must equal the one of a full replay;
 * otherwise the hash shared by most checkpoints is trusted.
 * @param Records contiguous records from the oldest retained one.
 * @return the state after the last record, or a NotFound error when the log
 * does not begin at offset 1 and has no checkpoint that the retained records
 * continue from.
 */
auto restoreFromLog(const std::vector<raw_record> &Records)
    -> result<config_state>;

} // namespace sycamorelb::config
