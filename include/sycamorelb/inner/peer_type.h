/** @file peer_type.h Requests and responses of the RPC between nodes. */
#pragma once

#include "sycamorelb/config/state_type.h"
#include "sycamorelb/core/result_type.h"
#include "sycamorelb/membership/message_type.h"

#include <functional>
#include <string>
#include <vector>

namespace sycamorelb::inner {

/** Result of a request for records of the configuration log. */
enum class fetch_outcome : std::uint8_t {
  Records, ///< The records after the given position; may be none.
  TooOld,  ///< The peer no longer holds the records; fetch the state.
  Fork,    ///< The peer has another chain hash at the given position.
};

/** Response to fetchRecords. */
struct fetched_records {
  fetch_outcome Outcome = fetch_outcome::Records; ///< Result of the request.
  std::vector<config::raw_record> Records{}; ///< In log order. The server sends
                                             ///< at most 512 KiB; fetch the
                                             ///< rest with another request.
  membership::config_mark Config{};          ///< Position of the peer.
  auto operator==(const fetched_records &) const -> bool = default;
};

/** Claim on an idempotency key by one attempt of a call. */
struct claim_request {
  std::uint32_t Partition = 0; ///< Partition of the key.
  std::uint64_t KeyHash = 0;   ///< Hash of service and key.
  node_id Node{};              ///< Node that admits the attempt.
  incarnation Incarnation{};   ///< Incarnation of that node.
  std::string AttemptId{};     ///< Unique id of the attempt.
  wall_ms At{};                ///< Wall time of the claim.
  std::uint16_t Status = 0;    ///< On release: HTTP status of the completed
                               ///< call, or 0 if the call did not start.
  auto operator==(const claim_request &) const -> bool = default;
};

/** Decision on a claim. */
enum class claim_result : std::uint8_t {
  Granted, ///< The attempt may run.
  Held,    ///< Another attempt holds the key.
  Refused, ///< No decision possible; the attempt must not run.
};

/** Decision on one claim of a batch, with its details. */
struct claim_verdict {
  claim_result Result = claim_result::Refused; ///< Decision.
  node_id HeldByNode{};            ///< Node of the holder; only if Held.
  incarnation HeldByIncarnation{}; ///< Its incarnation; only if Held.
  std::string HeldByAttempt{};     ///< Its attempt; only if Held.
  std::uint16_t HeldStatus = 0;    ///< HTTP status of its call; 0 if unknown.
  std::string Reason{};            ///< Cause; only if Refused.
  auto operator==(const claim_verdict &) const -> bool = default;
};

/** Largest number of claims in one batch. */
inline constexpr std::size_t MaxClaimBatch = 1024;

/**
 * Handlers for the requests of other nodes. FetchRecords, ExchangeMembers and
 * Evidence run on the event-loop thread and must return within about a
 * millisecond; the others run on a small thread pool. Requests without a
 * handler fail. Handlers must not throw.
 */
struct peer_handlers {
  std::function<fetched_records(const membership::config_mark &)> FetchRecords;
  /** Returns the encoded state. The server limits concurrent transfers itself;
   * see rpc_server_options. */
  std::function<result<std::string>()> FetchState;
  std::function<membership::member_exchange(membership::member_exchange)>
      ExchangeMembers{};
  /** Returns one verdict per claim, in the same order. */
  std::function<std::vector<claim_verdict>(std::vector<claim_request>)> Claim;
  std::function<void(claim_request)> ReleaseClaim;
  std::function<void(node_id From, std::string Bytes)> Evidence;
};

} // namespace sycamorelb::inner
