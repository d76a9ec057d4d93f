/** @file state_type.h Configuration state: the fold of all log records. */
#pragma once

#include "sycamorelb/config/declaration_type.h"

#include <deque>
#include <optional>
#include <set>

namespace sycamorelb::config {

/** Progress of a traffic move. */
enum class move_phase { Running, Done, TakenBack };

/** State of a traffic move as recorded in the log. */
struct move_state {
  move Move;                              ///< What was declared.
  move_phase Phase = move_phase::Running; ///< Current phase.
  share_ppm Share;                        ///< Share of the new version.
  std::uint32_t Step = 0;                 ///< Number of recorded steps.
  wall_ms StartedAt;                      ///< From the starting record.
  std::string Reason;                     ///< Why it was taken back.
  auto operator==(const move_state &) const -> bool = default;
};

/** Fate of a mutation, decided by replay. */
enum class outcome_kind { Accepted, Rejected };

/** Outcome of the first record that carried a request id. */
struct request_outcome {
  request_id Id;                              ///< Id chosen by the client.
  outcome_kind Kind = outcome_kind::Accepted; ///< Fate.
  log_offset At;                              ///< Offset of that record.
  std::string Reason;                         ///< Why it was rejected.
  auto operator==(const request_outcome &) const -> bool = default;
};

/** Largest number of request outcomes kept for repeats. */
inline constexpr std::size_t MaxRequestOutcomes = 4096;

/** The configuration at one position of the log. */
struct config_state {
  declaration Declared;       ///< Current declaration.
  std::set<zone_id> ZonesOut; ///< Declared zones taken out by a zone record;
                              ///< only a zone record brings them back.
  std::map<move_id, move_state> Moves;  ///< Running and recently ended moves.
  std::deque<request_outcome> Outcomes; ///< Oldest first, bounded.
  log_offset Version;    ///< Offset of the last accepted record; 0 for none.
  log_offset DeclaredAt; ///< Offset of the last record that changed
                         ///< Declared; at most Version.
  log_offset Position;   ///< Offset of the last record replayed; 0 for none.
  std::uint64_t ChainHash = 0; ///< Hash over all records replayed.
  auto operator==(const config_state &) const -> bool = default;
};

/** A position in the log with the hash over all records up to it. */
struct chain_point {
  log_offset Position;    ///< Offset of the last record covered.
  std::uint64_t Hash = 0; ///< Chain hash at that offset.
  auto operator==(const chain_point &) const -> bool = default;
};

/** One record as read from the log. */
struct raw_record {
  log_offset Offset; ///< Offset in the stream.
  std::string Bytes; ///< Encoded record.
  auto operator==(const raw_record &) const -> bool = default;
};

} // namespace sycamorelb::config
