/** @file config_store.cpp Current snapshot and recent records for peers. */
#include "sycamorelb/config/config_store.h"

#include "sycamorelb/core/mutex.h"

#include <atomic>
#include <deque>
#include <mutex>

namespace sycamorelb::config {

/** A record kept for peers. */
struct kept_record {
  raw_record Record;      ///< The record.
  std::uint64_t Hash = 0; ///< Chain hash after the record.
};

using write_lock = std::scoped_lock<ranked_mutex<lock_rank::ConfigWrite>>;

struct config_store::impl {
  mutable ranked_mutex<lock_rank::ConfigWrite> Mutex; ///< Serializes writers.
  std::atomic<snapshot_ptr> Current; ///< Stored under Mutex, loaded without it.
  std::deque<kept_record> Kept;      ///< Contiguous records up to the position.
  std::size_t KeptBytes = 0;         ///< Bytes of the records in Kept.
  chain_point Base; ///< Position and hash before the first kept record.

  /** @return the chain hash at a position if it is still known. */
  auto hashAt(log_offset Position) const -> std::optional<std::uint64_t> {
    if (Position == Base.Position) {
      return Base.Hash;
    }
    if (Position < Base.Position ||
        Position.Value - Base.Position.Value > Kept.size()) {
      return std::nullopt;
    }
    return Kept[Position.Value - Base.Position.Value - 1].Hash;
  }

  /** @return whether a record differs from the kept record at the same offset.
   */
  auto differsFromKept(const raw_record &Record) const -> bool {
    if (Record.Offset <= Base.Position ||
        Record.Offset.Value - Base.Position.Value > Kept.size()) {
      return false;
    }
    auto Index = Record.Offset.Value - Base.Position.Value - 1;
    return Kept[Index].Record.Bytes != Record.Bytes;
  }

  void keep(kept_record Record) {
    KeptBytes += Record.Record.Bytes.size();
    Kept.push_back(std::move(Record));
    while (Kept.size() > MaxKeptRecords ||
           (KeptBytes > MaxKeptBytes && Kept.size() > 1)) {
      Base = {Kept.front().Record.Offset, Kept.front().Hash};
      KeptBytes -= Kept.front().Record.Bytes.size();
      Kept.pop_front();
    }
  }

