/** @file operator_table.h Newest record of each key that operators wrote. */
#pragma once

#include "sycamorelb/core/id_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamorelb::mesh {

/** A record of the store's topic for operators. */
struct operator_record {
  std::string Key;      ///< Identifies the subject of the record.
  log_offset Offset{0}; ///< Position in the topic.
  bool Dropped = false; ///< Tombstone: the key was deleted.
  std::string Value;    ///< Content, as the operator wrote it.
  /** In messages between nodes, offset of the record against which Value is a
   * delta; nothing if Value is the content itself. */
  std::optional<log_offset> Base;
  bool Compressed = false; ///< Value is compressed, in messages between nodes.
  store_era Era{};         ///< Era of the store that assigned Offset.
  auto operator==(const operator_record &) const -> bool = default;
};

/**
 * Newest record of each key. Deleted keys stay as tombstones, so that tables
 * from several sources can be merged in any order.
 */
class operator_table {
public:
  /** Stores a record if it is newer than the one of its key.
   * @return whether it was. */
  auto merge(const operator_record &Record) -> bool;
  /** Decodes a record whose value is a delta or compressed.
   * @return the record with its content, or nothing if this table lacks the
   * base or the value is malformed. */
  auto expand(const operator_record &Record) const
      -> std::optional<operator_record>;
  /** @return the records with offsets from From on, for a node whose table ends
   * at From: as deltas where that node has the base; large values are
   * compressed. */
  auto changesFrom(log_offset From) -> std::vector<operator_record>;

  /** Merges a complete listing of the topic up to End. Keys that the listing
   * lacks and that were written before Begin are marked as deleted.
   * @param Begin end of the topic when the listing began.
   * @return the keys that changed. */
  auto mergeListing(const std::vector<operator_record> &Listing,
                    log_offset Begin, log_offset End)
      -> std::vector<std::string>;
  /** Records that all records before End have been received. */
  void advanceEnd(log_offset End);
  /** @return the offset before which all records have been received. */
  auto end() const -> log_offset { return End; }
  /** @return the record of a key, or null if it is unknown or deleted. */
  auto find(const std::string &Key) const -> const operator_record *;
  /** @return all records, including tombstones. */
  auto records() const -> const std::map<std::string, operator_record> & {
    return Records;
  }

private:
  std::map<std::string, operator_record> Records;
  /** Previous large records, oldest first; they are the bases of deltas. */
  std::deque<operator_record> ReplacedRecords;
  operator_record LastCompressed; ///< Cache of the last compressed record.
  log_offset End{0};
};

} // namespace sycamorelb::mesh
