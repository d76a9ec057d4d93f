/** @file datagram_type.h Datagrams between nodes. */
#pragma once

#include "sycamorelb/config/state_type.h"
#include "sycamorelb/core/result_type.h"
#include "sycamorelb/membership/message_type.h"

#include <variant>

namespace sycamorelb::inner {

/** Largest datagram, with header and MAC. */
inline constexpr std::size_t MaxDatagramBytes = 1200;

/** Announces the sender's new position in the configuration log. */
struct config_notice {
  membership::config_mark Config{}; ///< Position of the sender.
  log_offset Version{};             ///< Offset of the last accepted record.
  membership::config_mark Base{};   ///< Position before Records.
  std::vector<config::raw_record> Records{}; ///< After Base; none if too large.
  auto operator==(const config_notice &) const -> bool = default;
};

/** Call statistics that decide on traffic moves. */
struct evidence_report {
  std::string Bytes{}; ///< Report as encoded by moves::encodeReport.
  auto operator==(const evidence_report &) const -> bool = default;
};

using datagram_body =
    std::variant<membership::message, config_notice, evidence_report>;

/** A datagram with its sender and send time. */
struct datagram {
  node_id From{};       ///< Sender.
  wall_ms SentAt{};     ///< Send time in the wall clock of the sender.
  datagram_body Body{}; ///< Message.
  auto operator==(const datagram &) const -> bool = default;
};

} // namespace sycamorelb::inner
