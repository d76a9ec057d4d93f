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

auto operator_table::isNewer(const operator_record &Record,
                             const operator_record &Stored) const -> bool {
  if (Record.Era != Stored.Era && isRanked(Record)) {
    auto Left = *Rank(Record);
    auto Right = Rank(Stored).value_or(0);
    if (Left != Right) {
      return Left > Right;
    }
  }
  return Record.position() > Stored.position();
}

auto operator_table::mayBeNewer(const operator_record &Record) const -> bool {
  if (Record.Era < Era && !AwaitsRewrites && !isRanked(Record)) {
    return false;
  }
  auto Found = Records.find(Record.Key);
  return Found == Records.end() ||
         Record.position() > Found->second.position() ||
         (Record.Era != Found->second.Era && isRanked(Record));
}

auto operator_table::merge(const operator_record &Record) -> bool {
  if (!mayBeNewer(Record)) {
    return false;
  }
  auto [Found, IsNew] = Records.try_emplace(Record.Key, Record);
  if (IsNew) {
    return true;
  }
  if (!isNewer(Record, Found->second)) {
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
    return operator_record{
        Record.Key,   Record.Offset, Record.Dropped, std::move(*Expanded),
        std::nullopt, false,         Record.Era};
  }
  auto Found = Records.find(Record.Key);
  if (Found == Records.end() ||
      Found->second.position() != log_position{Record.Era, *Record.Base}) {
    return std::nullopt;
  }
  auto Text = applyDelta(Found->second.Value, *Expanded);
  if (!Text) {
    return std::nullopt;
  }
  return operator_record{
      Record.Key, Record.Offset, Record.Dropped, std::move(*Text),
      {},         false,         Record.Era};
}

auto operator_table::changesFrom(log_position From, bool WithOlderEras)
    -> std::vector<operator_record> {
  // A position of another era doesn't tell which records that node has.
  auto All = From.Era != Era;
  if (All) {
    From = {};
  }
  auto Changes = std::vector<operator_record>();
  for (const auto &Entry : Records) {
    const auto &Key = Entry.first;
    const auto &Record = Entry.second;
    auto IsOlderEra = Record.Era < From.Era;
    if (IsOlderEra ? !WithOlderEras : Record.position() < From) {
      continue;
    }
    Changes.push_back(Record);
    auto Base = std::find_if(ReplacedRecords.rbegin(), ReplacedRecords.rend(),
                             [&](const auto &Previous) {
                               return !All && Previous.Key == Key &&
                                      Previous.Era == Record.Era &&
                                      Previous.position() < From;
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
      if (LastCompressed.Key != Key ||
          LastCompressed.position() != Record.position()) {
        LastCompressed = {
            Key,          Record.Offset, false,     compressText(Record.Value),
            std::nullopt, true,          Record.Era};
      }
      Changes.back() = LastCompressed;
    }
  }
  return Changes;
}

auto operator_table::beginEra(store_era Later) -> bool {
  if (Later <= Era) {
    return false;
  }
  Era = Later;
  End = {};
  AwaitsRewrites = true;
  return true;
}

auto operator_table::hasUnconfirmedRecords() const -> bool {
  return std::any_of(Records.begin(), Records.end(), [this](const auto &Entry) {
    const auto &Record = Entry.second;
    return Record.Era < Era && !Record.Dropped && !isRanked(Record);
  });
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
    auto IsOlderEra = Stored.Era < Era;
    if (IsOlderEra && (AwaitsRewrites || isRanked(Stored))) {
      continue;
    }
    if (!Listed && !Stored.Dropped &&
        Stored.position() < log_position{Era, Begin}) {
      Stored.Dropped = true;
      Stored.Value.clear();
      // The tombstone is newer than the record and older than later writes. In
      // an empty topic no position of this era is older than later writes.
      if (Begin.Value > 0) {
        Stored.Offset = log_offset{Begin.Value - 1};
        Stored.Era = Era;
      }
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
