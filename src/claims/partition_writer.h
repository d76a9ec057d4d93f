/** @file partition_writer.h Appends the claims of one partition, reads them
 * back and answers callers, without a thread of its own. */
#pragma once

#include "sycamorelb/claims/claim_writer.h"

#include <map>
#include <optional>

namespace sycamorelb::claims {

/** A caller that waits for its answer. */
struct waiting_claim {
  claim_key Key;        ///< Key to claim.
  claimant Claimant;    ///< Attempt that claims it.
  steady_time Deadline; ///< The claim is refused at this time.
  std::function<bool(const claim_answer &)>
      Answer; ///< Called once; returns false if the caller has gone.
};

/** A release or completion to append. */
struct pending_record {
  claim_record Record;             ///< What to append.
  std::uint32_t FailedAppends = 0; ///< Failed appends of the record.
};

/** Identity of an attempt, as a map key. */
using attempt_key = std::tuple<claim_key, node_id, incarnation, std::uint64_t>;

/** State of one partition at its writer; used by the thread of the writer only.
 */
struct partition_state {
  std::uint32_t Partition = 0;      ///< Number of the partition.
  std::optional<claim_table> Table; ///< Empty until the first read.
  bool CaughtUp = false;            ///< Whether the last read reached the end.
  steady_time FirstReadAt;          ///< When replay started.
  steady_time LastReadAt;           ///< Last successful read.
  steady_time NextReadAt;           ///< Earliest time of the next read.
  steady_time NextAppendAt;         ///< Earliest time of the next append.
  steady_time BatchStartedAt; ///< When the first entry of the batch was queued.
  steady_time LastRequestAt;  ///< Last claim, release or completion.
  std::deque<std::pair<steady_time, log_offset>>
      ReadMarks; ///< By then, all records below the offset were read.
  std::deque<waiting_claim> PendingClaims; ///< Not yet appended.
  std::map<attempt_key, waiting_claim>
      Unconfirmed;                           ///< Appended or possibly
                                             ///< appended; not read back.
  std::deque<pending_record> PendingRecords; ///< Releases and completions.
  std::map<attempt_key, steady_time>
      Abandoned; ///< Refused attempts whose claims may still take effect, by
                 ///< time.
};

/** Dependencies of a partition. */
struct partition_context {
  const claim_log &Log; ///< The log service.
  const claim_writer_options
      &Options;              ///< Delays and limits; both clocks are set.
  claim_writer_stats &Stats; ///< Counters to update.
};

/** Queues a claim; refuses it at once if the attempt was used before. */
void addClaim(partition_state &State, const partition_context &Context,
              waiting_claim Claim);

/** Queues a release or a completion. */
void addRecord(partition_state &State, const partition_context &Context,
               const claim_record &Record);

/** Performs due appends and reads and answers callers. Blocks on the log. */
void runPartition(partition_state &State, const partition_context &Context);

/** Refuses all waiting callers. */
void refuseAll(partition_state &State, const partition_context &Context,
               const std::string &Reason);

/** @return when runPartition must be called next. */
auto nextRunTime(const partition_state &State, const partition_context &Context)
    -> steady_time;

/** @return whether the partition may be removed from memory. */
auto isIdle(const partition_state &State, const partition_context &Context)
    -> bool;

/** @return whether the table contains all claims that may still be valid. */
auto knowsAllClaims(const partition_state &State,
                    const partition_context &Context) -> bool;

} // namespace sycamorelb::claims
