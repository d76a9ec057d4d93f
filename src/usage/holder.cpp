/** @file holder.cpp Decides which process sends the usage reports. */
#include "sycamorelb/usage/holder.h"

#include <algorithm>
#include <utility>

namespace sycamorelb::usage {

/** Time after the end of a window at which its report is composed: nodes send
 * their counts 100 ms after it, and their true times differ by less. */
static constexpr auto ComposeDelay = std::int64_t{1000};
/** Time after the end of a window without notice of it until the first
 * candidate takes over, and the further time for each rank. */
static constexpr auto TakeOverDelay = std::int64_t{2000};
static constexpr auto TakeOverDelayPerRank = std::int64_t{2000};
/** Time after the start of a process before it may take over. With a partial
 * view of the hosts every node would be its own first candidate. */
static constexpr auto StartDelay = micros(3'000'000);
/** Time beyond the wait of a new holder for its first notice. */
static constexpr auto NoticeMargin = micros(1'000'000);
/** Delay before a failed listing is repeated. */
static constexpr auto ListRetryDelay = micros(500'000);
/** Delay after a failed call to the platform; doubles up to 8 times. */
static constexpr auto InitialBackOff = micros(250'000);
static constexpr auto MaxBackOffShift = std::uint32_t{3};
/** Interval of steps above which messages may have waited in the sockets, and
 * the time to read them before a report is composed. */
static constexpr auto PauseThreshold = micros(1'000'000);
static constexpr auto ResumeDelay = micros(300'000);
/** Bits of the counter in a token. */
static constexpr auto CounterBits = 40U;
/** Range of the increments of the counter. A late append of an older era may
 * hide the counter of a newer record, so that increments of one could give two
 * processes the same token. */
static constexpr auto CounterSpread = std::uint64_t{4096};
/** Longest row of skipped windows that is counted; a first take-over after a
 * long stop of the deployment would count all windows of that time. */
static constexpr auto MaxCountedGap = std::int64_t{1000};

auto makeToken(store_era Era, std::uint64_t Counter) -> std::uint64_t {
  return (Era.Value << CounterBits) + Counter;
}

static auto counterOf(std::uint64_t Token) -> std::uint64_t {
  return Token & ((std::uint64_t{1} << CounterBits) - 1);
}

static auto leaseOf(const holder_state &State) -> micros {
  return State.Settings.Lease;
}

/** @return the time from the listing of a new holder until the last act of the
 * holder before it, plus the lease. */
static auto changeTime(const holder_state &State) -> micros {
  return leaseOf(State) * 3 / 2;
}

static auto dueTime(const holder_state &State, std::int64_t Window)
    -> std::int64_t {
  return windowEnd(Window, State.Settings.Window) + State.Settings.Late.count();
}

static auto asHolder(const usage_record &Record) -> inner::usage_holder {
  return {Record.Node, Record.Process, Record.Token, Record.Era, Record.Window};
}

/** Removes a report that will not be sent any more. */
static void countAbandoned(holder_state &State, const open_report &Report) {
  ++(Report.Attempts > 0 ? State.Totals.Uncertain : State.Totals.Missed);
}

/** Ends the role of this process. */
static void stopHolding(holder_state &State, steady_time ReentryAt) {
  for (const auto &Report : State.Open) {
    countAbandoned(State, Report);
  }
  State.Open.clear();
  State.Pending.reset();
  State.Stage = holder_stage::Idle;
  State.ReentryAt = std::max(State.ReentryAt, ReentryAt);
}

auto mayAct(const holder_state &State, steady_time Now) -> bool {
  return State.Stage == holder_stage::Holding && State.Own &&
         State.Own->Era == State.Era && Now >= State.ActFrom &&
         Now - State.HeldFrom < leaseOf(State) / 2;
}

void observeEra(holder_state &State, store_era Era,
                const holder_inputs &Inputs) {
  if (Era <= State.Era) {
    return;
  }
  State.Era = Era;
  State.EraSeenAt = Inputs.Now;
  if (State.Stage == holder_stage::Holding ||
      State.Stage == holder_stage::Claiming) {
    stopHolding(State, Inputs.Now);
    State.RewriteDue = true;
  }
}

/** Records a holder told by a notice or a record.
 * @return whether its token wasn't known. */
static auto noteHolder(holder_state &State, const inner::usage_holder &Holder,
                       steady_time Now) -> bool {
  State.MaxCounter = std::max(State.MaxCounter, counterOf(Holder.Token));
  if (State.Known && Holder.Token < State.Known->Token) {
    return false;
  }
  auto IsNew = !State.Known || Holder.Token > State.Known->Token;
  State.KnownWindow = std::max(State.KnownWindow, Holder.Window);
  if (IsNew || Holder.Window > State.Known->Window) {
    State.Known = Holder;
  }
  auto IsOwn = Holder.Node == State.Settings.Node &&
               Holder.Process == State.Settings.Process;
  if (IsNew && !IsOwn) {
    State.ReentryAt =
        std::max(State.ReentryAt, Now + changeTime(State) + NoticeMargin);
  }
  return IsNew && !IsOwn;
}

void observeHolder(holder_state &State, const inner::usage_holder &Holder,
                   const holder_inputs &Inputs) {
  observeEra(State, Holder.Era, Inputs);
  if (noteHolder(State, Holder, Inputs.Now) &&
      State.Stage == holder_stage::Holding) {
    stopHolding(State, Inputs.Now + changeTime(State));
  }
}

/** Appends the pending record, for the first time or again. */
static void sendPending(holder_state &State, steady_time Now,
                        holder_actions &Actions) {
  State.Pending->SentAt = Now;
  State.Pending->Answered = false;
  State.AppendInProgress = true;
  Actions.emplace_back(append_action{State.Pending->Record, State.Pending->At});
}

static void beginAppend(holder_state &State, usage_record Record,
                        steady_time Now, holder_actions &Actions) {
  State.Pending = pending_append{std::move(Record), State.End, Now, false};
  sendPending(State, Now, Actions);
}

/** @return the record with which this process takes over. It keeps the last
 * record's counts only if no rewind can have hidden others of its window. */
static auto claimRecord(const holder_state &State,
                        const std::optional<usage_record> &Newest)
    -> usage_record {
  auto Record = usage_record();
  const auto &Own = State.Own;
  if (Newest && Newest->Era == State.Era) {
    Record = *Newest;
  } else if (Own && (!Newest || Own->Window >= Newest->Window)) {
    // Acknowledged in its era, so no other counts of its window exist.
    Record = *Own;
  } else if (Newest) {
    Record.Window = Newest->Window;
  }
  Record.Node = State.Settings.Node;
  Record.Process = State.Settings.Process;
  Record.Era = State.Era;
  Record.Token =
      makeToken(State.Era, State.MaxCounter + 1 +
                               State.Settings.Process.Value % CounterSpread);
  return Record;
}

/** Decides after the listing of a take-over. */
static void claim(holder_state &State, const list_answer &Answer,
                  const holder_inputs &Inputs, holder_actions &Actions) {
  const auto &Newest = Answer.Newest;
  State.Stage = holder_stage::Idle;
  State.RewriteDue = false;
  if (Newest) {
    auto WindowBefore = State.KnownWindow;
    auto IsNewHolder = noteHolder(State, asHolder(*Newest), Inputs.Now);
    auto IsOther = Newest->Node != State.Settings.Node ||
                   Newest->Process != State.Settings.Process;
    if (IsNewHolder || (IsOther && Newest->Window > WindowBefore)) {
      return;
    }
  }
  // A record of an older era may hide newer ones that a rewind took away.
  auto IsSameEra = Newest && Newest->Era == State.Era;
  State.FloorAt = std::max(
      {State.FloorAt, State.EraSeenAt, IsSameEra ? steady_time() : Inputs.Now});
  State.ListedAt = Inputs.Now;
  State.End = Answer.End;
  State.Stage = holder_stage::Claiming;
  beginAppend(State, claimRecord(State, Newest), Inputs.Now, Actions);
}

/** Applies the success of the pending append. */
static void acceptPending(holder_state &State, const holder_inputs &Inputs,
                          holder_actions &Actions) {
  auto Pending = *std::exchange(State.Pending, std::nullopt);
  auto &Record = Pending.Record;
  auto IsClaim = State.Stage == holder_stage::Claiming;
  auto IsRenewal = State.Own == Record;
  State.HeldFrom = Pending.SentAt;
  State.End = {Pending.At.Value + 1};
  if (IsClaim) {
    auto NeedsLease = !State.Settings.FencingRequired || State.HasActed;
    State.Stage = holder_stage::Holding;
    State.ActFrom =
        State.ListedAt + (NeedsLease ? changeTime(State) : leaseOf(State) / 2);
  }
  if (Record.HasCounts && !IsRenewal &&
      Inputs.TrueMillis < dueTime(State, Record.Window)) {
    State.Open.push_back({Record.Window, Record.Counts, 0});
  }
  noteHolder(State, asHolder(Record), Inputs.Now);
  if (!IsRenewal) {
    Actions.emplace_back(announce_action{asHolder(Record), IsClaim});
  }
  State.Own = std::move(Record);
}

auto handleAppended(holder_state &State, const append_answer &Answer,
                    const holder_inputs &Inputs) -> holder_actions {
  auto Actions = holder_actions();
  State.AppendInProgress = false;
  observeEra(State, Answer.Era, Inputs);
  if (!State.Pending) {
    return Actions;
  }
  if (Answer.Appended && Answer.Era == State.Pending->Record.Era &&
      Answer.End.Value == State.Pending->At.Value + 1) {
    acceptPending(State, Inputs, Actions);
  } else {
    State.Pending->Answered = true;
  }
  return Actions;
}

auto handleListed(holder_state &State, const list_answer &Answer,
                  const holder_inputs &Inputs) -> holder_actions {
  auto Actions = holder_actions();
  State.ListInProgress = false;
  if (!Answer.Ok || Answer.Era < State.Era) {
    State.ListRetryAt = Inputs.Now + ListRetryDelay;
    if (State.Stage == holder_stage::Listing) {
      State.Stage = holder_stage::Idle;
    }
    return Actions;
  }
  observeEra(State, Answer.Era, Inputs);
  if (State.Stage == holder_stage::Listing) {
    claim(State, Answer, Inputs, Actions);
    return Actions;
  }
  if (!State.Pending || !State.Pending->Answered) {
    return Actions;
  }
  auto &Pending = *State.Pending;
  if (Answer.End == Pending.At) {
    // It may still take effect later. The same record at the same place can't
    // be appended twice.
    State.ListedAt = Inputs.Now;
    sendPending(State, Inputs.Now, Actions);
  } else if (Answer.Newest == Pending.Record &&
             Answer.End.Value == Pending.At.Value + 1) {
    acceptPending(State, Inputs, Actions);
  } else {
    stopHolding(State, Inputs.Now + changeTime(State));
    if (Answer.Newest) {
      noteHolder(State, asHolder(*Answer.Newest), Inputs.Now);
    }
  }
  return Actions;
}

void handleSent(holder_state &State, send_outcome Outcome,
                const holder_inputs &Inputs) {
  State.SendInProgress = false;
  if (Outcome == send_outcome::NotSent) {
    for (auto &Report : State.Open) {
      Report.Attempts -= Report.Window == State.Sending.Window ? 1 : 0;
    }
    return;
  }
  auto Interval = micros(static_cast<std::int64_t>(
      2e6 / std::max(State.Settings.CallsPerSecond, 0.01)));
  auto Shift = std::min(State.Failures, MaxBackOffShift);
  State.NextSendAt = Inputs.Now + Interval;
  if (Outcome == send_outcome::Fenced) {
    if (State.Own && State.Own->Token == State.Sending.Token) {
      stopHolding(State, Inputs.Now + leaseOf(State));
    }
    return;
  }
  if (Outcome == send_outcome::Unknown) {
    State.NextSendAt += InitialBackOff * (1LL << Shift);
    ++State.Failures;
    return;
  }
  State.Failures = 0;
  auto Window = State.Sending.Window;
  auto IsLate = Inputs.TrueMillis > dueTime(State, Window);
  ++(IsLate ? State.Totals.Late : State.Totals.Sent);
  std::erase_if(State.Open, [Window](const open_report &Report) {
    return Report.Window == Window;
  });
}

/** Begins a take-over if this candidate's time has come. */
static void considerTakeOver(holder_state &State, const holder_inputs &Inputs,
                             holder_actions &Actions) {
  if (!Inputs.Rank || !Inputs.CanHold || State.ListInProgress ||
      State.AppendInProgress || Inputs.Now < State.ReentryAt ||
      Inputs.Now < State.ListRetryAt) {
    return;
  }
  auto Rank = static_cast<std::int64_t>(*Inputs.Rank);
  auto Delay = TakeOverDelay + TakeOverDelayPerRank * Rank;
  auto Overdue = windowAt(Inputs.TrueMillis - Delay, State.Settings.Window) - 1;
  auto Ready =
      State.StartedAt + StartDelay + micros(TakeOverDelayPerRank * Rank * 1000);
  if ((Overdue > State.KnownWindow && Inputs.Now >= Ready) ||
      State.RewriteDue) {
    State.Stage = holder_stage::Listing;
    State.ListInProgress = true;
    Actions.emplace_back(list_action{});
  }
}

/** Appends the record of the next window that is over.
 * @return whether it did. */
static auto compose(holder_state &State, const holder_inputs &Inputs,
                    const usage_ledger &Ledger, holder_actions &Actions)
    -> bool {
  auto Length = State.Settings.Window;
  auto Last = windowAt(Inputs.TrueMillis - ComposeDelay, Length) - 1;
  // The first window that begins at the floor or later.
  auto Floor = Inputs.TrueMillis - (Inputs.Now - State.FloorAt).count() / 1000;
  auto Next = std::max(State.Own->Window + 1, windowAt(Floor - 1, Length) + 1);
  while (Next <= Last && Inputs.TrueMillis >= dueTime(State, Next)) {
    // Closed form for a long row of windows.
    Next = std::max(
        Next + 1,
        windowAt(Inputs.TrueMillis - State.Settings.Late.count(), Length));
  }
  if (Next > Last) {
    return false;
  }
  if (State.Own->Window >= 0) {
    State.Totals.Missed += static_cast<std::uint64_t>(
        std::min(Next - State.Own->Window - 1, MaxCountedGap));
  }
  auto Record = *State.Own;
  Record.Window = Next;
  Record.HasCounts = true;
  Record.Counts = sumCounts(Ledger, Next);
  beginAppend(State, std::move(Record), Inputs.Now, Actions);
  return true;
}

/** Sends a report that is recorded, after a renewal of the record if that is
 * too old. */
static void sendNext(holder_state &State, const holder_inputs &Inputs,
                     holder_actions &Actions) {
  std::erase_if(State.Open, [&State, &Inputs](const open_report &Report) {
    auto IsOver =
        Inputs.TrueMillis >= dueTime(State, Report.Window) &&
        !(State.SendInProgress && State.Sending.Window == Report.Window);
    if (IsOver) {
      countAbandoned(State, Report);
    }
    return IsOver;
  });
  if (State.Open.empty() || State.SendInProgress || State.Pending ||
      Inputs.Now < State.ActFrom || Inputs.Now < State.NextSendAt) {
    return;
  }
  if (!mayAct(State, Inputs.Now)) {
    return beginAppend(State, *State.Own, Inputs.Now, Actions);
  }
  auto &Report = State.Open.front();
  ++Report.Attempts;
  State.SendInProgress = true;
  State.HasActed = true;
  State.Sending = {State.Own->Token, Report.Window, Report.Counts};
  Actions.emplace_back(State.Sending);
}

auto stepHolder(holder_state &State, const holder_inputs &Inputs,
                const usage_ledger &Ledger) -> holder_actions {
  auto Actions = holder_actions();
  auto IsFirst = State.LastTickAt == steady_time();
  auto Paused = !IsFirst && Inputs.Now - State.LastTickAt > PauseThreshold;
  State.LastTickAt = Inputs.Now;
  if (IsFirst) {
    State.StartedAt = Inputs.Now;
    State.EraSeenAt = Inputs.Now;
  }
  if (Paused) {
    State.ActFrom = std::max(State.ActFrom, Inputs.Now + ResumeDelay);
    State.ReentryAt = std::max(State.ReentryAt, Inputs.Now + ResumeDelay);
  }
  if (State.Stage == holder_stage::Idle) {
    considerTakeOver(State, Inputs, Actions);
    return Actions;
  }
  if (!Inputs.CanHold) {
    stopHolding(State, Inputs.Now + changeTime(State));
    return Actions;
  }
  if (State.Pending) {
    if (State.Pending->Answered && !State.ListInProgress &&
        Inputs.Now >= State.ListRetryAt) {
      State.ListInProgress = true;
      Actions.emplace_back(list_action{});
    }
    return Actions;
  }
  if (State.Stage == holder_stage::Holding &&
      (Inputs.Now < State.ActFrom ||
       !compose(State, Inputs, Ledger, Actions))) {
    sendNext(State, Inputs, Actions);
  }
  return Actions;
}

} // namespace sycamorelb::usage
