/** @file claim_func.h Replays the claims of a partition.
 *
 * The table is a function of the stream alone, so all readers agree. No claim
 * expires by a wall clock, because clocks differ between hosts and an append
 * may take effect long after it was written. Each batch names the offset below
 * which its writer has itself known all claims for a full time to live on its
 * monotonic clock. A claim is appended before it is read, so it is at least
 * that old, and replay drops it for all readers at the same offset.
 *
 * A reader that starts at an offset after the beginning of the stream cannot
 * know claims before it. Until a batch declares them expired, the claims it
 * reads are uncertain: other readers may see another winner. Uncertain claims
 * block their key until all claims of the key have expired.
 */
#pragma once

#include "sycamorelb/claims/claim_type.h"
#include "sycamorelb/core/result_type.h"

#include <string_view>

namespace sycamorelb::claims {

/** @return the digest of a service and a caller's idempotency key. */
auto claimKey(const service_id &Service, std::string_view IdempotencyKey)
    -> claim_key;

/** @return the partition of a key. */
auto partitionOf(const claim_key &Key) -> std::uint32_t;

/** @return the name of the log stream of a partition. */
auto streamName(std::uint32_t Partition) -> std::string;

/** @return an empty table for a reader that starts at Start. */
auto emptyTable(log_offset Start) -> claim_table;

/**
 * Applies one batch at its offset; offsets before Table.Next are duplicates
 * and change nothing.
 */
void replayClaims(claim_table &Table, log_offset Offset,
                  const claim_batch &Batch);

/** Skips a record that does not decode, so that all readers skip it. */
void skipRecord(claim_table &Table, log_offset Offset);

/** Drops the claims below an offset that a batch declared expired. */
void expire(claim_table &Table, log_offset Below);

/**
 * Tells a claimant its fate after its own claim was replayed.
 * @return granted only to the holder; refused when the key is free or the
 * table overflowed.
 */
auto decide(const claim_table &Table, const claim_key &Key, const claimant &Who)
    -> claim_answer;

/** @return the encoded size of a record. */
auto encodedSize(const claim_record &Record) -> std::size_t;

/** @return the encoded batch; it must fit MaxBatchBytes. */
auto encodeBatch(const claim_batch &Batch) -> std::string;

/** @return the batch; Corrupt when the bytes break the format or a bound. */
auto decodeBatch(std::string_view Bytes) -> result<claim_batch>;

} // namespace sycamorelb::claims
