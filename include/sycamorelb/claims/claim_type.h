/** @file claim_type.h Claims of idempotency keys, their table and their log. */
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
/** Claims of a partition from which on writers refuse new ones. */
inline constexpr std::size_t MaxClaims = 200'000;
/** Claims beyond which a table overflows. It exceeds MaxClaims because
 * concurrent writers can pass MaxClaims by their claims in flight. */
inline constexpr std::size_t MaxTableClaims = 250'000;
/** Time to live of a claim; the retention of the log must be longer. */
inline constexpr millis ClaimTimeToLive{3'600'000};
/** Margin by which the retention of the log must exceed the time to live;
 * covers different clock rates of the log service and the writers. */
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

/** Attempt of a call that claims its key; unique. */
struct claimant {
  node_id Node;              ///< Admission node.
  incarnation Incarnation;   ///< Incarnation of that node.
  std::uint64_t Attempt = 0; ///< Never reused within the incarnation.
  auto operator==(const claimant &) const -> bool = default;
};

/** Kind of a record. */
enum class claim_action : std::uint8_t {
  Claim,    ///< Claims the key.
  Release,  ///< The call of the holder was certainly not executed.
  Complete, ///< The call of the holder ended with Status.
};

/** One record of a batch. */
struct claim_record {
  claim_action Action = claim_action::Claim; ///< Kind.
  claim_key Key;                             ///< Key.
  claimant Claimant;                         ///< Claimant.
  std::uint16_t Status = 0; ///< HTTP status if Complete, else 0.
  auto operator==(const claim_record &) const -> bool = default;
};

/** One append to the stream of a partition. */
struct claim_batch {
  wall_ms WrittenAt;       ///< Wall clock of the writer; informative only.
  log_offset ExpiredBelow; ///< The writer knows that all claims at lower
                           ///< offsets have expired.
  std::vector<claim_record> Records; ///< Applied in order.
  auto operator==(const claim_batch &) const -> bool = default;
};

/** Current claim of a key. */
struct claim_entry {
  claimant Holder;       ///< Winner.
  log_offset LastOffset; ///< The entry expires after the claim at this offset.
  std::uint16_t Status = 0; ///< Status of the completed call; 0 if unknown.
  bool Uncertain = false;   ///< The winner depends on trimmed records; no
                            ///< attempt may run the call.
};

/** Hash of a key, which is already uniformly distributed. */
struct claim_key_hash {
  auto operator()(const claim_key &Key) const noexcept -> std::size_t {
    auto Value = std::size_t{0};
    std::memcpy(&Value, Key.Bytes.data(), sizeof Value);
    return Value;
  }
};

/** State of a partition after replay of its stream from Start on. */
struct claim_table {
  log_offset Start;        ///< First offset read.
  log_offset Next;         ///< Offset to read next.
  log_offset ExpiredBelow; ///< Claims at lower offsets have expired.
  bool Overflowed = false; ///< Too many claims; all are refused from now on.
  std::unordered_map<claim_key, claim_entry, claim_key_hash>
      Entries; ///< By key.
  std::deque<std::pair<log_offset, claim_key>>
      ExpiryQueue; ///< Ascending offsets.
};

/** The attempt may run the call, once. */
struct granted {
  auto operator==(const granted &) const -> bool = default;
};
/** Another attempt holds the key. */
struct held {
  std::uint16_t Status = 0; ///< Status of the completed call; 0 if unknown.
  auto operator==(const held &) const -> bool = default;
};
/** Final refusal; the attempt must not run the call. */
struct refused {
  std::string Reason; ///< Human-readable.
  auto operator==(const refused &) const -> bool = default;
};
using claim_answer = std::variant<granted, held, refused>;

/** The record was appended. */
struct appended {
  log_offset Offset; ///< Offset of the record.
};
/** The record was certainly not appended. */
struct append_refused {};
/** The record may or may not have been appended, or may still be. */
struct append_unknown {};
using append_result = std::variant<appended, append_refused, append_unknown>;

/** A record as read from the stream of a partition. */
struct stream_record {
  log_offset Offset; ///< Offset in the stream.
  std::string Bytes; ///< Encoded batch.
};

/** Records from the requested offset on; may be empty. */
struct read_records {
  log_offset First;                   ///< Oldest offset that the log has.
  log_offset Next;                    ///< Offset after the last record.
  std::vector<stream_record> Records; ///< In order, without gaps.
};
/** The log has trimmed the requested offset. */
struct read_trimmed {
  log_offset First; ///< Oldest offset that the log has.
};
/** The log could not be read. */
struct read_failed {};
using read_result = std::variant<read_records, read_trimmed, read_failed>;

} // namespace sycamorelb::claims