  auto apply(const std::vector<raw_record> &Records,
             const std::optional<chain_point> &End) -> update_result;
};

config_store::config_store() : Impl(std::make_unique<impl>()) {
  Impl->Current.store(makeSnapshot({}));
}

config_store::~config_store() = default;

auto config_store::current() const -> snapshot_ptr {
  return Impl->Current.load();
}

auto config_store::point() const -> chain_point {
  auto Snapshot = current();
  return {Snapshot->State.Position, Snapshot->State.ChainHash};
}

/** @return the result of an update that changed nothing. */
static auto unchanged(update_status Kind, std::string Reason) -> update_result {
  return {Kind, {}, std::move(Reason)};
}

/** Result of replaying records on a copy of the state. */
struct replay_attempt {
  config_state State;                  ///< State after the records.
  std::vector<kept_record> NewRecords; ///< Records after the previous position.
  bool Changed = false; ///< Whether one of the new records was accepted.
};

/** Replays the records after the position on the state of Attempt.
 * @return the outcomes, or the reason why nothing changes. */
static auto replayNewRecords(const std::vector<raw_record> &Records,
                             replay_attempt &Attempt) -> update_result {
  auto Result = update_result{update_status::Advanced, {}, ""};
  for (const auto &Record : Records) {
    if (Attempt.NewRecords.empty() && Record.Offset <= Attempt.State.Position) {
      continue;
    }
    auto Outcome = replayInto(Attempt.State, Record.Offset, Record.Bytes);
    if (Outcome.Kind == replay_kind::Ignored) {
      return unchanged(update_status::Gap,
                       "record " + std::to_string(Record.Offset.Value) +
                           " does not follow position " +
                           std::to_string(Attempt.State.Position.Value));
    }
    Attempt.Changed |= Outcome.Kind == replay_kind::Accepted;
    Result.Outcomes.push_back(std::move(Outcome));
    Attempt.NewRecords.push_back({Record, Attempt.State.ChainHash});
  }
  return Result;
}

auto config_store::impl::apply(const std::vector<raw_record> &Records,
                               const std::optional<chain_point> &End)
    -> update_result {
  auto Lock = write_lock(Mutex);
  auto Before = Current.load();
  for (const auto &Record : Records) {
    if (differsFromKept(Record)) {
      return unchanged(update_status::Forked,
                       "record " + std::to_string(Record.Offset.Value) +
                           " differs from the record replayed at that offset");
    }
  }
  if (Records.empty() || Records.back().Offset <= Before->State.Position) {
    return unchanged(update_status::AlreadyApplied, "");
  }
  auto Attempt = replay_attempt{Before->State, {}, false};
  auto Result = replayNewRecords(Records, Attempt);
  if (Result.Kind != update_status::Advanced) {
    return Result;
  }
  if (End && (Attempt.State.Position != End->Position ||
              Attempt.State.ChainHash != End->Hash)) {
    return unchanged(update_status::Corrupt,
                     "the records do not lead to the announced hash");
  }
  if (Attempt.Changed) {
    if (auto Fault = checkState(Attempt.State)) {
      return unchanged(update_status::Invalid, *Fault);
    }
  }
  for (auto &Record : Attempt.NewRecords) {
    keep(std::move(Record));
  }
  Current.store(makeSnapshot(std::move(Attempt.State)));
  return Result;
}

auto config_store::apply(const std::vector<raw_record> &Records)
    -> update_result {
  return Impl->apply(Records, std::nullopt);
}

auto config_store::apply(const record_batch &Batch) -> update_result {
  return Impl->apply(Batch.Records, Batch.End);
}

/** @return why the state cannot replace the current one: it is not newer, or it
 * contradicts the history of this node. */
static auto checkSuccessor(const config_state &Own, const config_state &State,
                           std::optional<std::uint64_t> KnownHash)
    -> std::optional<update_result> {
  if (KnownHash && *KnownHash != State.ChainHash) {
    return unchanged(update_status::Forked,
                     "chain hash mismatch at position " +
                         std::to_string(State.Position.Value));
  }
  if (State.Position < Own.Position) {
    return unchanged(update_status::Older,
                     "position " + std::to_string(State.Position.Value) +
                         " is before " + std::to_string(Own.Position.Value));
  }
  if (State.Position == Own.Position) {
    return unchanged(update_status::AlreadyApplied, "");
  }
  if (State.Version < Own.Version || State.DeclaredAt < Own.DeclaredAt) {
    return unchanged(update_status::Forked,
                     "the state has a later position but an older version");
  }
  return std::nullopt;
}

auto config_store::installState(config_state State) -> update_result {
  if (auto Fault = checkState(State)) {
    return unchanged(update_status::Invalid, *Fault);
  }
  auto Lock = write_lock(Impl->Mutex);
  auto Own = Impl->Current.load();
  if (auto Unchanged =
          checkSuccessor(Own->State, State, Impl->hashAt(State.Position))) {
    return *Unchanged;
  }
  Impl->Kept.clear();
  Impl->KeptBytes = 0;
  Impl->Base = {State.Position, State.ChainHash};
  Impl->Current.store(makeSnapshot(std::move(State)));
  return {update_status::Advanced, {}, ""};
}

auto config_store::recordsAfter(const chain_point &After,
                                std::size_t MaxBytes) const
    -> std::variant<record_batch, no_records> {
  auto Lock = write_lock(Impl->Mutex);
  if (After.Position > Impl->Current.load()->State.Position) {
    return no_records::PeerAhead;
  }
  auto Hash = Impl->hashAt(After.Position);
  if (!Hash) {
    return no_records::TooOld;
  }
  if (*Hash != After.Hash) {
    return no_records::Forked;
  }
  auto Batch = record_batch{{}, After};
  auto Bytes = std::size_t{0};
  auto Start = After.Position.Value - Impl->Base.Position.Value;
  for (auto Index = Start; Index < Impl->Kept.size(); ++Index) {
    const auto &Kept = Impl->Kept[Index];
    Bytes += Kept.Record.Bytes.size();
    if (Bytes > MaxBytes && !Batch.Records.empty()) {
      break;
    }
    Batch.Records.push_back(Kept.Record);
    Batch.End = {Kept.Record.Offset, Kept.Hash};
  }
  return Batch;
}

} // namespace sycamorelb::config
