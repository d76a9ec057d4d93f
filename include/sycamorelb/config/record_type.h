/** @file record_type.h Records of the configuration log. */
#pragma once

#include "sycamorelb/config/state_type.h"
#include "sycamorelb/core/result_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace sycamorelb::config {

/** Maximum record size; longer records are rejected without parsing. */
inline constexpr std::size_t MaxRecordBytes = 1 << 20;
/** Maximum length of a request id in bytes. */
inline constexpr std::size_t MaxRequestIdBytes = 128;
/** Maximum length of a reason in bytes. */
inline constexpr std::size_t MaxReasonBytes = 512;

/** Replaces the declaration. */
struct apply_record {
  log_offset Base;   ///< Version of the state that the patch is based on.
  std::string Patch; ///< JSON Patch (RFC 6902) to the declaration at
                     ///< the base version.
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
  move Move; ///< The move, with a new id.
  auto operator==(const move_start_record &) const -> bool = default;
};

/** Changes the share of a running move. */
struct move_step_record {
  move_id Move;           ///< A running move.
  std::uint32_t Step = 0; ///< Number of the step: one more than the last one.
  share_ppm Share;        ///< New share of the new version.
  auto operator==(const move_step_record &) const -> bool = default;
};

/** Ends a running move. */
struct move_verdict_record {
  move_id Move;                        ///< A running move.
  move_phase Phase = move_phase::Done; ///< Done or TakenBack.
  std::string Reason;                  ///< Human-readable reason.
  auto operator==(const move_verdict_record &) const -> bool = default;
};

/** A part of a checkpoint. */
struct checkpoint_part {
  std::string Id;          ///< Unique id of the checkpoint.
  std::uint32_t Index = 0; ///< Number of this part, from 0.
  std::uint32_t Count = 1; ///< Number of parts.
  log_offset Position;     ///< Position of the state in the checkpoint.
  std::uint64_t Hash = 0;  ///< Hash over the complete encoded state.
  std::string Data;        ///< Bytes of this part.
  auto operator==(const checkpoint_part &) const -> bool = default;
};

/** A decoded record. */
struct record {
  request_id Request; ///< Request id of the mutation; empty for a checkpoint.
  wall_ms At;         ///< Wall-clock time of the writer; replay uses no other
                      ///< clock.
  std::variant<apply_record, zone_record, move_start_record, move_step_record,
               move_verdict_record, checkpoint_part>
      Body; ///< Content by record type.
  auto operator==(const record &) const -> bool = default;
};

/** @return the record as JSON bytes for the log. */
auto encodeRecord(const record &Record) -> std::string;

/**
 * Decodes a record from untrusted bytes.
 * @return the record, or a Corrupt error that describes the fault.
 */
auto decodeRecord(std::string_view Bytes) -> result<record>;

/** @return the request id of a record whose other members may be invalid, or
 * nothing if the id cannot be decoded. */
auto decodeRequestId(std::string_view Bytes) -> std::optional<request_id>;

/**
 * Creates the record that replaces the declaration of a state.
 * @param Current state that the change is based on; its Version becomes the
 * base.
 * @param Target the new declaration.
 * @param Request request id of the mutation.
 * @param At wall-clock time of the writer.
 */
auto makeApply(const config_state &Current, const declaration &Target,
               const request_id &Request, wall_ms At) -> record;

} // namespace sycamorelb::config
