/** @file checkpoint.cpp Writing and restoring of checkpoints in the log. */
#include "sycamorelb/config/checkpoint_func.h"

#include "sycamorelb/config/replay_func.h"
#include "sycamorelb/core/hash_func.h"

#include <algorithm>
#include <utility>

namespace sycamorelb::config {

auto encodeCheckpoint(const config_state &State, const std::string &Id,
                      wall_ms At, std::size_t DataBytes)
    -> std::vector<std::string> {
  auto Bytes = encodeState(State);
  auto Count = (Bytes.size() + DataBytes - 1) / DataBytes;
  auto Records = std::vector<std::string>();
  for (auto Index = std::size_t{0}; Index < Count; ++Index) {
    auto Part = checkpoint_part();
    Part.Id = Id;
    Part.Index = static_cast<std::uint32_t>(Index);
    Part.Count = static_cast<std::uint32_t>(Count);
    Part.Position = State.Position;
    Part.Hash = hash64(Bytes);
    Part.Data = Bytes.substr(Index * DataBytes, DataBytes);
    Records.push_back(encodeRecord({{}, At, std::move(Part)}));
  }
  return Records;
}

/** @return the pending checkpoint that the part belongs to. Parts of different
 * states are never mixed, even if two writers chose the same id. */
static auto findOrAddPending(checkpoint_assembly &Assembly,
                             const checkpoint_part &Part)
    -> checkpoint_assembly::pending_checkpoint & {
  auto &Pending = Assembly.Pending;
  auto Found = std::find_if(
      Pending.begin(), Pending.end(), [&Part](const auto &Candidate) {
        const auto &FirstPart = Candidate.FirstPart;
        return FirstPart.Id == Part.Id && FirstPart.Count == Part.Count &&
               FirstPart.Hash == Part.Hash &&
               FirstPart.Position == Part.Position;
      });
  if (Found != Pending.end()) {
    return *Found;
  }
  if (Pending.size() == MaxPendingCheckpoints) {
    Pending.pop_front();
  }
  Pending.push_back({Part, {}});
  return Pending.back();
}

auto addCheckpointPart(checkpoint_assembly &Assembly, const raw_record &Record)
    -> std::optional<config_state> {
  auto Decoded = decodeRecord(Record.Bytes);
  if (!isOk(Decoded)) {
    return std::nullopt;
  }
  auto *Part = std::get_if<checkpoint_part>(&valueOf(Decoded).Body);
  // A checkpoint is written after the records that its state covers.
  if (Part == nullptr || Part->Position >= Record.Offset) {
    return std::nullopt;
  }
  auto &Pending = findOrAddPending(Assembly, *Part);
  Pending.Parts.try_emplace(Part->Index, Part->Data);
  if (Pending.Parts.size() < Part->Count) {
    return std::nullopt;
  }
  auto Bytes = std::string();
  for (const auto &[Index, Data] : Pending.Parts) {
    Bytes += Data;
  }
  std::erase_if(Assembly.Pending, [&Pending](const auto &Candidate) {
    return &Candidate == &Pending;
  });
  if (hash64(Bytes) != Part->Hash) {
    return std::nullopt;
  }
  auto State = decodeState(Bytes);
  if (!isOk(State) || valueOf(State).Position != Part->Position ||
      checkState(valueOf(State))) {
    return std::nullopt;
  }
  return std::move(valueOf(State));
}

/** @return all complete and valid checkpoints, in log order. */
static auto completeCheckpoints(const std::vector<raw_record> &Records)
    -> std::vector<config_state> {
  auto Assembly = checkpoint_assembly();
  auto States = std::vector<config_state>();
  for (const auto &Record : Records) {
    if (auto State = addCheckpointPart(Assembly, Record)) {
      States.push_back(std::move(*State));
    }
  }
  return States;
}

auto newestCheckpoint(const std::vector<raw_record> &Records)
    -> std::optional<config_state> {
  auto States = completeCheckpoints(Records);
  auto Newest = std::max_element(States.begin(), States.end(),
                                 [](const auto &Left, const auto &Right) {
                                   return Left.Position < Right.Position;
                                 });
  if (Newest == States.end()) {
    return std::nullopt;
  }
  return std::move(*Newest);
}

/** @return the chain hash at the end of the log when replayed from a state. */
static auto chainHashAtEnd(const config_state &State,
                           const std::vector<raw_record> &Records)
    -> std::uint64_t {
  auto Hash = State.ChainHash;
  for (const auto &Record : Records) {
    if (Record.Offset > State.Position) {
      Hash = chainHash(Hash, Record.Offset, Record.Bytes);
    }
  }
  return Hash;
}

/** Chooses the newest state among those with the expected chain hash at the end
 * of the log. That is the hash of the first state, the empty one, if the log is
 * complete, and otherwise the most frequent hash.
 * @return the index of the state. */
static auto chooseRestoreState(const std::vector<config_state> &States,
                               const std::vector<raw_record> &Records,
                               bool HasFullLog) -> std::size_t {
  auto Hashes = std::vector<std::uint64_t>();
  for (const auto &State : States) {
    Hashes.push_back(chainHashAtEnd(State, Records));
  }
  auto CountEqual = [&Hashes](std::uint64_t Hash) {
    return std::count(Hashes.begin(), Hashes.end(), Hash);
  };
  auto Best = std::size_t{0};
  for (auto Index = std::size_t{1}; Index < States.size(); ++Index) {
    auto CountDifference = CountEqual(Hashes[Index]) - CountEqual(Hashes[Best]);
    auto IsNewer = States[Index].Position > States[Best].Position;
    auto HasSameHash = Hashes[Index] == Hashes[Best];
    if ((HasSameHash && IsNewer) ||
        (!HasFullLog && !HasSameHash &&
         (CountDifference > 0 || (CountDifference == 0 && IsNewer)))) {
      Best = Index;
    }
  }
  return Best;
}

auto restoreFromLog(const std::vector<raw_record> &Records)
    -> result<config_state> {
  if (Records.empty()) {
    return config_state();
  }
  auto First = Records.front().Offset.Value;
  auto States = std::vector<config_state>();
  auto HasFullLog = First == 1;
  if (HasFullLog) {
    States.emplace_back();
  }
  for (auto &State : completeCheckpoints(Records)) {
    if (State.Position.Value + 1 >= First) {
      States.push_back(std::move(State));
    }
  }
  if (States.empty()) {
    return error{error_code::NotFound, "restore from log", "",
                 "the log begins at offset " + std::to_string(First) +
                     " and holds no usable checkpoint"};
  }
  auto State =
      std::move(States[chooseRestoreState(States, Records, HasFullLog)]);
  for (const auto &Record : Records) {
    replayInto(State, Record.Offset, Record.Bytes);
  }
  return State;
}

} // namespace sycamorelb::config
