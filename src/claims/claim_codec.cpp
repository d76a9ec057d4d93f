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
static constexpr std::size_t RecordBytes = 36;

static void put(std::string &Out, std::uint64_t Value, int Bytes) {
  for (; Bytes > 0; --Bytes, Value >>= 8) {
    Out.push_back(char(Value & 0xff));
  }
}

static auto take(std::string_view &Rest, std::size_t Bytes) -> std::uint64_t {
  auto Value = std::uint64_t{0};
  for (auto Index = Bytes; Index > 0; --Index) {
    Value = Value << 8 | std::uint8_t(Rest[Index - 1]);
  }
  Rest.remove_prefix(Bytes);
  return Value;
}

auto encodedSize(const claim_record &Record) -> std::size_t {
  return RecordBytes + Record.Who.Node.Value.size();
}

auto encodeBatch(const claim_batch &Batch) -> std::string {
  auto Out = std::string(1, char(FormatVersion));
  put(Out, std::uint64_t(Batch.WrittenAt.Value), 8);
  put(Out, Batch.ExpiredBelow.Value, 8);
  put(Out, Batch.Records.size(), 2);
  for (const auto &Record : Batch.Records) {
    put(Out, std::uint64_t(Record.Action), 1);
    Out.append(Record.Key.Bytes.begin(), Record.Key.Bytes.end());
    put(Out, Record.Who.Incarnation.Value, 8);
    put(Out, Record.Who.Attempt, 8);
    put(Out, Record.Status, 2);
    put(Out, Record.Who.Node.Value.size(), 1);
    Out += Record.Who.Node.Value;
  }
  put(Out, hash64(Out), 8);
  return Out;
}

static auto isValid(const claim_record &Record) -> bool {
  auto IsComplete = Record.Action == claim_action::Complete;
  return Record.Action <= claim_action::Complete &&
         (IsComplete ? Record.Status >= 100 && Record.Status <= 599
                     : Record.Status == 0) &&
         !Record.Who.Node.Value.empty();
}

/** @return whether a whole and valid record was taken from Rest. */
static auto takeRecord(std::string_view &Rest, claim_record &Record) -> bool {
  if (Rest.size() < RecordBytes) {
    return false;
  }
  Record.Action = claim_action(take(Rest, 1));
  std::copy_n(Rest.begin(), Record.Key.Bytes.size(), Record.Key.Bytes.begin());
  Rest.remove_prefix(Record.Key.Bytes.size());
  Record.Who.Incarnation.Value = take(Rest, 8);
  Record.Who.Attempt = take(Rest, 8);
  Record.Status = std::uint16_t(take(Rest, 2));
  auto Length = std::size_t(take(Rest, 1));
  if (Length > MaxNodeBytes || Length > Rest.size()) {
    return false;
  }
  Record.Who.Node.Value = std::string(Rest.substr(0, Length));
  Rest.remove_prefix(Length);
  return isValid(Record);
}

auto decodeBatch(std::string_view Bytes) -> result<claim_batch> {
  auto Bad = error{error_code::Corrupt, "decode claim batch", "",
                   "the record breaks the format or a bound"};
  if (Bytes.size() < HeaderBytes + TrailerBytes ||
      Bytes.size() > MaxBatchBytes) {
    return Bad;
  }
  auto Rest = Bytes.substr(0, Bytes.size() - TrailerBytes);
  auto Trailer = Bytes.substr(Rest.size());
  if (take(Trailer, TrailerBytes) != hash64(Rest) ||
      take(Rest, 1) != FormatVersion) {
    return Bad;
  }
  auto Batch = claim_batch{};
  Batch.WrittenAt.Value = std::int64_t(take(Rest, 8));
  Batch.ExpiredBelow.Value = take(Rest, 8);
  auto Count = std::size_t(take(Rest, 2));
  if (Count > Rest.size() / RecordBytes) {
    return Bad;
  }
  Batch.Records.resize(Count);
  for (auto &Record : Batch.Records) {
    if (!takeRecord(Rest, Record)) {
      return Bad;
    }
  }
  if (!Rest.empty()) {
    return Bad;
  }
  return Batch;
}

} // namespace sycamorelb::claims
