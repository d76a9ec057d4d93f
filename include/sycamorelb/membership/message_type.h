/** @file message_type.h Gossip messages, and the effects that the membership
 * functions return. */
#pragma once

#include "sycamorelb/membership/member_type.h"

#include <array>
#include <cstddef>
#include <optional>

namespace sycamorelb::membership {

/** Position of a node in the configuration log. */
struct config_mark {
  log_offset Position{};       ///< Offset after the last record replayed.
  std::uint64_t ChainHash = 0; ///< Hash over all records replayed.
  auto operator==(const config_mark &) const -> bool = default;
};

/** Record of a member as sent to other nodes. */
struct member_update {
  member Member{};   ///< Record of the member.
  millis DeadFor{0}; ///< Time since its death; 0 unless it is dead.
  auto operator==(const member_update &) const -> bool = default;
};

/** Brake: stops all traffic to the new version of a move (a gradual traffic
 * shift). */
struct brake_notice {
  move_id Move{};       ///< Move that is stopped.
  service_id Service{}; ///< Its service.
  version_id Version{}; ///< New version, which receives no more calls.
  wall_ms IssuedAt{};   ///< When the alarm was raised.
  std::string Reason{}; ///< Description of the alarm.
  auto operator==(const brake_notice &) const -> bool = default;
};

/** Kind of a gossip message. */
enum class message_kind : std::uint8_t {
  Ping,        ///< Asks for an Ack.
  Ack,         ///< Answers a Ping, or a PingRequest whose ping was answered.
  PingRequest, ///< Asks the receiver to ping Target on behalf of the sender.
  Gossip,      ///< Carries updates only.
};

/** A gossip message, bounded to one datagram. */
struct message {
  message_kind Kind = message_kind::Gossip; ///< Message kind.
  std::uint64_t Sequence = 0;    ///< Matches an Ack to its Ping or PingRequest.
  node_id From{};                ///< Sender.
  incarnation FromIncarnation{}; ///< Incarnation of the sender.
  node_id Target{};              ///< Member to ping; PingRequest only.
  std::string TargetAddress{};   ///< Its inner address; PingRequest only.
  config_mark Config{};          ///< Log position of the sender.
  std::vector<member_update> Updates{}; ///< Piggybacked member records.
  std::vector<brake_notice> Brakes{};   ///< Piggybacked brakes.
  auto operator==(const message &) const -> bool = default;
};

/** A message and the address to send it to. */
struct outgoing_message {
  std::string Address{}; ///< Inner address, "ip:port".
  message Message{};     ///< Message to send.
};

/** A member whose record changed. */
struct member_change {
  node_id Id{};                             ///< Member.
  std::optional<member_state> Before{};     ///< Previous state; empty if new.
  member_state After = member_state::Alive; ///< Current state.
  bool NewIncarnation = false;              ///< Whether its process is new.
};

/** A peer to exchange member tables with, by RPC. */
struct exchange_target {
  node_id Id{};          ///< Member; empty for a seed that is not yet a member.
  std::string Address{}; ///< Its inner address.
};

/** Actions and events that a membership function returns to its caller. */
struct effects {
  std::vector<outgoing_message> Messages{}; ///< Datagrams to send.
  std::vector<exchange_target> Exchanges{}; ///< Table exchanges to start.
  std::vector<member_change> Changes{};     ///< Members whose record changed.
  std::vector<brake_notice> NewBrakes{};    ///< Brakes not known before.
};

/** Number of digest buckets. One differing record causes the transfer of its
 * bucket, about 14 records at 880 members. */
inline constexpr std::size_t DigestBuckets = 64;

/** Request or answer of a table exchange. The first request carries only
 * Digest; the answer carries the records of the buckets that differ; a second
 * request carries the records that are newer at the first sender. */
struct member_exchange {
  /** One hash per bucket. */
  std::optional<std::array<std::uint64_t, DigestBuckets>> Digest{};
  std::vector<member_update> Updates{}; ///< Records of the sender.
  auto operator==(const member_exchange &) const -> bool = default;
};

} // namespace sycamorelb::membership
