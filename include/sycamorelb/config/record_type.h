/** @file record_type.h Records of the configuration stream. */
#pragma once

#include "sycamorelb/config/state_type.h"
#include "sycamorelb/core/result_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace sycamorelb::config {

/** Largest record that replay considers; longer ones are rejected unread. */
inline constexpr std::size_t MaxRecordBytes = 1 << 20;
/** Largest length of a request id in bytes. */
inline constexpr std::size_t MaxRequestIdBytes = 128;
/** Largest length of a reason in bytes. */
inline constexpr std::size_t MaxReasonBytes = 512;

/** Replaces the declaration. */
struct apply_record {
  log_offset Base;   ///< Version of the state that the patch was made against.
  std::string Patch; ///< JSON Patch (RFC 6902) against the rendered
                     ///< declaration of the base.
  auto operator==(const apply_record &) const -> bool = default;
};

/** Takes a zone out of service or back in. */
struct zone_record {
  zone_id Zone;           ///< A declared zone.
  bool InService = false; ///< The new state.
  auto operator==(const zone_record &) const -> bool = default;
};

/** Starts a traffic move. */
struct move_start_record {
  move Move; ///< The move; its id was never used before.
  auto operator==(const move_start_record &) const -> bool = default;
};

/** Changes the share of a running move. */
struct move_step_record {
  move_id Move;           ///< A running move.
  std::uint32_t Step = 0; ///< One more than the recorded number of steps.
  share_ppm Share;        ///< New share of the new version.
  auto operator==(const move_step_record &) const -> bool = default;
};

/** Ends a running move. */
struct move_verdict_record {
  move_id Move;                        ///< A running move.
  move_phase Phase = move_phase::Done; ///< Done or TakenBack.
  std::string Reason;                  ///< Why, for people.
  auto operator==(const move_verdict_record &) const -> bool = default;
};

/** One part of a checkpoint. */
struct checkpoint_part {
  std::string Id;          ///< Unique per written checkpoint.
  std::uint32_t Index = 0; ///< Number of this part, from 0.
  std::uint32_t Count = 1; ///< Number of parts.
  log_offset Position;     ///< Position of the state in the checkpoint.
  std::uint64_t Hash = 0;  ///< Hash over the whole encoded state.
  std::string Data;        ///< Bytes of this part.
  auto operator==(const checkpoint_part &) const -> bool = default;
};

/** A decoded record. */
struct record {
  request_id Request; ///< Id of the mutation; empty for a checkpoint part.
  wall_ms At;         ///< Time at the writer; replay has no clock of its own.
  std::variant<apply_record, zone_record, move_start_record, move_step_record,
               move_verdict_record, checkpoint_part>
      Body; ///< What the record does.
  auto operator==(const record &) const -> bool = default;
};

/** @return the record as JSON bytes for the log. */
auto encodeRecord(const record &Record) -> std::string;

/**
 * Decodes arbitrary bytes.
 * @return the record, or a Corrupt error that says what is wrong.
 */
auto decodeRecord(std::string_view Bytes) -> result<record>;

/** @return the request id of a record whose remaining members may be invalid;
 * nothing when even the id cannot be read. */
auto decodeRequestId(std::string_view Bytes) -> std::optional<request_id>;

/**
 * Makes the record that turns the declaration of a state into another one.
 * @param Current state that the operator saw; its Version becomes the base.
 * @param Target the wanted declaration.
 * @param Request id of the mutation.
 * @param At time at the writer.
 */
auto makeApply(const config_state &Current, const declaration &Target,
               const request_id &Request, wall_ms At) -> record;

} // namespace sycamorelb::config
