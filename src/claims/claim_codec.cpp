/** @file claim_codec.cpp Binary encoding of a batch of claims.
 *
 * All integers are little endian. Header: version (1 byte), WrittenAt (8),
 * ExpiredBelow (8), number of records (2). Record: action (1), key (16),
 * incarnation (8), attempt (8), status (2), length of the node id (1), node id.
 * Trailer: hash64 of everything before it (8).
 */
#include "sycamorelb/claims/claim_func.h"
#include "sycamorelb/core/hash_func.h"

#include <algorithm>

namespace sycamorelb::claims {

static constexpr std::uint8_t FormatVersion = 1;
static constexpr std::size_t HeaderBytes = 19;
static constexpr std::size_t TrailerBytes = 8;
static constexpr std::size_t FixedRecordBytes = 36;

static void putLittleEndian(std::string &Out, std::uint64_t Value, int Bytes) {
  for (; Bytes > 0; --Bytes, Value >>= 8) {
    Out.push_back(char(Value & 0xff));
  }
}

static auto takeLittleEndian(std::string_view &Remaining, std::size_t Bytes)
    -> std::uint64_t {
  auto Value = std::uint64_t{0};
  for (auto Index = Bytes; Index > 0; --Index) {
    Value = Value << 8 | std::uint8_t(Remaining[Index - 1]);
  }
  Remaining.remove_prefix(Bytes);
  return Value;
}

auto encodedSize(const claim_record &Record) -> std::size_t {
  return FixedRecordBytes + Record.Claimant.Node.Value.size();
}

auto encodeBatch(const claim_batch &Batch) -> std::string {
  auto Out = std::string(1, char(FormatVersion));
  putLittleEndian(Out, std::uint64_t(Batch.WrittenAt.Value), 8);
  putLittleEndian(Out, Batch.ExpiredBelow.Value, 8);
  putLittleEndian(Out, Batch.Records.size(), 2);
  for (const auto &Record : Batch.Records) {
    putLittleEndian(Out, std::uint64_t(Record.Action), 1);
    Out.append(Record.Key.Bytes.begin(), Record.Key.Bytes.end());
    putLittleEndian(Out, Record.Claimant.Incarnation.Value, 8);
    putLittleEndian(Out, Record.Claimant.Attempt, 8);
    putLittleEndian(Out, Record.Status, 2);
    putLittleEndian(Out, Record.Claimant.Node.Value.size(), 1);
    Out += Record.Claimant.Node.Value;
  }
  putLittleEndian(Out, hash64(Out), 8);
  return Out;
}

static auto isValid(const claim_record &Record) -> bool {
  auto IsComplete = Record.Action == claim_action::Complete;
  return Record.Action <= claim_action::Complete &&
         (IsComplete ? Record.Status >= 100 && Record.Status <= 599
                     : Record.Status == 0) &&
         !Record.Claimant.Node.Value.empty();
}

/** Decodes a record from the start of Remaining.
 * @return whether it was complete and valid. */
static auto takeRecord(std::string_view &Remaining, claim_record &Record)
    -> bool {
  if (Remaining.size() < FixedRecordBytes) {
    return false;
  }
  Record.Action = claim_action(takeLittleEndian(Remaining, 1));
  std::copy_n(Remaining.begin(), Record.Key.Bytes.size(),
              Record.Key.Bytes.begin());
  Remaining.remove_prefix(Record.Key.Bytes.size());
  Record.Claimant.Incarnation.Value = takeLittleEndian(Remaining, 8);
  Record.Claimant.Attempt = takeLittleEndian(Remaining, 8);
  Record.Status = std::uint16_t(takeLittleEndian(Remaining, 2));
  auto Length = std::size_t(takeLittleEndian(Remaining, 1));
  if (Length > MaxNodeBytes || Length > Remaining.size()) {
    return false;
  }
  Record.Claimant.Node.Value = std::string(Remaining.substr(0, Length));
  Remaining.remove_prefix(Length);
  return isValid(Record);
}

auto decodeBatch(std::string_view Bytes) -> result<claim_batch> {
  auto CorruptError =
      error{error_code::Corrupt, "decode claim batch", "",
            "the record is malformed or a value is out of range"};
  if (Bytes.size() < HeaderBytes + TrailerBytes ||
      Bytes.size() > MaxBatchBytes) {
    return CorruptError;
  }
  auto Remaining = Bytes.substr(0, Bytes.size() - TrailerBytes);
  auto Trailer = Bytes.substr(Remaining.size());
  if (takeLittleEndian(Trailer, TrailerBytes) != hash64(Remaining) ||
      takeLittleEndian(Remaining, 1) != FormatVersion) {
    return CorruptError;
  }
  auto Batch = claim_batch{};
  Batch.WrittenAt.Value = std::int64_t(takeLittleEndian(Remaining, 8));
  Batch.ExpiredBelow.Value = takeLittleEndian(Remaining, 8);
  auto Count = std::size_t(takeLittleEndian(Remaining, 2));
  if (Count > Remaining.size() / FixedRecordBytes) {
    return CorruptError;
  }
  Batch.Records.resize(Count);
  for (auto &Record : Batch.Records) {
    if (!takeRecord(Remaining, Record)) {
      return CorruptError;
    }
  }
  if (!Remaining.empty()) {
    return CorruptError;
  }
  return Batch;
}

} // namespace sycamorelb::claims
