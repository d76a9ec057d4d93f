/** @file claim_func.h Replay of the claims of a partition.
 *
 * The table is a function of the stream alone, so all readers agree on it.
 * Claims do not expire by a wall clock, because clocks differ between hosts and
 * an append may take effect long after it was written. Instead, each batch
 * names an offset such that its writer read all claims below it at least a full
 * time to live ago on its monotonic clock. A claim is appended before it is
 * read, so it is at least that old, and replay drops it for all readers at the
 * same offset.
 *
 * A reader that starts after the beginning of the stream doesn't know earlier
 * claims. Until a batch declares these expired, the claims that it reads are
 * uncertain: other readers may have another winner. An uncertain claim blocks
 * its key until all claims of the key have expired.
 */
#pragma once

#include "sycamorelb/claims/claim_type.h"
#include "sycamorelb/core/result_type.h"

#include <string_view>

namespace sycamorelb::claims {

/** @return the digest of a service and an idempotency key. */
auto claimKey(const service_id &Service, std::string_view IdempotencyKey)
    -> claim_key;

/** @return the partition of a key. */
auto partitionOf(const claim_key &Key) -> std::uint32_t;

/** @return the name of the log stream of a partition. */
auto streamName(std::uint32_t Partition) -> std::string;

/** @return an empty table for a reader that starts at Start. */
auto emptyTable(log_offset Start) -> claim_table;

/**
 * Applies the batch at an offset. Offsets before Table.Next are duplicates and
 * are ignored.
 */
void replayClaims(claim_table &Table, log_offset Offset,
                  const claim_batch &Batch);

/** Skips a record that can't be decoded; all readers skip it. */
void skipCorruptRecord(claim_table &Table, log_offset Offset);

/** Removes the claims below the offset, which a batch declared expired. */
void expire(claim_table &Table, log_offset Below);

/**
 * Answers a claimant after its own claim was replayed.
 * @return granted only to the holder; refused if the key is free or the table
 * overflowed.
 */
auto decide(const claim_table &Table, const claim_key &Key,
            const claimant &Claimant) -> claim_answer;

/** @return the encoded size of a record. */
auto encodedSize(const claim_record &Record) -> std::size_t;

/** @return the encoded batch; it must fit MaxBatchBytes. */
auto encodeBatch(const claim_batch &Batch) -> std::string;

/** @return the batch; Corrupt if it is malformed or a value is out of range. */
auto decodeBatch(std::string_view Bytes) -> result<claim_batch>;

} // namespace sycamorelb::claims
