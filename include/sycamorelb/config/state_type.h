/** @file state_type.h Configuration state, computed by replaying the log. */
#pragma once

#include "sycamorelb/config/declaration_type.h"

#include <deque>
#include <optional>
#include <set>

namespace sycamorelb::config {

/** Phase of a traffic move. */
enum class move_phase { Running, Done, TakenBack };

/** State of a traffic move as recorded in the log. */
struct move_state {
  move Move;                              ///< The declared move.
  move_phase Phase = move_phase::Running; ///< Current phase.
  share_ppm Share;                        ///< Traffic share of the new version.
  std::uint32_t Step = 0;                 ///< Number of steps recorded so far.
  wall_ms StartedAt;  ///< Time in the record that started it.
  std::string Reason; ///< Reason given when the move ended.
  auto operator==(const move_state &) const -> bool = default;
};

/** Whether replay accepted a mutation. */
enum class outcome_kind { Accepted, Rejected };

/** Outcome of the first record that carried a request id. */
struct request_outcome {
  request_id Id;                              ///< Id chosen by the client.
  outcome_kind Kind = outcome_kind::Accepted; ///< Whether it was accepted.
  log_offset At;                              ///< Offset of that record.
  std::string Reason;                         ///< Reason for a rejection.
  auto operator==(const request_outcome &) const -> bool = default;
};

/** Maximum number of request outcomes kept to detect duplicate requests. */
inline constexpr std::size_t MaxRequestOutcomes = 4096;

/** The configuration at a position of the log. */
struct config_state {
  declaration Declared;                ///< Current declaration.
  std::set<zone_id> ZonesOutOfService; ///< Declared zones taken out of service
                                       ///< by a zone record; only a zone record
                                       ///< puts them back.
  std::map<move_id, move_state> Moves; ///< Running and recently ended moves.
  std::deque<request_outcome> Outcomes; ///< Oldest first, bounded.
  log_offset Version;    ///< Offset of the last accepted record; 0 for none.
  log_offset DeclaredAt; ///< Offset of the last record that changed
                         ///< Declared; at most Version.
  log_offset Position;   ///< Offset of the last replayed record; 0 for none.
  std::uint64_t ChainHash = 0; ///< Hash over all replayed records.
  auto operator==(const config_state &) const -> bool = default;
};

/** A position in the log with the hash over all records up to it. */
struct chain_point {
  log_offset Position;    ///< Offset of the last record covered.
  std::uint64_t Hash = 0; ///< Chain hash at that offset.
  auto operator==(const chain_point &) const -> bool = default;
};

/** An encoded record as read from the log. */
struct raw_record {
  log_offset Offset; ///< Offset in the stream.
  std::string Bytes; ///< Encoded record.
  auto operator==(const raw_record &) const -> bool = default;
};

} // namespace sycamorelb::config
