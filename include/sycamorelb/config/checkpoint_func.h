/** @file checkpoint_func.h Encodes states for peers and for the log. */
#pragma once

#include "sycamorelb/config/record_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorelb::config {

/** Largest encoded record of a checkpoint part. */
inline constexpr std::size_t MaxPartBytes = 64 * 1024;

/** @return the state with an integrity check, for transfer between peers. */
auto encodeState(const config_state &State) -> std::string;

/** @return the state, or a Corrupt error; the references are not checked. */
auto decodeState(std::string_view Bytes) -> result<config_state>;

/**
 * Encodes a checkpoint as records for the log.
 * @param Id unique for each written checkpoint: writers that share an id would
 * mix their parts.
 * @param At time at the writer.
 * @return encoded records of at most MaxPartBytes each, to be appended in
 * order.
 */
auto encodeCheckpoint(const config_state &State, const std::string &Id,
                      wall_ms At) -> std::vector<std::string>;

/**
 * Finds the newest complete checkpoint among records.
 * @param Records records in log order; other records are skipped.
 * @return the sound state with the greatest position, or nothing.
 */
auto newestCheckpoint(const std::vector<raw_record> &Records)
    -> std::optional<config_state>;

/**
 * Restores the state from the part of the log that is kept.
 * @param Records contiguous records from the oldest one kept.
 * @return the state after the last record, or a NotFound error when the log
 * does not begin at offset 1 and holds no checkpoint from which the records
 * continue.
 */
auto restoreFromLog(const std::vector<raw_record> &Records)
    -> result<config_state>;

} // namespace sycamorelb::config
