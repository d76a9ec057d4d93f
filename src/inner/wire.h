/** @file wire.h Conversion between plain structs and Cap'n Proto messages.
 *
 * The read functions return false when a field is invalid or exceeds a limit.
 * They throw kj::Exception on malformed messages, which the callers handle.
 */
#pragma once

#include "inner.capnp.h"
#include "sycamorelb/inner/datagram_type.h"
#include "sycamorelb/inner/peer_type.h"

namespace sycamorelb::inner {

/** Payload bytes of the records in one response at most, unless the first
 * record alone is larger. Receivers accept twice as much. */
inline constexpr std::size_t MaxRecordsBytes = 512U << 10U;
/** Records in one response at most; as many as peers keep. */
inline constexpr std::size_t MaxRecords = 1024;
/** Member records in one exchange at most. */
inline constexpr std::size_t MaxExchangeUpdates = 4096;
/** Longest id of an attempt. */
inline constexpr std::size_t MaxAttemptBytes = 128;
/** Largest encoded evidence in one request; a datagram carries less. */
inline constexpr std::size_t MaxEvidenceBytes = 64U << 10U;

using record_list = std::vector<config::raw_record>;
using update_list = std::vector<membership::member_update>;

void writeUpdate(wire::MemberUpdate::Builder Out,
                 const membership::member_update &Update);
auto readUpdate(wire::MemberUpdate::Reader In,
                membership::member_update &Update) -> bool;

void writeRecords(capnp::List<wire::Record>::Builder Out,
                  const record_list &Records);
auto readRecords(capnp::List<wire::Record>::Reader In, record_list &Records)
    -> bool;

void writeMark(wire::ConfigMark::Builder Out,
               const membership::config_mark &Mark);
auto readMark(wire::ConfigMark::Reader In) -> membership::config_mark;

void writeExchange(wire::Exchange::Builder Out,
                   const membership::member_exchange &Exchange);
auto readExchange(wire::Exchange::Reader In,
                  membership::member_exchange &Exchange) -> bool;

void writeClaim(wire::ClaimRequest::Builder Out, const claim_request &Claim);
auto readClaim(wire::ClaimRequest::Reader In, claim_request &Claim) -> bool;

void writeVerdict(wire::ClaimVerdict::Builder Out,
                  const claim_verdict &Verdict);
auto readVerdict(wire::ClaimVerdict::Reader In, claim_verdict &Verdict) -> bool;

/** Copies a text.
 * @return false when it exceeds Limit bytes. */
auto readText(capnp::Text::Reader In, std::size_t Limit, std::string &Out)
    -> bool;

/** @return a view of Bytes as Cap'n Proto data. */
inline auto asData(std::string_view Bytes) -> capnp::Data::Reader {
  return {reinterpret_cast<const kj::byte *>(Bytes.data()), Bytes.size()};
}

/** @return a view of Cap'n Proto data. */
inline auto asBytes(capnp::Data::Reader Data) -> std::string_view {
  return {reinterpret_cast<const char *>(Data.begin()), Data.size()};
}

/** @return a view of Text as Cap'n Proto text. */
inline auto asText(const std::string &Text) -> capnp::Text::Reader {
  return {Text.c_str(), Text.size()};
}

} // namespace sycamorelb::inner
