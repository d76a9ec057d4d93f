/** @file partition_writer.cpp Writing, reading back and answering for one
 * partition. */
#include "claims/partition_writer.h"

#include <algorithm>

namespace sycamorelb::claims {

/// Marks per time to live; claims expire late by up to this part of it.
static constexpr auto MarksPerLife = 64;
/// Releases and completions that wait for the log.
static constexpr auto MaxOutgoing = std::size_t{8192};
/// Refused attempts remembered, to release a claim that appears later.
static constexpr auto MaxAbandoned = std::size_t{8192};
/// Failed appends after which a release or completion is given up.
static constexpr auto MaxFailures = 50U;
/// A claim lost to a holder is answered without an append when the table is
/// not older than this.
static constexpr auto FreshRead = millis{1000};
/// Pause after an append that failed.
static constexpr auto AppendRetry = millis{250};

static auto attemptKey(const claim_key &Key, const claimant &Who)
    -> attempt_key {
  return {Key, Who.Node, Who.Incarnation, Who.Attempt};
}

static auto markPeriod(const partition_context &Context) -> micros {
  return micros(Context.Options.TimeToLive) / MarksPerLife;
}

auto isComplete(const partition_state &State, const partition_context &Context)
    -> bool {
  const auto &Options = Context.Options;
  if (!State.Table || State.Table->Overflowed) {
    return false;
  }
  auto Life = Options.TimeToLive + Options.Margin;
  if (State.Table->Start.Value == 0 || Options.Retention >= Life) {
    return State.CaughtUp;
  }
  // The time in the oldest record kept proves nothing: a delayed or repeated
  // append may have taken effect long after it was written.
  auto HasWatched =
      Options.SteadyNow() - State.FirstReadAt >= Options.TimeToLive;
  return State.CaughtUp && HasWatched;
}

/** @return the offset below which all claims have expired. */
static auto expiredBelow(const partition_state &State,
                         const partition_context &Context) -> log_offset {
  if (!State.Table) {
    return {};
  }
  auto Below = State.Table->ExpiredBelow;
  if (isComplete(State, Context)) {
    Below = std::max(Below, State.Table->Start);
  }
  auto Oldest = Context.Options.SteadyNow() - Context.Options.TimeToLive;
  for (const auto &[ReadAt, Offset] : State.Marks) {
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
  addRecord(State, Context, {claim_action::Release, Claim.Key, Claim.Who, 0});
}

/** Grants unless the caller has gone or its deadline has passed; then nothing
 * runs and the claim is released. */
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
  auto Attempt = attemptKey(Record.Key, Record.Who);
  auto Answer = decide(*State.Table, Record.Key, Record.Who);
  auto IsGranted = std::holds_alternative<granted>(Answer);
  auto Found = State.Sent.find(Attempt);
  if (Found != State.Sent.end()) {
    auto Claim = std::move(Found->second);
    State.Sent.erase(Found);
    if (IsGranted && isComplete(State, Context)) {
      answerGranted(State, Context, Claim);
    } else if (IsGranted) {
      answer(Context, Claim, refused{"the partition is not fully replayed"});
      queueRelease(State, Context, Claim);
    } else {
      answer(Context, Claim, Answer);
    }
  } else if (State.Abandoned.contains(Attempt) && IsGranted) {
    queueRelease(State, Context, {Record.Key, Record.Who, {}, {}});
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
    skipRecord(*State.Table, Record.Offset);
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

/** Starts again from an offset; everything known is dropped. Waiting callers
 * stay, because their claims may still be read. */
static void restartAt(partition_state &State, const partition_context &Context,
                      log_offset Start) {
  State.Table = emptyTable(Start);
  State.CaughtUp = false;
  State.Marks.clear();
  State.FirstReadAt = Context.Options.SteadyNow();
}

static void noteRead(partition_state &State, const partition_context &Context) {
  auto Now = Context.Options.SteadyNow();
  State.LastReadAt = Now;
  if (State.Marks.empty() ||
      Now - State.Marks.back().first >= markPeriod(Context)) {
    State.Marks.emplace_back(Now, State.Table->Next);
  }
  // Of the marks older than a time to live only the newest is needed.
  while (State.Marks.size() > 1 &&
         Now - State.Marks[1].first >= Context.Options.TimeToLive) {
    State.Marks.pop_front();
  }
}

/** @return whether the read made progress and more may follow. */
static auto readOnce(partition_state &State, const partition_context &Context)
    -> bool {
  auto From = State.Table ? State.Table->Next : log_offset{0};
  auto Result = Context.Log.Read(State.Partition, From);
  if (auto *Trimmed = std::get_if<read_trimmed>(&Result)) {
    restartAt(State, Context, Trimmed->First);
    return true;
  }
  auto *Read = std::get_if<read_records>(&Result);
  if (Read == nullptr) {
    State.ReadAfter = Context.Options.SteadyNow() + Context.Options.ReadRetry;
    return false;
  }
  if (!State.Table || From < Read->First) {
    restartAt(State, Context, Read->First);
  }
  auto Before = State.Table->Next;
  for (const auto &Record : Read->Records) {
    replayRecord(State, Context, Record);
  }
  State.CaughtUp = Read->Records.empty() || State.Table->Next >= Read->Next;
  noteRead(State, Context);
  if (State.Table->Overflowed) {
    refuseAll(State, Context, "the table of the partition overflowed");
  }
  return State.Table->Next > Before && !State.CaughtUp;
}

static void readBack(partition_state &State, const partition_context &Context) {
  constexpr auto MostReads = 64; // Leaves time to the other partitions.
  for (auto Count = 0; Count < MostReads && readOnce(State, Context); ++Count) {
  }
  auto Now = Context.Options.SteadyNow();
  if (State.ReadAfter <= Now) {
    State.ReadAfter = Now + Context.Options.AppendInterval;
  }
}

void addClaim(partition_state &State, const partition_context &Context,
              waiting_claim Claim) {
  auto Now = Context.Options.SteadyNow();
  State.LastUsed = Now;
  auto Attempt = attemptKey(Claim.Key, Claim.Who);
  if (State.Sent.contains(Attempt) || State.Abandoned.contains(Attempt)) {
    answer(Context, Claim, refused{"the attempt was used before"});
    return;
  }
  if (State.Queue.empty() && State.Outgoing.empty()) {
    State.GroupSince = Now;
  }
  State.Queue.push_back(std::move(Claim));
}

void addRecord(partition_state &State, const partition_context &Context,
               const claim_record &Record) {
  auto Now = Context.Options.SteadyNow();
  State.LastUsed = Now;
  if (State.Queue.empty() && State.Outgoing.empty()) {
    State.GroupSince = Now;
  }
  if (State.Outgoing.size() < MaxOutgoing) {
    State.Outgoing.push_back({Record, 0});
  }
}

static void refuseLate(partition_state &State,
                       const partition_context &Context) {
  auto Now = Context.Options.SteadyNow();
  std::erase_if(State.Queue, [&](const waiting_claim &Claim) {
    if (Claim.Deadline <= Now) {
      answer(Context, Claim, refused{"not written by the deadline"});
      return true;
    }
    return false;
  });
  std::erase_if(State.Sent, [&](const auto &Item) {
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

/** Answers a claim whose key is held in a fresh table without an append. */
static auto answerFromTable(const partition_state &State,
                            const partition_context &Context,
                            const waiting_claim &Claim, log_offset Expired)
    -> bool {
  const auto &Entries = State.Table->Entries;
  auto Found = Entries.find(Claim.Key);
  if (Found == Entries.end() || Found->second.Last < Expired) {
    if (Entries.size() + State.Sent.size() >= Context.Options.MaxEntries) {
      answer(Context, Claim, refused{"the partition has too many claims"});
      return true;
    }
    return false;
  }
  auto Age = Context.Options.SteadyNow() - State.LastReadAt;
  if (Age > FreshRead) {
    return false;
  }
  answer(Context, Claim, held{Found->second.Status});
  return true;
}

namespace {

/** A batch with the entries it was made from. */
struct built_batch {
  claim_batch Batch;                     ///< To append.
  std::size_t Bytes = 64;                ///< Encoded size, at most.
  std::vector<outgoing_record> Outgoing; ///< Put back when the append fails.
  std::vector<attempt_key> Claims;       ///< Moved to Sent.

  /** @return whether the record fits. */
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
  while (!State.Outgoing.empty() && Built.add(State.Outgoing.front().Record)) {
    Built.Outgoing.push_back(State.Outgoing.front());
    State.Outgoing.pop_front();
  }
  while (!State.Queue.empty() && isComplete(State, Context)) {
    auto &Claim = State.Queue.front();
    if (!answerFromTable(State, Context, Claim, Built.Batch.ExpiredBelow)) {
      if (!Built.add({claim_action::Claim, Claim.Key, Claim.Who, 0})) {
        break;
      }
      auto Attempt = attemptKey(Claim.Key, Claim.Who);
      Built.Claims.push_back(Attempt);
      State.Sent.emplace(Attempt, std::move(Claim));
    }
    State.Queue.pop_front();
  }
  return Built;
}

static void putBack(partition_state &State, built_batch &Built) {
  for (auto Item = Built.Outgoing.rbegin(); Item != Built.Outgoing.rend();
       ++Item) {
    if (++Item->Failures < MaxFailures) {
      State.Outgoing.push_front(*Item);
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
  State.GroupSince = Now;
  State.AppendAfter = Now + Context.Options.AppendInterval;
  State.ReadAfter = std::min(State.ReadAfter, Now);
  if (std::holds_alternative<appended>(Result)) {
    return;
  }
  State.AppendAfter =
      Now + std::max(AppendRetry, Context.Options.AppendInterval);
  putBack(State, Built);
  if (std::holds_alternative<append_unknown>(Result)) {
    ++Context.Stats.Unknown;
    return;
  }
  for (const auto &Attempt : Built.Claims) {
    auto Node = State.Sent.extract(Attempt);
    if (!Node.empty()) {
      answer(Context, Node.mapped(), refused{"the log refused the append"});
    }
  }
}

static auto needsRead(const partition_state &State,
                      const partition_context &Context) -> bool {
  if (!State.Sent.empty()) {
    return true;
  }
  if (!State.Queue.empty() && !isComplete(State, Context)) {
    return true;
  }
  // Reading now and then keeps the marks recent, so that claims expire.
  auto Now = Context.Options.SteadyNow();
  return State.Table && Now - State.LastReadAt >= markPeriod(Context);
}

void runPartition(partition_state &State, const partition_context &Context) {
  refuseLate(State, Context);
  auto Now = Context.Options.SteadyNow();
  if (needsRead(State, Context) && Now >= State.ReadAfter) {
    readBack(State, Context);
    Now = Context.Options.SteadyNow();
  }
  auto HasWork = !State.Outgoing.empty() ||
                 (!State.Queue.empty() && isComplete(State, Context));
  if (HasWork && Now >= State.AppendAfter &&
      Now - State.GroupSince >= Context.Options.GroupTime) {
    appendBatch(State, Context);
    if (!State.Sent.empty()) {
      readBack(State, Context);
    }
  }
  refuseLate(State, Context);
}

void refuseAll(partition_state &State, const partition_context &Context,
               const std::string &Reason) {
  for (const auto &Claim : State.Queue) {
    answer(Context, Claim, refused{Reason});
  }
  for (const auto &[Attempt, Claim] : State.Sent) {
    abandon(State, Context, Attempt);
    answer(Context, Claim, refused{Reason});
  }
  State.Queue.clear();
  State.Sent.clear();
}

auto nextRun(const partition_state &State, const partition_context &Context)
    -> steady_time {
  auto Now = Context.Options.SteadyNow();
  auto Next = (State.Table ? State.LastReadAt : Now) + markPeriod(Context);
  auto CanAppend = isComplete(State, Context);
  if (!State.Sent.empty() || (!State.Queue.empty() && !CanAppend)) {
    Next = std::min(Next, State.ReadAfter);
  }
  if (!State.Outgoing.empty() || (!State.Queue.empty() && CanAppend)) {
    auto Group = State.GroupSince + micros(Context.Options.GroupTime);
    Next = std::min(Next, std::max(Group, State.AppendAfter));
  }
  for (const auto &Claim : State.Queue) {
    Next = std::min(Next, Claim.Deadline);
  }
  for (const auto &[Attempt, Claim] : State.Sent) {
    Next = std::min(Next, Claim.Deadline);
  }
  return Next;
}

auto isUnused(const partition_state &State, const partition_context &Context)
    -> bool {
  auto Idle = Context.Options.SteadyNow() - State.LastUsed;
  return State.Queue.empty() && State.Sent.empty() && State.Outgoing.empty() &&
         Idle >= Context.Options.UnusedAfter;
}

} // namespace sycamorelb::claims
