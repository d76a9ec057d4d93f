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

/** A record of the operators' topic. */
struct operator_record {
  std::string Key;      ///< What it is about.
  log_offset Offset{0}; ///< Position in the topic.
  bool Dropped = false; ///< The key was removed.
  std::string Value;    ///< Content, as the operator wrote it.
  /** Record against which Value is a delta, on the way between nodes; nothing
   * for the content itself. */
  std::optional<log_offset> Base;
  bool Compressed = false; ///< Value is compressed, on the way between nodes.
  auto operator==(const operator_record &) const -> bool = default;
};

/**
 * Newest record of each key, with dropped keys kept as markers, so that tables
 * from several sources can be merged in any order.
 */
class operator_table {
public:
  /** Takes a record over if it is newer than what is held for its key.
   * @return whether it was. */
  auto merge(const operator_record &Record) -> bool;
  /** Turns a delta or compressed bytes into the content.
   * @return the record, or nothing if its base is not held here or the bytes
   * are malformed. */
  auto expand(const operator_record &Record) const
      -> std::optional<operator_record>;
  /** @return the records from From on, as deltas where a node whose table ends
   * at From holds the base; large ones are compressed. */
  auto changesFrom(log_offset From) -> std::vector<operator_record>;

  /** Takes over a complete listing of the topic up to End: keys that it lacks
   * and that were written before Begin were dropped.
   * @param Begin end of the topic when the listing began.
   * @return the keys that changed. */
  auto mergeListing(const std::vector<operator_record> &Listing,
                    log_offset Begin, log_offset End)
      -> std::vector<std::string>;
  /** Notes that all records before End were seen. */
  void noteEnd(log_offset End);
  /** @return the position up to which all records were seen. */
  auto end() const -> log_offset { return End; }
  /** @return the record of a key that was not dropped, or null. */
  auto find(const std::string &Key) const -> const operator_record *;
  /** @return all records, dropped ones included. */
  auto records() const -> const std::map<std::string, operator_record> & {
    return Records;
  }

private:
  std::map<std::string, operator_record> Records;
  std::deque<operator_record> Replaced; ///< Former large records, oldest first.
  operator_record Packed; ///< The record that was compressed last.
  log_offset End{0};
};

} // namespace sycamorelb::mesh
