/** @file message_type.h Gossip messages, and the effects of handling one. */
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

/** What one node tells another about a member. */
struct member_update {
  member Member{};   ///< Record of the member.
  millis DeadFor{0}; ///< Time since its death; 0 unless it is dead.
  auto operator==(const member_update &) const -> bool = default;
};

/** Order to send no traffic to the new version of a move. */
struct brake_notice {
  move_id Move{};       ///< Move that is stopped.
  service_id Service{}; ///< Its service.
  version_id Version{}; ///< Version that receives no more calls.
  wall_ms IssuedAt{};   ///< When the alarm was seen.
  std::string Reason{}; ///< Alarm, for people.
  auto operator==(const brake_notice &) const -> bool = default;
};

/** Kind of a gossip message. */
enum class message_kind : std::uint8_t {
  Ping,        ///< Asks for an Ack.
  Ack,         ///< Answers a Ping, or reports the success of a PingRequest.
  PingRequest, ///< Asks the receiver to ping Target on behalf of the sender.
  Gossip,      ///< Carries updates only.
};

/** A gossip message; it fits into one datagram. */
struct message {
  message_kind Kind = message_kind::Gossip; ///< Kind.
  std::uint64_t Sequence = 0;    ///< Matches an Ack to its Ping or PingRequest.
  node_id From{};                ///< Sender.
  incarnation FromIncarnation{}; ///< Generation of the sender.
  node_id Target{};              ///< Member to ping; PingRequest only.
  std::string TargetAddress{};   ///< Its inner address; PingRequest only.
  config_mark Config{};          ///< Log position of the sender.
  std::vector<member_update> Updates{}; ///< Piggybacked member records.
  std::vector<brake_notice> Brakes{};   ///< Piggybacked brakes.
  auto operator==(const message &) const -> bool = default;
};

/** A message and the address to send it to. */
struct outgoing {
  std::string Address{}; ///< Inner address, "ip:port".
  message Message{};     ///< What to send.
};

/** A member whose record changed. */
struct member_change {
  node_id Id{};                             ///< Member.
  std::optional<member_state> Before{};     ///< Earlier state; empty when new.
  member_state After = member_state::Alive; ///< State now.
  bool NewIncarnation = false;              ///< Whether the process is new.
};

/** A peer to compare member tables with, by RPC. */
struct exchange_target {
  node_id Id{};          ///< Member; empty for a seed that is not known yet.
  std::string Address{}; ///< Its inner address.
};

/** What the caller has to do after a membership function returned. */
struct effects {
  std::vector<outgoing> Messages{};         ///< Datagrams to send.
  std::vector<exchange_target> Exchanges{}; ///< Exchanges to start.
  std::vector<member_change> Changes{};     ///< Changed members.
  std::vector<brake_notice> NewBrakes{};    ///< Brakes not seen before.
};

/** Number of digest buckets; a difference costs the transfer of one bucket,
 * about 14 records at 880 members. */
inline constexpr std::size_t DigestBuckets = 64;

/** Half of a full exchange. The first request carries only Digest; the answer
 * carries the records of the buckets that differ; a second request carries the
 * records for which the first sender is ahead. */
struct member_exchange {
  std::optional<std::array<std::uint64_t, DigestBuckets>> Digest{}; ///< Hashes.
  std::vector<member_update> Updates{}; ///< Records of the sender.
  auto operator==(const member_exchange &) const -> bool = default;
};

} // namespace sycamorelb::membership
