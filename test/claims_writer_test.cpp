/** @file claims_writer_test.cpp The claims writer, with its thread, on a faulty
 * log. Results don't depend on timing, except for timeouts of 10 s. */
#include "sycamorelb/claims/claim_writer.h"
#include "sycamorelb/core/clock_func.h"
#include "sycamorelb/core/random_func.h"

#include <atomic>
#include <criterion/criterion.h>
#include <map>
#include <mutex>
#include <set>
#include <thread>

using namespace sycamorelb;
using namespace sycamorelb::claims;

namespace {

/** Log of all partitions with seeded random faults. */
struct fake_log {
  std::mutex Mutex;
  std::map<std::uint32_t, std::vector<std::string>> Streams;
  random_source Random{11};
  std::atomic<bool> IsFaulty = false;
  std::atomic<bool> IsDown = false;

  void store(std::uint32_t Partition, const std::string &Bytes) {
    Streams[Partition].push_back(Bytes);
  }

  auto append(std::uint32_t Partition, const std::string &Bytes)
      -> append_result {
    if (IsDown) {
      return append_refused{};
    }
    auto Lock = std::scoped_lock(Mutex);
    auto Kind = IsFaulty ? randomBelow(Random, 6) : 0;
    if (Kind == 1) {
      return append_refused{};
    }
    if (Kind != 2) {
      store(Partition, Bytes);
    }
    if (Kind == 3) {
      store(Partition, Bytes);
    }
    if (Kind == 2 || Kind == 4) {
      return append_unknown{};
    }
    return appended{{Streams[Partition].size() - 1}};
  }

  auto read(std::uint32_t Partition, log_offset From) -> read_result {
    auto Lock = std::scoped_lock(Mutex);
    if (IsDown || (IsFaulty && randomBelow(Random, 4) == 0)) {
      return read_failed{};
    }
    const auto &Stream = Streams[Partition];
    auto Result = read_records{{0}, {Stream.size()}, {}};
    for (auto At = From.Value; At < Stream.size(); ++At) {
      Result.Records.push_back({{At}, Stream[At]});
    }
    return Result;
  }

  auto functions() -> claim_log {
    return {
        [this](auto Partition, const auto &Bytes) {
          return append(Partition, Bytes);
        },
        [this](auto Partition, auto From) { return read(Partition, From); }};
  }

  auto appends() -> std::size_t {
    auto Lock = std::scoped_lock(Mutex);
    auto Sum = std::size_t{0};
    for (const auto &[Partition, Stream] : Streams) {
      Sum += Stream.size();
    }
    return Sum;
  }
};

} // namespace

static auto deadlineIn(std::int64_t Millis) -> steady_time {
  return steadyNow() + micros(millis(Millis));
}

static auto makeKey(int Number) -> claim_key {
  return claimKey(service_id{"dues"}, std::to_string(Number));
}

static auto makeClaimant(int Number) -> claimant {
  return {node_id{"n1"}, incarnation{1}, std::uint64_t(Number)};
}

