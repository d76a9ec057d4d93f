/** @file claim_writer.cpp Thread and inbox of the claims writer. */
#include "sycamorelb/claims/claim_writer.h"

#include "claims/partition_writer.h"
#include "sycamorelb/core/clock_func.h"
#include "sycamorelb/core/mutex.h"

#include <condition_variable>
#include <thread>

namespace sycamorelb::claims {

using claims_mutex = ranked_mutex<lock_rank::Claims>;

/// Longest sleep of the thread, which bounds the effect of a clock change.
static constexpr auto LongestSleep = micros{500'000};
/// Shortest sleep of the thread, so that it never spins.
static constexpr auto ShortestSleep = micros{1'000};

/** State of the writer. The thread owns Partitions and Stats; everything else
 * is guarded by Mutex. */
struct claim_writer::impl {
  claim_log Log;
  claim_writer_options Options;
  std::map<std::uint32_t, partition_state> Partitions;
  claim_writer_stats Stats;

  claims_mutex Mutex;
  std::condition_variable_any Wake;
  std::vector<waiting_claim> NewClaims;
  std::vector<claim_record> NewRecords;
  std::size_t Waiting = 0; ///< Claims accepted and not yet answered.
  std::uint64_t RefusedAtOnce = 0;
  claim_writer_stats Published; ///< Copy of Stats for readers.
  bool Stopping = false;
  std::thread Thread;

  auto context() -> partition_context { return {Log, Options, Stats}; }
  auto partition(const claim_key &Key) -> partition_state &;
  auto accept(waiting_claim Claim) -> bool;
  void acceptRecord(const claim_record &Record);
  void takeInbox();
  void sleep();
  void run();
  void publish();
};

auto claim_writer::impl::partition(const claim_key &Key) -> partition_state & {
  auto Number = partitionOf(Key);
  auto &State = Partitions[Number];
  State.Partition = Number;
  return State;
}

/** @return whether the claim was taken in; its answer is then called once. */
auto claim_writer::impl::accept(waiting_claim Claim) -> bool {
  if (Claim.Who.Node.Value.empty() ||
      Claim.Who.Node.Value.size() > MaxNodeBytes) {
    return false;
  }
  // The answer also frees the place of the caller.
  Claim.Answer = [this, Answer = std::move(Claim.Answer)](const auto &Value) {
    {
      auto Lock = std::scoped_lock(Mutex);
      --Waiting;
    }
    return Answer(Value);
  };
  {
    auto Lock = std::scoped_lock(Mutex);
    if (Stopping || Waiting >= Options.MaxWaiting) {
      ++RefusedAtOnce;
      return false;
    }
    ++Waiting;
    NewClaims.push_back(std::move(Claim));
  }
  Wake.notify_all();
  return true;
}

/** Takes in a release or completion; dropped when too many are waiting, which
 * leaves the claim in force until it expires. */
void claim_writer::impl::acceptRecord(const claim_record &Record) {
  constexpr auto MostRecords = std::size_t{16'384};
  auto IsComplete = Record.Action == claim_action::Complete;
  auto IsStatus = Record.Status >= 100 && Record.Status <= 599;
  if (IsComplete != IsStatus || Record.Who.Node.Value.empty() ||
      Record.Who.Node.Value.size() > MaxNodeBytes) {
    return;
  }
  {
    auto Lock = std::scoped_lock(Mutex);
    if (Stopping || NewRecords.size() >= MostRecords) {
      return;
    }
    NewRecords.push_back(Record);
  }
  Wake.notify_all();
}

/** Moves the requests of the inbox to their partitions. */
void claim_writer::impl::takeInbox() {
  auto Claims = std::vector<waiting_claim>();
  auto Records = std::vector<claim_record>();
  {
    auto Lock = std::scoped_lock(Mutex);
    Claims.swap(NewClaims);
    Records.swap(NewRecords);
  }
  for (auto &Claim : Claims) {
    auto &State = partition(Claim.Key);
    addClaim(State, context(), std::move(Claim));
  }
  for (const auto &Record : Records) {
    addRecord(partition(Record.Key), context(), Record);
  }
}

void claim_writer::impl::sleep() {
  auto Now = Options.SteadyNow();
  auto Next = Now + LongestSleep;
  for (const auto &[Number, State] : Partitions) {
    Next = std::min(Next, nextRun(State, context()));
  }
  auto Lock = std::unique_lock(Mutex);
  if (Stopping || !NewClaims.empty() || !NewRecords.empty()) {
    return;
  }
  Wake.wait_for(Lock, std::max(Next - Now, ShortestSleep));
}

void claim_writer::impl::publish() {
  Stats.Partitions = Partitions.size();
  Stats.Entries = 0;
  for (const auto &[Number, State] : Partitions) {
    Stats.Entries += State.Table ? State.Table->Entries.size() : 0;
  }
  auto Lock = std::scoped_lock(Mutex);
  Published = Stats;
}

void claim_writer::impl::run() {
  auto IsStopping = [this] {
    auto Lock = std::scoped_lock(Mutex);
    return Stopping;
  };
  while (!IsStopping()) {
    takeInbox();
    for (auto &[Number, State] : Partitions) {
      runPartition(State, context());
    }
    std::erase_if(Partitions, [this](const auto &Item) {
      return isUnused(Item.second, context());
    });
    publish();
    sleep();
  }
  takeInbox();
  for (auto &[Number, State] : Partitions) {
    refuseAll(State, context(), "the node is stopping");
  }
  publish();
}

claim_writer::claim_writer(claim_log Log, claim_writer_options Options)
    : Impl(std::make_unique<impl>()) {
  Impl->Log = std::move(Log);
  Impl->Options = std::move(Options);
  if (!Impl->Options.SteadyNow) {
    Impl->Options.SteadyNow = steadyNow;
  }
  if (!Impl->Options.WallNow) {
    Impl->Options.WallNow = wallNow;
  }
  Impl->Thread = std::thread([this] { Impl->run(); });
}

claim_writer::~claim_writer() {
  {
    auto Lock = std::scoped_lock(Impl->Mutex);
    Impl->Stopping = true;
  }
  Impl->Wake.notify_all();
  Impl->Thread.join();
}

namespace {

/** Meeting point of a blocked caller and the writer's thread. */
struct blocked_caller {
  std::mutex Mutex; ///< Innermost lock; nothing else is taken under it.
  std::condition_variable Ready;
  std::optional<claim_answer> Answer;
  bool HasLeft = false; ///< The caller returned at its deadline.
};

} // namespace

auto claim_writer::claim(const claim_key &Key, const claimant &Who,
                         steady_time Deadline) -> claim_answer {
  auto Caller = std::make_shared<blocked_caller>();
  auto Deliver = [Caller](const claim_answer &Answer) {
    auto Lock = std::scoped_lock(Caller->Mutex);
    if (Caller->HasLeft) {
      return false;
    }
    Caller->Answer = Answer;
    Caller->Ready.notify_one();
    return true;
  };
  if (!Impl->accept({Key, Who, Deadline, Deliver})) {
    return refused{"the claim was not taken in"};
  }
  auto Lock = std::unique_lock(Caller->Mutex);
  Caller->Ready.wait_for(Lock, Deadline - Impl->Options.SteadyNow(),
                         [&] { return Caller->Answer.has_value(); });
  if (Caller->Answer) {
    return *Caller->Answer;
  }
  Caller->HasLeft = true;
  return refused{"no answer by the deadline"};
}

void claim_writer::claimAsync(const claim_key &Key, const claimant &Who,
                              steady_time Deadline, answer_func Answer) {
  auto Deliver = [Answer = std::move(Answer)](const claim_answer &Value) {
    Answer(Value);
    return true;
  };
  if (!Impl->accept({Key, Who, Deadline, Deliver})) {
    Deliver(refused{"the claim was not taken in"});
  }
}

void claim_writer::release(const claim_key &Key, const claimant &Who) {
  Impl->acceptRecord({claim_action::Release, Key, Who, 0});
}

void claim_writer::complete(const claim_key &Key, const claimant &Who,
                            std::uint16_t Status) {
  Impl->acceptRecord({claim_action::Complete, Key, Who, Status});
}

auto claim_writer::stats() const -> claim_writer_stats {
  auto Lock = std::scoped_lock(Impl->Mutex);
  auto Stats = Impl->Published;
  Stats.Refused += Impl->RefusedAtOnce;
  return Stats;
}

} // namespace sycamorelb::claims
