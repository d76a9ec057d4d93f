/** @file partition_writer.h Writing, reading back and answering for one
 * partition, without a thread of its own. */
#pragma once

#include "sycamorelb/claims/claim_writer.h"

#include <map>
#include <optional>

namespace sycamorelb::claims {

/** A caller that waits for its answer. */
struct waiting_claim {
  claim_key Key;        ///< Key asked for.
  claimant Who;         ///< Attempt that asks.
  steady_time Deadline; ///< Refused when not granted before.
  std::function<bool(const claim_answer &)>
      Answer; ///< Called once; false when the caller has gone.
};

/** A release or completion on its way to the log. */
struct outgoing_record {
  claim_record Record;        ///< What to append.
  std::uint32_t Failures = 0; ///< Appends that failed.
};

/** Identity of an attempt, as a map key. */
using attempt_key = std::tuple<claim_key, node_id, incarnation, std::uint64_t>;

/** State of one partition at its writer; owned by the writer's thread. */
struct partition_state {
  std::uint32_t Partition = 0;      ///< Number of the partition.
  std::optional<claim_table> Table; ///< Nothing until the first read.
  bool CaughtUp = false;            ///< Whether the last read found the end.
  steady_time FirstReadAt;          ///< When Start was fixed.
  steady_time LastReadAt;           ///< Last successful read.
  steady_time ReadAfter;            ///< Not read before.
  steady_time AppendAfter;          ///< Not appended before.
  steady_time GroupSince;           ///< When the first claim was queued.
  steady_time LastUsed;             ///< Last request.
  std::deque<std::pair<steady_time, log_offset>>
      Marks; ///< At that time, all records below the offset had been read.
  std::deque<waiting_claim> Queue;           ///< Not yet appended.
  std::map<attempt_key, waiting_claim> Sent; ///< Appended, or perhaps.
  std::deque<outgoing_record> Outgoing;      ///< Releases and completions.
  std::map<attempt_key, steady_time>
      Abandoned; ///< Refused attempts whose claim may still take effect.
};

/** What a partition needs from outside. */
struct partition_context {
  const claim_log &Log;                ///< The log service.
  const claim_writer_options &Options; ///< Times and bounds, with clocks set.
  claim_writer_stats &Stats;           ///< Counters to raise.
};

/** Queues a claim; refuses at once when the table is full. */
void addClaim(partition_state &State, const partition_context &Context,
              waiting_claim Claim);

/** Queues a release or a completion. */
void addRecord(partition_state &State, const partition_context &Context,
               const claim_record &Record);

/** Appends, reads and answers what is due. Blocks on the log. */
void runPartition(partition_state &State, const partition_context &Context);

/** Refuses all waiting callers. */
void refuseAll(partition_state &State, const partition_context &Context,
               const std::string &Reason);

/** @return when runPartition has something to do next. */
auto nextRun(const partition_state &State, const partition_context &Context)
    -> steady_time;

/** @return whether the partition may be dropped from memory. */
auto isUnused(const partition_state &State, const partition_context &Context)
    -> bool;

/** @return whether the partition knows all claims that can be in force. */
auto isComplete(const partition_state &State, const partition_context &Context)
    -> bool;

} // namespace sycamorelb::claims
