/** @file peer_type.h Requests and answers between nodes by RPC. */
#pragma once

#include "sycamorelb/config/state_type.h"
#include "sycamorelb/core/result_type.h"
#include "sycamorelb/membership/message_type.h"

#include <functional>
#include <string>
#include <vector>

namespace sycamorelb::inner {

/** How a peer answered a request for records. */
enum class fetch_outcome : std::uint8_t {
  Records, ///< The records that follow the given position; maybe none.
  TooOld,  ///< The peer no longer has them; fetch the state.
  Fork,    ///< The peer has another hash for the given position.
};

/** Answer to fetchRecords. */
struct fetched_records {
  fetch_outcome Outcome = fetch_outcome::Records; ///< Kind of answer.
  std::vector<config::raw_record>
      Records{};                    ///< In log order. The server cuts
                                    ///< the list at 512 KiB; ask again.
  membership::config_mark Config{}; ///< Position of the peer.
  auto operator==(const fetched_records &) const -> bool = default;
};

/** A claim of an attempt on an idempotency key. */
struct claim_request {
  std::uint32_t Partition = 0; ///< Partition of the key.
  std::uint64_t KeyHash = 0;   ///< Hash of service and key.
  node_id Node{};              ///< Admission node of the attempt.
  incarnation Incarnation{};   ///< Its generation.
  std::string AttemptId{};     ///< Unique id of the attempt.
  wall_ms At{};                ///< When the claim was made.
  std::uint16_t Status = 0;    ///< At the end of a claim: HTTP status of the
                               ///< completed call, or 0 for a call that did
                               ///< not start.
  auto operator==(const claim_request &) const -> bool = default;
};

/** Decision about a claim. */
enum class claim_result : std::uint8_t {
  Granted, ///< The attempt may run.
  Held,    ///< Another attempt won.
  Refused, ///< Not decided; the attempt must not run.
};

/** Verdict about one claim of a batch. */
struct claim_verdict {
  claim_result Result = claim_result::Refused; ///< Decision.
  node_id HeldByNode{};                        ///< Winner; only when held.
  incarnation HeldByIncarnation{}; ///< Its generation; only when held.
  std::string HeldByAttempt{};     ///< Its attempt; only when held.
  std::uint16_t HeldStatus = 0;    ///< HTTP status of its call; 0 if unknown.
  std::string Reason{};            ///< Reason; only when refused.
  auto operator==(const claim_verdict &) const -> bool = default;
};

/** Largest number of claims in one batch. */
inline constexpr std::size_t MaxClaimBatch = 1024;

/**
 * What a node does for its peers. FetchRecords, ExchangeMembers and Evidence
 * run on the event-loop thread and must return within about a millisecond; the
 * others run on a small thread pool. A handler that is not set is answered
 * with an error. Handlers must not throw.
 */
struct peer_handlers {
  std::function<fetched_records(const membership::config_mark &)> FetchRecords;
  /** Encoded state. The server serves at most 4 at once by itself. */
  std::function<result<std::string>()> FetchState;
  std::function<membership::member_exchange(membership::member_exchange)>
      ExchangeMembers{};
  /** One verdict per claim, in the same order. */
  std::function<std::vector<claim_verdict>(std::vector<claim_request>)> Claim;
  std::function<void(claim_request)> ReleaseClaim;
  std::function<void(node_id From, std::string Bytes)> Evidence;
};

} // namespace sycamorelb::inner
