/** @file operator_table.h Newest record of each key that operators wrote.
 *
 * Addresses a store that comes back from an older copy: records that the copy
 * lacks stay in force until operators have had time to write them again, and
 * nodes that see the new era at different times don't pull each other back. */
#pragma once

#include "sycamorelb/core/id_type.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamorelb::mesh {

/** Position in a topic. Offsets of different eras are unrelated, so the era
 * comes first in the order. */
struct log_position {
  store_era Era;        ///< Era that assigned Offset.
  log_offset Offset{0}; ///< Offset within the era.
  // clang-tidy reports the code that the compiler generates for the comparison.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const log_position &) const = default;
};

/** A record of the store's topic for operators. */
struct operator_record {
  std::string Key;      ///< Identifies the subject of the record.
  log_offset Offset{0}; ///< Position in the topic.
  bool Dropped = false; ///< Tombstone: the key was deleted.
  std::string Value;    ///< Content, as the operator wrote it.
  /** In messages between nodes, offset of the record of the same era against
   * which Value is a delta; nothing if Value is the content itself. */
  std::optional<log_offset> Base;
  bool Compressed = false; ///< Value is compressed, in messages between nodes.
  store_era Era{};         ///< Era of the store that assigned Offset.
  auto operator==(const operator_record &) const -> bool = default;
  /** @return its position in the topic. */
  auto position() const -> log_position { return {Era, Offset}; }
};

/**
 * Newest record of each key. Deleted keys stay as tombstones, so that tables
 * from several sources can be merged in any order.
 */
class operator_table {
public:
  /** Orders the contents of a key where the positions are of different eras;
   * nothing if the later era decides. */
  using rank_function =
      std::optional<std::uint64_t> (*)(const operator_record &);

  /** @param Rank see rank_function; null if the later era always decides. */
  explicit operator_table(rank_function Rank = nullptr) : Rank(Rank) {}

  /** @return whether merge() would store a record, as far as its position
   * tells; its content may be encoded. */
  auto mayBeNewer(const operator_record &Record) const -> bool;
  /** Stores a record if it is newer than the one of its key.
   * @return whether it was. */
  auto merge(const operator_record &Record) -> bool;
  /** Decodes a record whose value is a delta or compressed.
   * @return the record with its content, or nothing if this table lacks the
   * base or the value is malformed. */
  auto expand(const operator_record &Record) const
      -> std::optional<operator_record>;
  /** @return the records from From on, for a node whose table ends at From: as
   * deltas where that node has the base; large values are compressed. All
   * records if From is of another era than this table.
   * @param WithOlderEras also returns the records that this table has from
   * earlier eras than its own. */
  auto changesFrom(log_position From, bool WithOlderEras)
      -> std::vector<operator_record>;
  /** The same in the era of this table, without records of earlier eras. */
  auto changesFrom(log_offset From) -> std::vector<operator_record> {
    return changesFrom({Era, From}, false);
  }

  /** Begins a later era: nothing of it has been received yet, and records of
   * earlier eras stay until endRewriteTime().
   * @return whether the era is later than that of this table. */
  auto beginEra(store_era Later) -> bool;
  /** From now on, records of earlier eras that a listing lacks are deleted, and
   * those of other nodes are ignored. */
  void endRewriteTime() { AwaitsRewrites = false; }
  /** @return whether a listing after endRewriteTime() may delete records. */
  auto hasUnconfirmedRecords() const -> bool;

  /** Merges a complete listing of the topic up to End, in the era of this
   * table. Keys that the listing lacks and that were written before Begin are
   * marked as deleted; those of earlier eras only after endRewriteTime(), and
   * those with a rank never.
   * @param Begin end of the topic when the listing began.
   * @return the keys that changed. */
  auto mergeListing(const std::vector<operator_record> &Listing,
                    log_offset Begin, log_offset End)
      -> std::vector<std::string>;
  /** Records that all records before End have been received. */
  void advanceEnd(log_offset End);
  /** @return the offset before which all records have been received. */
  auto end() const -> log_offset { return End; }
  /** @return the era of end(). */
  auto era() const -> store_era { return Era; }
  /** @return the record of a key, or null if it is unknown or deleted. */
  auto find(const std::string &Key) const -> const operator_record *;
  /** @return all records, including tombstones. */
  auto records() const -> const std::map<std::string, operator_record> & {
    return Records;
  }

private:
  auto isNewer(const operator_record &Record,
               const operator_record &Stored) const -> bool;
  auto isRanked(const operator_record &Record) const -> bool {
    return Rank != nullptr && Rank(Record).has_value();
  }

  rank_function Rank;
  std::map<std::string, operator_record> Records;
  /** Previous large records, oldest first; they are the bases of deltas. */
  std::deque<operator_record> ReplacedRecords;
  operator_record LastCompressed; ///< Cache of the last compressed record.
  log_offset End{0};
  store_era Era;
  bool AwaitsRewrites = false;
};

} // namespace sycamorelb::mesh