// Covers the paths without faults: a grant, a repeat while the call runs and
// after it completed, records of another attempt than the holder, and a grant
// after a release.
Test(claims_writer, grants_once_and_reports_the_first_outcome) {
  auto Log = fake_log{};
  auto Writer = claim_writer(Log.functions(), {});
  auto Key = makeKey(1);
  auto Is = [](const claim_answer &Answer, const claim_answer &Expected) {
    return Answer == Expected;
  };
  cr_assert(
      Is(Writer.claim(Key, makeClaimant(1), deadlineIn(10'000)), granted{}));
  cr_assert(
      Is(Writer.claim(Key, makeClaimant(2), deadlineIn(10'000)), held{0}));
  Writer.complete(Key, makeClaimant(2), 500); // Not the holder.
  Writer.release(Key, makeClaimant(2));       // Not the holder.
  Writer.complete(Key, makeClaimant(1), 201);
  auto Answer = claim_answer(held{0});
  for (auto Attempt = 3; Is(Answer, held{0}) && Attempt < 500; ++Attempt) {
    Answer = Writer.claim(Key, makeClaimant(Attempt), deadlineIn(10'000));
  }
  cr_assert(Is(Answer, held{201}));
  cr_assert(Is(Writer.claim(makeKey(2), makeClaimant(600), deadlineIn(10'000)),
               granted{}));
  Writer.release(makeKey(2), makeClaimant(600));
  Answer = held{0};
  for (auto Attempt = 601; Is(Answer, held{0}) && Attempt < 900; ++Attempt) {
    Answer =
        Writer.claim(makeKey(2), makeClaimant(Attempt), deadlineIn(10'000));
  }
  cr_assert(Is(Answer, granted{}));
}

// Guards against claims that are appended one by one, and more appends than the
// append interval allows.
Test(claims_writer, groups_claims_into_few_appends) {
  auto Log = fake_log{};
  auto Writer = claim_writer(Log.functions(), {});
  auto Answered = std::atomic<int>{0};
  auto Granted = std::atomic<int>{0};
  auto Start = steadyNow();
  for (auto Number = 0; Number < 2'000; ++Number) {
    Writer.claimAsync(makeKey(Number), makeClaimant(Number), deadlineIn(60'000),
                      [&](const claim_answer &Answer) {
                        Granted += std::holds_alternative<granted>(Answer);
                        ++Answered;
                      });
  }
  while (Answered < 2'000 && steadyNow() < Start + micros(millis(60'000))) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  auto Elapsed = steadyNow() - Start;
  cr_assert(Granted == 2'000);
  auto Allowed = Partitions * (std::size_t(Elapsed.count()) / 50'000 + 1);
  cr_assert(Log.appends() <= Allowed, "%zu appends", Log.appends());
}

// Guards against two grants of one key, and callers without an answer, when
// responses are lost, appends are repeated, reads fail and two writers compete.
Test(claims_writer, one_winner_with_faults_and_two_writers) {
  auto Log = fake_log{};
  Log.IsFaulty = true;
  auto Options = claim_writer_options{};
  Options.ReadRetryDelay = millis(5);
  auto One = claim_writer(Log.functions(), Options);
  auto Two = claim_writer(Log.functions(), Options);
  auto Attempts = std::atomic<int>{0};
  auto Mutex = std::mutex();
  auto Winners = std::map<int, int>();
  auto Threads = std::vector<std::thread>();
  for (auto Index = 0; Index < 8; ++Index) {
    Threads.emplace_back([&, Index] {
      for (auto Number = 0; Number < 12; ++Number) {
        auto &Writer = Index % 2 == 0 ? One : Two;
        auto Claimant = makeClaimant(++Attempts);
        auto Answer = Writer.claim(makeKey(Number), Claimant, deadlineIn(400));
        auto Lock = std::scoped_lock(Mutex);
        Winners[Number] += std::holds_alternative<granted>(Answer);
      }
    });
  }
  for (auto &Thread : Threads) {
    Thread.join();
  }
  for (const auto &[Number, Count] : Winners) {
    cr_assert(Count <= 1, "key %d was granted %d times", Number, Count);
  }
}

// Guards against callers that wait beyond their deadline during an outage of
// the log, and a writer that doesn't recover.
Test(claims_writer, refuses_during_an_outage_and_recovers) {
  auto Log = fake_log{};
  Log.IsDown = true;
  auto Writer = claim_writer(Log.functions(), {});
  auto Answer = Writer.claim(makeKey(1), makeClaimant(1), deadlineIn(100));
  cr_assert(std::holds_alternative<refused>(Answer));
  Log.IsDown = false;
  Answer = Writer.claim(makeKey(1), makeClaimant(2), deadlineIn(10'000));
  cr_assert(Answer == claim_answer(granted{}));
}

// A claim that takes effect after its caller was refused must be released.
// Guards against such a claim that blocks the key.
Test(claims_writer, releases_a_claim_found_after_its_deadline) {
  auto Log = fake_log{};
  auto Functions = Log.functions();
  auto HidesRecords = std::atomic<bool>{true};
  auto Read = Functions.Read;
  Functions.Read = [&](auto Partition, auto From) -> read_result {
    auto Result = Read(Partition, From);
    auto *Records = std::get_if<read_records>(&Result);
    if (HidesRecords && Records != nullptr && !Records->Records.empty()) {
      return read_failed{};
    }
    return Result;
  };
  auto Writer = claim_writer(Functions, {});
  auto Late = Writer.claim(makeKey(1), makeClaimant(1), deadlineIn(200));
  cr_assert(std::holds_alternative<refused>(Late));
  HidesRecords = false;
  auto Answer = claim_answer(held{0});
  for (auto Attempt = 2;
       Attempt < 200 && !std::holds_alternative<granted>(Answer); ++Attempt) {
    Answer = Writer.claim(makeKey(1), makeClaimant(Attempt), deadlineIn(5'000));
  }
  cr_assert(Answer == claim_answer(granted{}));
}

// Guards against waiting callers without an answer when a node stops, and more
// waiting callers than the limit.
Test(claims_writer, stopping_answers_all_callers) {
  auto Log = fake_log{};
  Log.IsDown = true;
  auto Answered = std::atomic<int>{0};
  {
    auto Options = claim_writer_options{};
    Options.MaxWaiting = 10;
    auto Writer = claim_writer(Log.functions(), Options);
    for (auto Number = 0; Number < 20; ++Number) {
      Writer.claimAsync(makeKey(Number), makeClaimant(Number),
                        deadlineIn(60'000), [&](const claim_answer &Answer) {
                          Answered += std::holds_alternative<refused>(Answer);
                        });
    }
    cr_assert(Answered == 10);
  }
  cr_assert(Answered == 20);
}

// Guards against idle partitions that stay in memory.
Test(claims_writer, drops_unused_partitions) {
  auto Log = fake_log{};
  auto Options = claim_writer_options{};
  Options.IdleTimeout = millis(200);
  auto Writer = claim_writer(Log.functions(), Options);
  auto Answer = Writer.claim(makeKey(1), makeClaimant(1), deadlineIn(10'000));
  cr_assert(Answer == claim_answer(granted{}));
  auto End = deadlineIn(10'000);
  auto Stats = Writer.stats();
  while ((Stats.Granted == 0 || Stats.Partitions > 0) && steadyNow() < End) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    Stats = Writer.stats();
  }
  cr_assert(Stats.Granted == 1 && Stats.Partitions == 0);
}
