/** @file operator_table.cpp Merging of operator records. */
#include "sycamorelb/mesh/operator_table.h"

#include "sycamorelb/mesh/compress.h"
#include "sycamorelb/mesh/record_delta.h"

#include <algorithm>

namespace sycamorelb::mesh {

/** Number of replaced records that are kept as bases of deltas. */
static constexpr auto MaxReplacedRecords = std::size_t{6};
/** Size of a record's content from which deltas are used. */
static constexpr auto MinDeltaContentBytes = std::size_t{2048};
/** Size of a delta from which it is compressed; a smaller one fits into one
 * packet together with the rest of its message. */
static constexpr auto MinCompressedDeltaBytes = std::size_t{1024};

auto operator_table::merge(const operator_record &Record) -> bool {
  auto [Found, IsNew] = Records.try_emplace(Record.Key, Record);
  if (IsNew) {
    return true;
  }
  if (Record.Offset <= Found->second.Offset) {
    return false;
  }
  if (Found->second.Value.size() >= MinDeltaContentBytes) {
    ReplacedRecords.push_back(std::move(Found->second));
    if (ReplacedRecords.size() > MaxReplacedRecords) {
      ReplacedRecords.pop_front();
    }
  }
  Found->second = Record;
  return true;
}

auto operator_table::expand(const operator_record &Record) const
    -> std::optional<operator_record> {
  auto Expanded = Record.Compressed ? decompressText(Record.Value)
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
    auto Base =
        std::find_if(ReplacedRecords.rbegin(), ReplacedRecords.rend(),
                     [&](const auto &Previous) {
                       return Previous.Key == Key && Previous.Offset < From;
                     });
    if (Base != ReplacedRecords.rend() && !Record.Dropped) {
      // The other node holds the newest replaced record before From.
      auto &Change = Changes.back();
      Change.Base = Base->Offset;
      Change.Value = encodeDelta(Base->Value, Record.Value);
      if (Change.Value.size() >= MinCompressedDeltaBytes) {
        Change.Value = compressText(Change.Value);
        Change.Compressed = true;
      }
    } else if (Record.Value.size() >= MinDeltaContentBytes) {
      if (LastCompressed.Key != Key || LastCompressed.Offset != Record.Offset) {
        LastCompressed = {Key,          Record.Offset,
                          false,        compressText(Record.Value),
                          std::nullopt, true};
      }
      Changes.back() = LastCompressed;
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
  for (auto &[Key, Stored] : Records) {
    auto Listed = std::any_of(
        Listing.begin(), Listing.end(),
        [&Name = Key](const auto &Record) { return Record.Key == Name; });
    if (!Listed && !Stored.Dropped && Stored.Offset < Begin) {
      Stored.Dropped = true;
      Stored.Value.clear();
      // The tombstone is newer than the record and older than later writes.
      Stored.Offset = log_offset{Begin.Value - 1};
      Changed.push_back(Key);
    }
  }
  advanceEnd(End);
  return Changed;
}

void operator_table::advanceEnd(log_offset Seen) { End = std::max(End, Seen); }

auto operator_table::find(const std::string &Key) const
    -> const operator_record * {
  auto Found = Records.find(Key);
  return Found == Records.end() || Found->second.Dropped ? nullptr
                                                         : &Found->second;
}

} // namespace sycamorelb::mesh
