/** @file claim_type.h Claims of idempotency keys and their table. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"

#include <array>
#include <cstdint>
#include <cstring>
#include <deque>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace sycamorelb::claims {

/** Number of partitions, each with its own log stream. */
inline constexpr std::uint32_t Partitions = 16;
/** Claims of a partition beyond which new ones are refused. */
inline constexpr std::size_t MaxClaims = 200'000;
/** Claims at which a table stops deciding. Writers refuse at MaxClaims;
 * several writers at once can overshoot by what they have in flight. */
inline constexpr std::size_t HardMaxClaims = 250'000;
/** Time to live of a claim; the retention of the log must be longer. */
inline constexpr millis ClaimTimeToLive{3'600'000};
/** Slack by which the retention of the log must exceed the time to live, for
 * different clock rates of the log service and the writers. */
inline constexpr millis ClockMargin{300'000};
/** Largest encoded batch. */
inline constexpr std::size_t MaxBatchBytes = 65'536;
/** Longest node id in a claim. */
inline constexpr std::size_t MaxNodeBytes = 128;

/** Truncated SHA-256 of a service and an idempotency key. */
struct claim_key {
  std::array<unsigned char, 16> Bytes{}; ///< Digest.
  auto operator==(const claim_key &) const -> bool = default;
  auto operator<(const claim_key &Other) const -> bool {
    return Bytes < Other.Bytes;
  }
};

/** Who may run a call; unique for each attempt. */
struct claimant {
  node_id Node;              ///< Admission node.
  incarnation Incarnation;   ///< Generation of that node.
  std::uint64_t Attempt = 0; ///< Never reused within the incarnation.
  auto operator==(const claimant &) const -> bool = default;
};

/** Kind of a record. */
enum class claim_action : std::uint8_t {
  Claim,    ///< Asks for the key.
  Release,  ///< The holder's call certainly did not start.
  Complete, ///< The holder's call ended with Status.
};

/** One record of a batch. */
struct claim_record {
  claim_action Action = claim_action::Claim; ///< Kind.
  claim_key Key;                             ///< Key.
  claimant Who;                              ///< Claimant.
  std::uint16_t Status = 0;                  ///< HTTP status of Complete.
  auto operator==(const claim_record &) const -> bool = default;
};

/** One append to the stream of a partition. */
struct claim_batch {
  wall_ms WrittenAt;       ///< Wall clock of the writer, for people only.
  log_offset ExpiredBelow; ///< All claims at lower offsets have expired, as
                           ///< observed by the writer.
  std::vector<claim_record> Records; ///< Applied in order.
  auto operator==(const claim_batch &) const -> bool = default;
};

/** The claim in force for a key. */
struct claim_entry {
  claimant Holder;          ///< Winner.
  log_offset Last;          ///< Offset after which the entry may expire.
  std::uint16_t Status = 0; ///< Status of the completed call; 0 if unknown.
  bool Uncertain = false;   ///< The winner depends on records that the log no
                            ///< longer has; nobody may run the call.
};

/** Hash of a key, which is already uniformly distributed. */
struct claim_key_hash {
  auto operator()(const claim_key &Key) const noexcept -> std::size_t {
    auto Value = std::size_t{0};
    std::memcpy(&Value, Key.Bytes.data(), sizeof Value);
    return Value;
  }
};

/** State of a partition: the fold of its stream from Start on. */
struct claim_table {
  log_offset Start;        ///< First offset read.
  log_offset Next;         ///< Offset to read next.
  log_offset ExpiredBelow; ///< Greatest limit of expiry seen.
  bool Overflowed = false; ///< Too many claims; decides nothing any more.
  std::unordered_map<claim_key, claim_entry, claim_key_hash> Entries; ///< Held.
  std::deque<std::pair<log_offset, claim_key>> Order; ///< By offset.
};

/** The call may run, once. */
struct granted {
  auto operator==(const granted &) const -> bool = default;
};
/** Another attempt holds the key. */
struct held {
  std::uint16_t Status = 0; ///< Its status; 0 for unknown.
  auto operator==(const held &) const -> bool = default;
};
/** Not granted, and never will be; nothing runs. */
struct refused {
  std::string Reason; ///< For logs.
  auto operator==(const refused &) const -> bool = default;
};
using claim_answer = std::variant<granted, held, refused>;

/** Results of an append. */
struct appended {
  log_offset Offset; ///< Offset of the record.
};
/** The record was certainly not taken. */
struct append_refused {};
/** The record may have been taken. */
struct append_unknown {};
using append_result = std::variant<appended, append_refused, append_unknown>;

/** A record as read from the stream of a partition. */
struct stream_record {
  log_offset Offset; ///< Offset in the stream.
  std::string Bytes; ///< Encoded batch.
};

/** Records from the offset asked for; it may be empty. */
struct read_records {
  log_offset First;                   ///< Oldest offset kept.
  log_offset Next;                    ///< Offset after the last record.
  std::vector<stream_record> Records; ///< In order, without gaps.
};
/** The offset asked for is no longer kept. */
struct read_trimmed {
  log_offset First; ///< Oldest offset kept.
};
/** The log could not be read. */
struct read_failed {};
using read_result = std::variant<read_records, read_trimmed, read_failed>;

} // namespace sycamorelb::claims
