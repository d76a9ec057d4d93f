/** @file claim_writer.cpp Thread and request queues of the claims writer. */
#include "sycamorelb/claims/claim_writer.h"

#include "claims/partition_writer.h"
#include "sycamorelb/core/clock_func.h"
#include "sycamorelb/core/mutex.h"

#include <condition_variable>
#include <thread>

namespace sycamorelb::claims {

using claims_mutex = ranked_mutex<lock_rank::Claims>;

/// Longest sleep of the thread; limits the effect of a clock change.
static constexpr auto MaxSleep = micros{500'000};
/// Shortest sleep of the thread; prevents a busy loop.
static constexpr auto MinSleep = micros{1'000};

/** State of the writer. Only the thread uses Partitions and Stats; Mutex guards
 * the queues, counters and flags below it. */
struct claim_writer::impl {
  claim_log Log;
  claim_writer_options Options;
  std::map<std::uint32_t, partition_state> Partitions;
  claim_writer_stats Stats;

  claims_mutex Mutex;
  std::condition_variable_any Wake;
  std::vector<waiting_claim> NewClaims;
  std::vector<claim_record> NewRecords;
  std::size_t WaitingClaims = 0; ///< Accepted claims without an answer.
  std::uint64_t RefusedOnArrival = 0;
  claim_writer_stats PublishedStats; ///< Copy of Stats for readers.
  bool Stopping = false;
  std::thread Thread;

  auto context() -> partition_context { return {Log, Options, Stats}; }
  auto partition(const claim_key &Key) -> partition_state &;
  auto enqueueClaim(waiting_claim Claim) -> bool;
  void enqueueRecord(const claim_record &Record);
  void takeNewRequests();
  void sleep();
  void run();
  void publishStats();
};

auto claim_writer::impl::partition(const claim_key &Key) -> partition_state & {
  auto Number = partitionOf(Key);
  auto &State = Partitions[Number];
  State.Partition = Number;
  return State;
}

/** @return whether the claim was accepted; its answer is then called once. */
auto claim_writer::impl::enqueueClaim(waiting_claim Claim) -> bool {
  if (Claim.Claimant.Node.Value.empty() ||
      Claim.Claimant.Node.Value.size() > MaxNodeBytes) {
    return false;
  }
  // The answer also decrements the count of waiting claims.
  Claim.Answer = [this, Answer = std::move(Claim.Answer)](const auto &Value) {
    {
      auto Lock = std::scoped_lock(Mutex);
      --WaitingClaims;
    }
    return Answer(Value);
  };
  {
    auto Lock = std::scoped_lock(Mutex);
    if (Stopping || WaitingClaims >= Options.MaxWaiting) {
      ++RefusedOnArrival;
      return false;
    }
    ++WaitingClaims;
    NewClaims.push_back(std::move(Claim));
  }
  Wake.notify_all();
  return true;
}

/** Queues a release or completion. It is dropped if the queue is full; the
 * claim then stays until it expires. */
void claim_writer::impl::enqueueRecord(const claim_record &Record) {
  constexpr auto MaxQueuedRecords = std::size_t{16'384};
  auto IsComplete = Record.Action == claim_action::Complete;
  auto IsValidStatus = Record.Status >= 100 && Record.Status <= 599;
  if (IsComplete != IsValidStatus || Record.Claimant.Node.Value.empty() ||
      Record.Claimant.Node.Value.size() > MaxNodeBytes) {
    return;
  }
  {
    auto Lock = std::scoped_lock(Mutex);
    if (Stopping || NewRecords.size() >= MaxQueuedRecords) {
      return;
    }
    NewRecords.push_back(Record);
  }
  Wake.notify_all();
}

/** Moves queued requests to their partitions. */
void claim_writer::impl::takeNewRequests() {
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
  auto Next = Now + MaxSleep;
  for (const auto &[Number, State] : Partitions) {
    Next = std::min(Next, nextRunTime(State, context()));
  }
  auto Lock = std::unique_lock(Mutex);
  if (Stopping || !NewClaims.empty() || !NewRecords.empty()) {
    return;
  }
  Wake.wait_for(Lock, std::max(Next - Now, MinSleep));
}

void claim_writer::impl::publishStats() {
  Stats.Partitions = Partitions.size();
  Stats.Entries = 0;
  for (const auto &[Number, State] : Partitions) {
    Stats.Entries += State.Table ? State.Table->Entries.size() : 0;
  }
  auto Lock = std::scoped_lock(Mutex);
  PublishedStats = Stats;
}

void claim_writer::impl::run() {
  auto IsStopping = [this] {
    auto Lock = std::scoped_lock(Mutex);
    return Stopping;
  };
  while (!IsStopping()) {
    takeNewRequests();
    for (auto &[Number, State] : Partitions) {
      runPartition(State, context());
    }
    std::erase_if(Partitions, [this](const auto &Item) {
      return isIdle(Item.second, context());
    });
    publishStats();
    sleep();
  }
  takeNewRequests();
  for (auto &[Number, State] : Partitions) {
    refuseAll(State, context(), "the node is stopping");
  }
  publishStats();
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

/** Shared by a blocked caller and the thread of the writer. */
struct blocked_caller {
  std::mutex Mutex; ///< Leaf lock; no other lock is taken under it.
  std::condition_variable Ready;
  std::optional<claim_answer> Answer;
  bool HasLeft = false; ///< The caller has returned at its deadline.
};

} // namespace

auto claim_writer::claim(const claim_key &Key, const claimant &Claimant,
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
  if (!Impl->enqueueClaim({Key, Claimant, Deadline, Deliver})) {
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

void claim_writer::claimAsync(const claim_key &Key, const claimant &Claimant,
                              steady_time Deadline, answer_func Answer) {
  auto Deliver = [Answer = std::move(Answer)](const claim_answer &Value) {
    Answer(Value);
    return true;
  };
  if (!Impl->enqueueClaim({Key, Claimant, Deadline, Deliver})) {
    Deliver(refused{"the claim was not taken in"});
  }
}

void claim_writer::release(const claim_key &Key, const claimant &Claimant) {
  Impl->enqueueRecord({claim_action::Release, Key, Claimant, 0});
}

void claim_writer::complete(const claim_key &Key, const claimant &Claimant,
                            std::uint16_t Status) {
  Impl->enqueueRecord({claim_action::Complete, Key, Claimant, Status});
}

auto claim_writer::stats() const -> claim_writer_stats {
  auto Lock = std::scoped_lock(Impl->Mutex);
  auto Stats = Impl->PublishedStats;
  Stats.Refused += Impl->RefusedOnArrival;
  return Stats;
}

} // namespace sycamorelb::claims
