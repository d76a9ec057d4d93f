/** @file datagram_type.h Datagrams between nodes. */
#pragma once

#include "sycamorelb/config/state_type.h"
#include "sycamorelb/core/result_type.h"
#include "sycamorelb/membership/message_type.h"

#include <variant>

namespace sycamorelb::inner {

/** Size of a datagram at most, with its authentication. */
inline constexpr std::size_t MaxDatagramBytes = 1200;

/** Tells a peer that the sender advanced in the configuration log. */
struct config_notice {
  membership::config_mark Config{};          ///< Position of the sender.
  log_offset Version{};                      ///< Last accepted record.
  membership::config_mark Base{};            ///< Position before Records.
  std::vector<config::raw_record> Records{}; ///< Newest records, if they fit.
  auto operator==(const config_notice &) const -> bool = default;
};

/** Evidence of traffic moves; the content belongs to package moves. */
struct evidence_report {
  std::string Bytes{}; ///< Encoded evidence.
  auto operator==(const evidence_report &) const -> bool = default;
};

using datagram_body =
    std::variant<membership::message, config_notice, evidence_report>;

/** A datagram with its envelope. */
struct datagram {
  node_id From{};       ///< Sender.
  wall_ms SentAt{};     ///< Wall time of the sender.
  datagram_body Body{}; ///< Content.
  auto operator==(const datagram &) const -> bool = default;
};

} // namespace sycamorelb::inner
