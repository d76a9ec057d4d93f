/** @file config_store.h Holds the snapshot in force on this node. */
#pragma once

#include "sycamorelb/config/replay_func.h"
#include "sycamorelb/config/snapshot_type.h"

#include <memory>
#include <optional>
#include <vector>

namespace sycamorelb::config {

/** Records kept for peers. */
inline constexpr std::size_t MaxKeptRecords = 1024;
/** Bytes of records kept for peers; 1,024 checkpoint parts of 64 KiB would use
 * half of the memory budget of a node. */
inline constexpr std::size_t MaxKeptBytes = 8 << 20;

/** Why a delivery was taken or not. */
enum class delivery_kind {
  Advanced, ///< The position advanced.
  Known,    ///< Nothing new.
  Gap,      ///< The records do not follow the position; nothing changed.
  Older,    ///< The state is older than the one in force; nothing changed.
  Forked,   ///< The hash contradicts the one in force; nothing changed.
  Corrupt,  ///< The records do not lead to the announced hash; nothing changed.
  Unsound,  ///< The state has unresolved references; nothing changed.
};

/** Result of a delivery. */
struct delivery {
  delivery_kind Kind = delivery_kind::Known; ///< What became of it.
  std::vector<replay_outcome> Outcomes; ///< Of the new records, in log order.
  std::string Reason;                   ///< For people; empty on success.
};

/** Answer to a peer that asks for the records after a position. */
struct record_batch {
  std::vector<raw_record> Records; ///< Contiguous, oldest first.
  chain_point End;                 ///< Position and hash after them.
};

/** Why records cannot be served to a peer. */
enum class no_records {
  Forked,  ///< The peer's hash differs at its position.
  TooOld,  ///< The records are no longer kept; the peer needs the whole state.
  Unknown, ///< The peer is ahead of this node.
};

/**
 * Owner of the snapshot. Never goes back to an older position. Thread safe:
 * readers load the snapshot without a lock, writers take the lock of rank
 * ConfigWrite.
 */
class config_store {
public:
  config_store();
  ~config_store();
  config_store(const config_store &) = delete;
  auto operator=(const config_store &) -> config_store & = delete;

  /** @return the snapshot in force, never null. */
  auto current() const -> snapshot_ptr;

  /** @return position and hash of the snapshot in force. */
  auto point() const -> chain_point;

  /**
   * Applies records read directly from the log.
   * @param Records ascending and contiguous; those at or before the position
   * are skipped.
   */
  auto apply(const std::vector<raw_record> &Records) -> delivery;

  /**
   * Applies records received from a peer, only when they lead to the announced
   * hash. Without this check a record damaged on the way would be rejected on
   * this node alone and fork its state.
   */
  auto apply(const record_batch &Batch) -> delivery;

  /** Adopts the whole state of a peer or of a checkpoint. */
  auto adopt(config_state State) -> delivery;

  /**
   * Serves a peer.
   * @param After the peer's position and hash.
   * @param MaxBytes bound on the total size; at least one record is returned.
   */
  auto recordsAfter(const chain_point &After, std::size_t MaxBytes) const
      -> std::variant<record_batch, no_records>;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace sycamorelb::config
