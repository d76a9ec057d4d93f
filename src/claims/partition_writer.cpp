/** @file partition_writer.cpp Appends the claims of one partition, reads them
 * back and answers callers. */
#include "claims/partition_writer.h"

#include <algorithm>

namespace sycamorelb::claims {

/// Read marks per time to live. Claims expire up to one interval of marks late.
static constexpr auto MarksPerTimeToLive = 64;
/// Limit of releases and completions that wait for an append.
static constexpr auto MaxPendingRecords = std::size_t{8192};
/// Limit of refused attempts that are kept to release claims that take effect
/// later.
static constexpr auto MaxAbandoned = std::size_t{8192};
/// Failed appends after which a release or completion is dropped.
static constexpr auto MaxFailedAppends = 50U;
/// Largest age of the table for an answer without an append that another
/// attempt holds the key.
static constexpr auto MaxTableAge = millis{1000};
/// Delay after a failed append.
static constexpr auto AppendRetryDelay = millis{250};

static auto attemptKey(const claim_key &Key, const claimant &Claimant)
    -> attempt_key {
  return {Key, Claimant.Node, Claimant.Incarnation, Claimant.Attempt};
}

static auto markInterval(const partition_context &Context) -> micros {
  return micros(Context.Options.TimeToLive) / MarksPerTimeToLive;
}

auto knowsAllClaims(const partition_state &State,
                    const partition_context &Context) -> bool {
  const auto &Options = Context.Options;
  if (!State.Table || State.Table->Overflowed) {
    return false;
  }
  auto RequiredRetention = Options.TimeToLive + Options.RetentionMargin;
  if (State.Table->Start.Value == 0 || Options.Retention >= RequiredRetention) {
    return State.CaughtUp;
  }
  // WrittenAt of the oldest record isn't used: a delayed or repeated append may
  // take effect long after it was written.
  auto HasReadForTimeToLive =
      Options.SteadyNow() - State.FirstReadAt >= Options.TimeToLive;
  return State.CaughtUp && HasReadForTimeToLive;
}

/** @return the offset below which all claims are known to have expired. */
static auto expiredBelow(const partition_state &State,
                         const partition_context &Context) -> log_offset {
  if (!State.Table) {
    return {};
  }
  auto Below = State.Table->ExpiredBelow;
  if (knowsAllClaims(State, Context)) {
    Below = std::max(Below, State.Table->Start);
  }
  auto Oldest = Context.Options.SteadyNow() - Context.Options.TimeToLive;
  for (const auto &[ReadAt, Offset] : State.ReadMarks) {
    if (ReadAt > Oldest) {
      break;
    }
    Below = std::max(Below, Offset);
  }
  return Below;
}

static void answer(const partition_context &Context, const waiting_claim &Claim,
                   const claim_answer &Answer) {
  auto &Stats = Context.Stats;
  (std::holds_alternative<held>(Answer) ? Stats.Held : Stats.Refused) += 1;
  Claim.Answer(Answer);
}

static void abandon(partition_state &State, const partition_context &Context,
                    const attempt_key &Attempt) {
  if (State.Abandoned.size() < MaxAbandoned) {
    State.Abandoned.emplace(Attempt, Context.Options.SteadyNow());
  }
}

static void queueRelease(partition_state &State,
                         const partition_context &Context,
                         const waiting_claim &Claim) {
  ++Context.Stats.Abandoned;
  addRecord(State, Context,
            {claim_action::Release, Claim.Key, Claim.Claimant, 0});
}

/** Grants the claim. If the caller has gone or its deadline has passed, the
 * call doesn't run and the claim is released. */
static void answerGranted(partition_state &State,
                          const partition_context &Context,
                          const waiting_claim &Claim) {
  if (Context.Options.SteadyNow() >= Claim.Deadline) {
    answer(Context, Claim, refused{"granted after the deadline"});
  } else if (Claim.Answer(granted{})) {
    ++Context.Stats.Granted;
    return;
  }
  queueRelease(State, Context, Claim);
}

static void resolveClaim(partition_state &State,
                         const partition_context &Context,
                         const claim_record &Record) {
  auto Attempt = attemptKey(Record.Key, Record.Claimant);
  auto Answer = decide(*State.Table, Record.Key, Record.Claimant);
  auto IsGranted = std::holds_alternative<granted>(Answer);
  auto Found = State.Unconfirmed.find(Attempt);
  if (Found != State.Unconfirmed.end()) {
    auto Claim = std::move(Found->second);
    State.Unconfirmed.erase(Found);
    if (IsGranted && knowsAllClaims(State, Context)) {
      answerGranted(State, Context, Claim);
    } else if (IsGranted) {
      answer(Context, Claim, refused{"the partition is not fully replayed"});
      queueRelease(State, Context, Claim);
    } else {
      answer(Context, Claim, Answer);
    }
  } else if (State.Abandoned.contains(Attempt) && IsGranted) {
    queueRelease(State, Context, {Record.Key, Record.Claimant, {}, {}});
  }
}

static void replayRecord(partition_state &State,
                         const partition_context &Context,
                         const stream_record &Record) {
  if (Record.Offset < State.Table->Next) {
    return;
  }
  auto Batch = decodeBatch(Record.Bytes);
  if (!isOk(Batch)) {
    skipCorruptRecord(*State.Table, Record.Offset);
    return;
  }
  const auto &Value = valueOf(Batch);
  replayClaims(*State.Table, Record.Offset, Value);
  for (const auto &Item : Value.Records) {
    if (Item.Action == claim_action::Claim) {
      resolveClaim(State, Context, Item);
    }
  }
}

/** Restarts replay at an offset with an empty table. Waiting callers are kept,
 * because their claims may still be read. */
static void restartReplay(partition_state &State,
                          const partition_context &Context, log_offset Start) {
  State.Table = emptyTable(Start);
  State.CaughtUp = false;
  State.ReadMarks.clear();
  State.FirstReadAt = Context.Options.SteadyNow();
}

static void recordRead(partition_state &State,
                       const partition_context &Context) {
  auto Now = Context.Options.SteadyNow();
  State.LastReadAt = Now;
  if (State.ReadMarks.empty() ||
      Now - State.ReadMarks.back().first >= markInterval(Context)) {
    State.ReadMarks.emplace_back(Now, State.Table->Next);
  }
  // Only the newest mark older than a time to live is needed.
  while (State.ReadMarks.size() > 1 &&
         Now - State.ReadMarks[1].first >= Context.Options.TimeToLive) {
    State.ReadMarks.pop_front();
  }
}

/** @return whether the read made progress and more may follow. */
static auto readOnce(partition_state &State, const partition_context &Context)
    -> bool {
  auto From = State.Table ? State.Table->Next : log_offset{0};
  auto Result = Context.Log.Read(State.Partition, From);
  if (auto *Trimmed = std::get_if<read_trimmed>(&Result)) {
    restartReplay(State, Context, Trimmed->First);
    return true;
  }
  auto *Read = std::get_if<read_records>(&Result);
  if (Read == nullptr) {
    State.NextReadAt =
        Context.Options.SteadyNow() + Context.Options.ReadRetryDelay;
    return false;
  }
  if (!State.Table || From < Read->First) {
    restartReplay(State, Context, Read->First);
  }
  auto Before = State.Table->Next;
  for (const auto &Record : Read->Records) {
    replayRecord(State, Context, Record);
  }
  State.CaughtUp = Read->Records.empty() || State.Table->Next >= Read->Next;
  recordRead(State, Context);
  if (State.Table->Overflowed) {
    refuseAll(State, Context, "the table of the partition overflowed");
  }
  return State.Table->Next > Before && !State.CaughtUp;
}

static void readBack(partition_state &State, const partition_context &Context) {
  constexpr auto MaxReads = 64; // Leaves time for the other partitions.
  for (auto Count = 0; Count < MaxReads && readOnce(State, Context); ++Count) {
  }
  auto Now = Context.Options.SteadyNow();
  if (State.NextReadAt <= Now) {
    State.NextReadAt = Now + Context.Options.AppendInterval;
  }
}

void addClaim(partition_state &State, const partition_context &Context,
              waiting_claim Claim) {
  auto Now = Context.Options.SteadyNow();
  State.LastRequestAt = Now;
  auto Attempt = attemptKey(Claim.Key, Claim.Claimant);
  if (State.Unconfirmed.contains(Attempt) ||
      State.Abandoned.contains(Attempt)) {
    answer(Context, Claim, refused{"the attempt was used before"});
    return;
  }
  if (State.PendingClaims.empty() && State.PendingRecords.empty()) {
    State.BatchStartedAt = Now;
  }
  State.PendingClaims.push_back(std::move(Claim));
}

void addRecord(partition_state &State, const partition_context &Context,
               const claim_record &Record) {
  auto Now = Context.Options.SteadyNow();
  State.LastRequestAt = Now;
  if (State.PendingClaims.empty() && State.PendingRecords.empty()) {
    State.BatchStartedAt = Now;
  }
  if (State.PendingRecords.size() < MaxPendingRecords) {
    State.PendingRecords.push_back({Record, 0});
  }
}

static void refuseExpired(partition_state &State,
                          const partition_context &Context) {
  auto Now = Context.Options.SteadyNow();
  std::erase_if(State.PendingClaims, [&](const waiting_claim &Claim) {
    if (Claim.Deadline <= Now) {
      answer(Context, Claim, refused{"not written by the deadline"});
      return true;
    }
    return false;
  });
  std::erase_if(State.Unconfirmed, [&](const auto &Item) {
    if (Item.second.Deadline <= Now) {
      abandon(State, Context, Item.first);
      answer(Context, Item.second, refused{"not found by the deadline"});
      return true;
    }
    return false;
  });
  std::erase_if(State.Abandoned, [&](const auto &Item) {
    return Now - Item.second >= Context.Options.TimeToLive;
  });
}

/** Answers a claim that needs no append: the key is held according to a recent
 * table, or the table is full.
 * @return whether the claim was answered. */
static auto answerWithoutAppend(const partition_state &State,
                                const partition_context &Context,
                                const waiting_claim &Claim,
                                log_offset ExpiredBelow) -> bool {
  const auto &Entries = State.Table->Entries;
  auto Found = Entries.find(Claim.Key);
  if (Found == Entries.end() || Found->second.LastOffset < ExpiredBelow) {
    if (Entries.size() + State.Unconfirmed.size() >=
        Context.Options.MaxEntries) {
      answer(Context, Claim, refused{"the partition has too many claims"});
      return true;
    }
    return false;
  }
  auto Age = Context.Options.SteadyNow() - State.LastReadAt;
  if (Age > MaxTableAge) {
    return false;
  }
  answer(Context, Claim, held{Found->second.Status});
  return true;
}

namespace {

/** A batch and the pending entries that it contains. */
struct built_batch {
  claim_batch Batch;      ///< To append.
  std::size_t Bytes = 64; ///< Upper bound of the encoded size.
  std::vector<pending_record> PendingRecords; ///< Requeued if the append fails.
  std::vector<attempt_key> Claims;            ///< Moved to Unconfirmed.

