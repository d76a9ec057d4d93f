/** @file operator_table.cpp Merging of the operators' records. */
#include "sycamorelb/mesh/operator_table.h"

#include "sycamorelb/mesh/compress.h"
#include "sycamorelb/mesh/record_delta.h"

#include <algorithm>

namespace sycamorelb::mesh {

/** Former records that are kept as bases of deltas. */
static constexpr auto MaxReplaced = std::size_t{6};
/** Content in bytes from which a delta is worth its trouble. */
static constexpr auto DeltaBytes = std::size_t{2048};
/** Size of a delta in bytes from which it is compressed: less fits into one
 * packet beside the rest of its message. */
static constexpr auto PackedBytes = std::size_t{1024};

auto operator_table::merge(const operator_record &Record) -> bool {
  auto [Found, IsNew] = Records.try_emplace(Record.Key, Record);
  if (IsNew) {
    return true;
  }
  if (Record.Offset <= Found->second.Offset) {
    return false;
  }
  if (Found->second.Value.size() >= DeltaBytes) {
    Replaced.push_back(std::move(Found->second));
    if (Replaced.size() > MaxReplaced) {
      Replaced.pop_front();
    }
  }
  Found->second = Record;
  return true;
}

auto operator_table::expand(const operator_record &Record) const
    -> std::optional<operator_record> {
  auto Expanded = Record.Compressed ? expandText(Record.Value)
                                    : std::make_optional(Record.Value);
  if (!Expanded) {
    return std::nullopt;
  }
  if (!Record.Base) {
    return operator_record{Record.Key, Record.Offset, Record.Dropped,
                           std::move(*Expanded), std::nullopt};
  }
  auto Found = Records.find(Record.Key);
  if (Found == Records.end() || Found->second.Offset != *Record.Base) {
    return std::nullopt;
  }
  auto Text = applyDelta(Found->second.Value, *Expanded);
  if (!Text) {
    return std::nullopt;
  }
  return operator_record{
      Record.Key, Record.Offset, Record.Dropped, std::move(*Text), {}};
}

auto operator_table::changesFrom(log_offset From)
    -> std::vector<operator_record> {
  auto Changes = std::vector<operator_record>();
  for (const auto &Entry : Records) {
    const auto &Key = Entry.first;
    const auto &Record = Entry.second;
    if (Record.Offset < From) {
      continue;
    }
    Changes.push_back(Record);
    auto Base = std::find_if(Replaced.rbegin(), Replaced.rend(),
                             [&](const auto &Former) {
                               return Former.Key == Key && Former.Offset < From;
                             });
    if (Base != Replaced.rend() && !Record.Dropped) {
      // The newest former record before From is what the other node holds.
      auto &Change = Changes.back();
      Change.Base = Base->Offset;
      Change.Value = encodeDelta(Base->Value, Record.Value);
      if (Change.Value.size() >= PackedBytes) {
        Change.Value = compressText(Change.Value);
        Change.Compressed = true;
      }
    } else if (Record.Value.size() >= DeltaBytes) {
      if (Packed.Key != Key || Packed.Offset != Record.Offset) {
        Packed = {Key,          Record.Offset,
                  false,        compressText(Record.Value),
                  std::nullopt, true};
      }
      Changes.back() = Packed;
    }
  }
  return Changes;
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
