/** @file checkpoint_func.h Encodes states for peers and for the log. */
#pragma once

#include "sycamorelb/config/record_type.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorelb::config {

/** Largest encoded record of a checkpoint part. */
inline constexpr std::size_t MaxPartBytes = 65536;

/** @return the state with an integrity check, for transfer between peers. */
auto encodeState(const config_state &State) -> std::string;

/** @return the state, or a Corrupt error; the references are not checked. */
auto decodeState(std::string_view Bytes) -> result<config_state>;

/**
 * Encodes a checkpoint as records for the log.
 * @param Id unique for each written checkpoint: writers that share an id would
 * mix their parts.
 * @param At time at the writer.
 * @param DataBytes bytes of the state in one part; the default fills
 * MaxPartBytes in base64 with some 1,300 bytes left for the other members.
 * @return encoded records of at most MaxPartBytes each, to be appended in
 * order.
 */
auto encodeCheckpoint(const config_state &State, const std::string &Id,
                      wall_ms At, std::size_t DataBytes = 48128)
    -> std::vector<std::string>;

/** Collects the parts of checkpoints from records in log order. Parts of
 * different checkpoints may be interleaved, repeated or missing. */
struct checkpoint_assembly {
  /** Checkpoint of which parts are missing. */
  struct pending {
    checkpoint_part Head;                       ///< Its first seen part.
    std::map<std::uint32_t, std::string> Parts; ///< Data by index.
  };
  std::deque<pending> Pending; ///< Oldest first, bounded.
};

/** Largest number of incomplete checkpoints kept: those of writers that died
 * midway are dropped when newer ones follow. */
inline constexpr std::size_t MaxPendingCheckpoints = 16;

/**
 * Adds one record to an assembly; records of other types are skipped.
 * @return the state when this record completes a checkpoint whose hash and
 * position fit and whose state is sound.
 */
auto addPart(checkpoint_assembly &Assembly, const raw_record &Record)
    -> std::optional<config_state>;

/**
 * Finds the newest complete checkpoint among records.
 * @param Records records in log order; other records are skipped.
 * @return the sound state with the greatest position, or nothing.
 */
auto newestCheckpoint(const std::vector<raw_record> &Records)
    -> std::optional<config_state>;

/**
 * Restores the state from the part of the log that is kept. A checkpoint whose
 * chain hash contradicts the records is not used: it decides nothing when the
 * log begins at offset 1, and otherwise most checkpoints decide.
 * @param Records contiguous records from the oldest one kept.
 * @return the state after the last record, or a NotFound error when the log
 * does not begin at offset 1 and holds no checkpoint from which the records
 * continue.
 */
auto restoreFromLog(const std::vector<raw_record> &Records)
    -> result<config_state>;

} // namespace sycamorelb::config
