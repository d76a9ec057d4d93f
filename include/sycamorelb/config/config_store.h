/** @file config_store.h Thread-safe store of the current configuration
 * snapshot. */
#pragma once

#include "sycamorelb/config/replay_func.h"
#include "sycamorelb/config/snapshot_type.h"

#include <memory>
#include <optional>
#include <vector>

namespace sycamorelb::config {

/** Maximum number of records kept for peers. */
inline constexpr std::size_t MaxKeptRecords = 1024;
/** Maximum total size of records kept for peers. 1,024 checkpoint parts of
 * 64 KiB would use half of the memory budget of a node. */
inline constexpr std::size_t MaxKeptBytes = 8 << 20;

/** Status of an update of the store. */
enum class update_status {
  Advanced,       ///< The position advanced.
  AlreadyApplied, ///< Nothing new.
  Gap,     ///< The records do not continue from the position; nothing changed.
  Older,   ///< The state is older than the current one; nothing changed.
  Forked,  ///< The chain hash or records differ from the current ones; nothing
           ///< changed.
  Corrupt, ///< The records do not result in the announced hash; nothing
           ///< changed.
  Invalid, ///< The state fails checkState; nothing changed.
};

/** Result of an update of the store. */
struct update_result {
  update_status Kind = update_status::AlreadyApplied; ///< Status of the update.
  std::vector<replay_outcome> Outcomes; ///< Of the new records, in log order.
  std::string Reason; ///< Explanation for the log; empty on success.
};

/** Response to a peer that requests the records after a position. */
struct record_batch {
  std::vector<raw_record> Records; ///< Contiguous, oldest first.
  chain_point End;                 ///< Position and hash after the last record.
};

/** Why records cannot be served to a peer. */
enum class no_records {
  Forked,    ///< The peer's hash differs at its position.
  TooOld,    ///< The records are no longer kept; the peer needs the full state.
  PeerAhead, ///< The peer's position is ahead of this node's.
};

/**
 * Owner of the current snapshot. The position never decreases. Thread safe:
 * readers load the snapshot without locking, writers lock a mutex of rank
 * ConfigWrite.
 */
class config_store {
public:
  config_store();
  ~config_store();
  config_store(const config_store &) = delete;
  auto operator=(const config_store &) -> config_store & = delete;

  /** @return the current snapshot, never null. */
  auto current() const -> snapshot_ptr;

  /** @return position and chain hash of the current snapshot. */
  auto point() const -> chain_point;

  /**
   * Applies records read directly from the log.
   * @param Records contiguous records in ascending order; those at or before
   * the current position are skipped.
   */
  auto apply(const std::vector<raw_record> &Records) -> update_result;

  /**
   * Applies records received from a peer if they result in the announced hash.
   * Without this check a record corrupted in transit would be rejected on this
   * node alone and its state would diverge from the other nodes.
   */
  auto apply(const record_batch &Batch) -> update_result;

  /** Replaces the current state by a newer one from a peer or a checkpoint. */
  auto installState(config_state State) -> update_result;

  /**
   * Reads kept records for a peer.
   * @param After the peer's position and chain hash.
   * @param MaxBytes limit on the total size; the first record is returned even
   * if it is larger.
   */
  auto recordsAfter(const chain_point &After, std::size_t MaxBytes) const
      -> std::variant<record_batch, no_records>;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace sycamorelb::config