  /** Adds a record if it fits.
   * @return whether it was added. */
  auto add(const claim_record &Record) -> bool {
    if (Bytes + encodedSize(Record) > MaxBatchBytes) {
      return false;
    }
    Bytes += encodedSize(Record);
    Batch.Records.push_back(Record);
    return true;
  }
};

} // namespace

static auto buildBatch(partition_state &State, const partition_context &Context)
    -> built_batch {
  auto Built = built_batch{};
  Built.Batch.WrittenAt = Context.Options.WallNow();
  Built.Batch.ExpiredBelow = expiredBelow(State, Context);
  while (!State.PendingRecords.empty() &&
         Built.add(State.PendingRecords.front().Record)) {
    Built.PendingRecords.push_back(State.PendingRecords.front());
    State.PendingRecords.pop_front();
  }
  while (!State.PendingClaims.empty() && knowsAllClaims(State, Context)) {
    auto &Claim = State.PendingClaims.front();
    if (!answerWithoutAppend(State, Context, Claim, Built.Batch.ExpiredBelow)) {
      if (!Built.add({claim_action::Claim, Claim.Key, Claim.Claimant, 0})) {
        break;
      }
      auto Attempt = attemptKey(Claim.Key, Claim.Claimant);
      Built.Claims.push_back(Attempt);
      State.Unconfirmed.emplace(Attempt, std::move(Claim));
    }
    State.PendingClaims.pop_front();
  }
  return Built;
}

static void requeueRecords(partition_state &State, built_batch &Built) {
  for (auto Item = Built.PendingRecords.rbegin();
       Item != Built.PendingRecords.rend(); ++Item) {
    if (++Item->FailedAppends < MaxFailedAppends) {
      State.PendingRecords.push_front(*Item);
    }
  }
}

static void appendBatch(partition_state &State,
                        const partition_context &Context) {
  auto Built = buildBatch(State, Context);
  if (Built.Batch.Records.empty()) {
    return;
  }
  ++Context.Stats.Appends;
  auto Result = Context.Log.Append(State.Partition, encodeBatch(Built.Batch));
  auto Now = Context.Options.SteadyNow();
  State.BatchStartedAt = Now;
  State.NextAppendAt = Now + Context.Options.AppendInterval;
  State.NextReadAt = std::min(State.NextReadAt, Now);
  if (std::holds_alternative<appended>(Result)) {
    return;
  }
  State.NextAppendAt =
      Now + std::max(AppendRetryDelay, Context.Options.AppendInterval);
  requeueRecords(State, Built);
  if (std::holds_alternative<append_unknown>(Result)) {
    ++Context.Stats.Unknown;
    return;
  }
  for (const auto &Attempt : Built.Claims) {
    auto Node = State.Unconfirmed.extract(Attempt);
    if (!Node.empty()) {
      answer(Context, Node.mapped(), refused{"the log refused the append"});
    }
  }
}

static auto needsRead(const partition_state &State,
                      const partition_context &Context) -> bool {
  if (!State.Unconfirmed.empty()) {
    return true;
  }
  if (!State.PendingClaims.empty() && !knowsAllClaims(State, Context)) {
    return true;
  }
  // Periodic reads add read marks, without which claims don't expire.
  auto Now = Context.Options.SteadyNow();
  return State.Table && Now - State.LastReadAt >= markInterval(Context);
}

void runPartition(partition_state &State, const partition_context &Context) {
  refuseExpired(State, Context);
  auto Now = Context.Options.SteadyNow();
  if (needsRead(State, Context) && Now >= State.NextReadAt) {
    readBack(State, Context);
    Now = Context.Options.SteadyNow();
  }
  auto HasWork =
      !State.PendingRecords.empty() ||
      (!State.PendingClaims.empty() && knowsAllClaims(State, Context));
  if (HasWork && Now >= State.NextAppendAt &&
      Now - State.BatchStartedAt >= Context.Options.BatchDelay) {
    appendBatch(State, Context);
    if (!State.Unconfirmed.empty()) {
      readBack(State, Context);
    }
  }
  refuseExpired(State, Context);
}

void refuseAll(partition_state &State, const partition_context &Context,
               const std::string &Reason) {
  for (const auto &Claim : State.PendingClaims) {
    answer(Context, Claim, refused{Reason});
  }
  for (const auto &[Attempt, Claim] : State.Unconfirmed) {
    abandon(State, Context, Attempt);
    answer(Context, Claim, refused{Reason});
  }
  State.PendingClaims.clear();
  State.Unconfirmed.clear();
}

auto nextRunTime(const partition_state &State, const partition_context &Context)
    -> steady_time {
  auto Now = Context.Options.SteadyNow();
  auto Next = (State.Table ? State.LastReadAt : Now) + markInterval(Context);
  auto CanAppend = knowsAllClaims(State, Context);
  if (!State.Unconfirmed.empty() ||
      (!State.PendingClaims.empty() && !CanAppend)) {
    Next = std::min(Next, State.NextReadAt);
  }
  if (!State.PendingRecords.empty() ||
      (!State.PendingClaims.empty() && CanAppend)) {
    auto BatchReadyAt =
        State.BatchStartedAt + micros(Context.Options.BatchDelay);
    Next = std::min(Next, std::max(BatchReadyAt, State.NextAppendAt));
  }
  for (const auto &Claim : State.PendingClaims) {
    Next = std::min(Next, Claim.Deadline);
  }
  for (const auto &[Attempt, Claim] : State.Unconfirmed) {
    Next = std::min(Next, Claim.Deadline);
  }
  return Next;
}

auto isIdle(const partition_state &State, const partition_context &Context)
    -> bool {
  auto Idle = Context.Options.SteadyNow() - State.LastRequestAt;
  return State.PendingClaims.empty() && State.Unconfirmed.empty() &&
         State.PendingRecords.empty() && Idle >= Context.Options.IdleTimeout;
}

} // namespace sycamorelb::claims
