/** @file operator_table.cpp Merging of the operators' records. */
#include "sycamorelb/mesh/operator_table.h"

#include <algorithm>

namespace sycamorelb::mesh {

auto operator_table::merge(const operator_record &Record) -> bool {
  auto [Found, IsNew] = Records.try_emplace(Record.Key, Record);
  if (IsNew) {
    return true;
  }
  if (Record.Offset <= Found->second.Offset) {
    return false;
  }
  Found->second = Record;
  return true;
}

auto operator_table::mergeListing(const std::vector<operator_record> &Listing,
                                  log_offset Begin, log_offset End)
    -> std::vector<std::string> {
  auto Changed = std::vector<std::string>();
  for (const auto &Record : Listing) {
    if (merge(Record)) {
      Changed.push_back(Record.Key);
    }
  }
  for (auto &[Key, Held] : Records) {
    auto Listed = std::any_of(
        Listing.begin(), Listing.end(),
        [&Name = Key](const auto &Record) { return Record.Key == Name; });
    if (!Listed && !Held.Dropped && Held.Offset < Begin) {
      Held.Dropped = true;
      Held.Value.clear();
      // A marker newer than the record, older than what comes after it.
      Held.Offset = log_offset{Begin.Value - 1};
      Changed.push_back(Key);
    }
  }
  noteEnd(End);
  return Changed;
}

void operator_table::noteEnd(log_offset Seen) { End = std::max(End, Seen); }

auto operator_table::find(const std::string &Key) const
    -> const operator_record * {
  auto Found = Records.find(Key);
  return Found == Records.end() || Found->second.Dropped ? nullptr
                                                         : &Found->second;
}

} // namespace sycamorelb::mesh
