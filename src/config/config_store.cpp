/** @file config_store.cpp Snapshot swap and recent records. */
#include "sycamorelb/config/config_store.h"

#include "sycamorelb/core/mutex.h"

#include <atomic>
#include <deque>
#include <mutex>

namespace sycamorelb::config {

/** A record kept for peers. */
struct kept_record {
  raw_record Record;      ///< The record.
  std::uint64_t Hash = 0; ///< Chain hash after it.
};

using write_lock = std::scoped_lock<ranked_mutex<lock_rank::ConfigWrite>>;

struct config_store::impl {
  mutable ranked_mutex<lock_rank::ConfigWrite> Mutex; ///< Guards writers.
  std::atomic<snapshot_ptr> Current; ///< Swapped under Mutex, read without.
  std::deque<kept_record> Kept;      ///< Contiguous, up to the position.
  std::size_t KeptBytes = 0;         ///< Bytes of the records in Kept.
  chain_point Base;                  ///< Point before the first kept record.

  /** @return the chain hash at a position, if it is still known. */
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

  /** @return whether a record at or before the position differs from the one
   * that was replayed there. */
  auto contradicts(const raw_record &Record) const -> bool {
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
             const std::optional<chain_point> &End) -> delivery;
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

static auto refusal(delivery_kind Kind, std::string Reason) -> delivery {
  return {Kind, {}, std::move(Reason)};
}

/** Result of replaying a delivery on a copy of the state. */
struct trial {
  config_state State;             ///< State after the records.
  std::vector<kept_record> Fresh; ///< Records that were new.
  bool Changed = false;           ///< One of them was accepted.
};

/** Replays the records after the position.
 * @return a refusal, or the outcomes with the trial filled in. */
static auto replayFresh(const std::vector<raw_record> &Records, trial &Trial)
    -> delivery {
  auto Result = delivery{delivery_kind::Advanced, {}, ""};
  for (const auto &Record : Records) {
    if (Trial.Fresh.empty() && Record.Offset <= Trial.State.Position) {
      continue;
    }
    auto Outcome = replayInto(Trial.State, Record.Offset, Record.Bytes);
    if (Outcome.Kind == replay_kind::Ignored) {
      return refusal(delivery_kind::Gap,
                     "record " + std::to_string(Record.Offset.Value) +
                         " does not follow position " +
                         std::to_string(Trial.State.Position.Value));
    }
    Trial.Changed |= Outcome.Kind == replay_kind::Accepted;
    Result.Outcomes.push_back(std::move(Outcome));
    Trial.Fresh.push_back({Record, Trial.State.ChainHash});
  }
  return Result;
}

auto config_store::impl::apply(const std::vector<raw_record> &Records,
                               const std::optional<chain_point> &End)
    -> delivery {
  auto Lock = write_lock(Mutex);
  auto Before = Current.load();
  for (const auto &Record : Records) {
    if (contradicts(Record)) {
      return refusal(delivery_kind::Forked,
                     "record " + std::to_string(Record.Offset.Value) +
                         " differs from the one replayed");
    }
  }
  if (Records.empty() || Records.back().Offset <= Before->State.Position) {
    return refusal(delivery_kind::Known, "");
  }
  auto Trial = trial{Before->State, {}, false};
  auto Result = replayFresh(Records, Trial);
  if (Result.Kind != delivery_kind::Advanced) {
    return Result;
  }
  if (End && (Trial.State.Position != End->Position ||
              Trial.State.ChainHash != End->Hash)) {
    return refusal(delivery_kind::Corrupt,
                   "the records do not lead to the announced hash");
  }
  if (Trial.Changed) {
    if (auto Fault = checkState(Trial.State)) {
      return refusal(delivery_kind::Unsound, *Fault);
    }
  }
  for (auto &Record : Trial.Fresh) {
    keep(std::move(Record));
  }
  Current.store(makeSnapshot(std::move(Trial.State)));
  return Result;
}

auto config_store::apply(const std::vector<raw_record> &Records) -> delivery {
  return Impl->apply(Records, std::nullopt);
}

auto config_store::apply(const record_batch &Batch) -> delivery {
  return Impl->apply(Batch.Records, Batch.End);
}

/** @return a refusal when the state does not lie after the one in force. */
static auto checkOrder(const config_state &Own, const config_state &State,
                       std::optional<std::uint64_t> KnownHash)
    -> std::optional<delivery> {
  if (KnownHash && *KnownHash != State.ChainHash) {
    return refusal(delivery_kind::Forked,
                   "another chain hash at position " +
                       std::to_string(State.Position.Value));
  }
  if (State.Position < Own.Position) {
    return refusal(delivery_kind::Older,
                   "position " + std::to_string(State.Position.Value) +
                       " is before " + std::to_string(Own.Position.Value));
  }
  if (State.Position == Own.Position) {
    return refusal(delivery_kind::Known, "");
  }
  if (State.Version < Own.Version || State.DeclaredAt < Own.DeclaredAt) {
    return refusal(delivery_kind::Forked,
                   "a later position with an older version");
  }
  return std::nullopt;
}

auto config_store::adopt(config_state State) -> delivery {
  if (auto Fault = checkState(State)) {
    return refusal(delivery_kind::Unsound, *Fault);
  }
  auto Lock = write_lock(Impl->Mutex);
  auto Own = Impl->Current.load();
  if (auto Refusal =
          checkOrder(Own->State, State, Impl->hashAt(State.Position))) {
    return *Refusal;
  }
  Impl->Kept.clear();
  Impl->KeptBytes = 0;
  Impl->Base = {State.Position, State.ChainHash};
  Impl->Current.store(makeSnapshot(std::move(State)));
  return {delivery_kind::Advanced, {}, ""};
}

auto config_store::recordsAfter(const chain_point &After,
                                std::size_t MaxBytes) const
    -> std::variant<record_batch, no_records> {
  auto Lock = write_lock(Impl->Mutex);
  if (After.Position > Impl->Current.load()->State.Position) {
    return no_records::Unknown;
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
