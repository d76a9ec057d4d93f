/** @file claims_replay_test.cpp Replay of claims compared with a reference
 * model, and the property that several writers grant a key at most once. */
#include "claims/partition_writer.h"
#include "sycamorelb/core/random_func.h"

#include <criterion/criterion.h>
#include <map>
#include <rapidcheck.h>

using namespace sycamorelb;
using namespace sycamorelb::claims;

static auto makeKey(int Number) -> claim_key {
  return claimKey(service_id{"dues"}, "key-" + std::to_string(Number));
}

static auto makeClaimant(int Number) -> claimant {
  return {node_id{"n" + std::to_string(Number % 3)},
          incarnation{std::uint64_t(Number % 2)}, std::uint64_t(Number)};
}

static auto randomBatch(std::uint64_t MaxExpiredBelow) -> claim_batch {
  auto Batch = claim_batch{};
  Batch.WrittenAt.Value = *rc::gen::inRange(0, 1000);
  Batch.ExpiredBelow.Value =
      *rc::gen::inRange<std::uint64_t>(0, MaxExpiredBelow);
  auto Count = *rc::gen::inRange(0, 6);
  for (auto Index = 0; Index < Count; ++Index) {
    auto Action = claim_action(*rc::gen::inRange(0, 3));
    auto Status = std::uint16_t(Action == claim_action::Complete ? 200 : 0);
    Batch.Records.push_back({Action, makeKey(*rc::gen::inRange(0, 4)),
                             makeClaimant(*rc::gen::inRange(0, 5)), Status});
  }
  return Batch;
}

namespace {

/** Reference model of replay: a map that is scanned for expired claims. */
struct naive_table {
  struct entry {
    claimant Claimant;
    std::uint64_t Offset;
    int Status;
  };
  std::map<claim_key, entry> Held;

  void apply(std::uint64_t Offset, const claim_batch &Batch) {
    auto Below = std::min(Batch.ExpiredBelow.Value, Offset);
    std::erase_if(Held, [&](auto &Item) { return Item.second.Offset < Below; });
    for (const auto &Record : Batch.Records) {
      auto Found = Held.find(Record.Key);
      if (Record.Action == claim_action::Claim) {
        Held.try_emplace(Record.Key, entry{Record.Claimant, Offset, 0});
      } else if (Found != Held.end() &&
                 Found->second.Claimant == Record.Claimant &&
                 Found->second.Status == 0) {
        if (Record.Action == claim_action::Release) {
          Held.erase(Found);
        } else {
          Found->second.Status = Record.Status;
        }
      }
    }
  }
};

} // namespace

// Guards against releases by another attempt, missed expiry, changes by
// duplicate records, and an expiry queue that misses a claim made again after a
// release.
Test(claims_replay, agrees_with_a_naive_map_over_the_ordered_stream) {
  cr_assert(rc::check("replay equals naive", [] {
    auto Table = emptyTable({0});
    auto Naive = naive_table{};
    auto Count = *rc::gen::inRange<std::uint64_t>(1, 30);
    for (auto Offset = std::uint64_t{0}; Offset < Count; ++Offset) {
      auto Batch = randomBatch(Offset + 3);
      replayClaims(Table, {Offset}, Batch);
      replayClaims(Table, {Offset}, Batch);
      Naive.apply(Offset, Batch);
      RC_ASSERT(Table.Entries.size() == Naive.Held.size());
      for (const auto &[Key, Entry] : Naive.Held) {
        auto Answer = decide(Table, Key, Entry.Claimant);
        if (Entry.Status == 0) {
          RC_ASSERT(std::holds_alternative<granted>(Answer));
        } else {
          RC_ASSERT(std::get<held>(Answer).Status == Entry.Status);
        }
        RC_ASSERT(!std::holds_alternative<granted>(
            decide(Table, Key, makeClaimant(1'000))));
      }
    }
  }));
}

// Guards against an expiry queue that grows without bound under repeated claims
// and releases of the same key.
Test(claims_replay, memory_is_bounded_by_the_claims_in_force) {
  auto Table = emptyTable({0});
  for (auto Offset = 0; Offset < 50'000; ++Offset) {
    auto Claimant = makeClaimant(Offset);
    replayClaims(Table, {std::uint64_t(Offset)},
                 {{},
                  {},
                  {{claim_action::Claim, makeKey(1), Claimant, 0},
                   {claim_action::Release, makeKey(1), Claimant, 0}}});
  }
  cr_assert(Table.Entries.empty());
  cr_assert(Table.ExpiryQueue.size() < 2'000);
}

// Guards against accepting corrupt records: truncated batches, changed bytes,
// trailing bytes and random bytes are rejected; intact batches decode to the
// original.
Test(claims_codec, round_trip_and_strict_bounds) {
  cr_assert(rc::check("batch codec", [] {
    auto Batch = randomBatch(1'000);
    auto Bytes = encodeBatch(Batch);
    auto Decoded = decodeBatch(Bytes);
    RC_ASSERT(isOk(Decoded));
    RC_ASSERT(valueOf(Decoded) == Batch);
    auto At = *rc::gen::inRange<std::size_t>(0, Bytes.size());
    RC_ASSERT(!isOk(decodeBatch(std::string_view(Bytes).substr(0, At))));
    RC_ASSERT(!isOk(decodeBatch(Bytes + "x")));
    auto Changed = Bytes;
    Changed[At] = char(Changed[At] ^ *rc::gen::inRange(1, 256));
    RC_ASSERT(!isOk(decodeBatch(Changed)));
    auto RandomBytes = *rc::gen::arbitrary<std::string>();
    RC_ASSERT(!isOk(decodeBatch(RandomBytes)));
  }));
}

namespace {

/** One writer with a wall clock of its own. */
struct sim_writer {
  std::int64_t WallSkewMs = 0; ///< Difference of its wall clock, in ms.
  bool IsPaused = false;
  claim_writer_stats Stats;
  claim_writer_options Options;
  partition_state State;
};

/** Grant of a key. */
struct sim_grant {
  std::int64_t At;
};

/** Simulated log with lost responses, delayed and repeated appends, outages and
 * retention. */
struct sim_world {
  std::int64_t Now = 10'000; ///< Milliseconds.
  std::vector<stream_record> Records;
  std::vector<std::int64_t> AppendedAt;
  std::vector<std::string> Delayed; ///< Appends that take effect later.
  std::uint64_t First = 0;
  bool IsDown = false;
  int Fault = 0; ///< Fault of the next append; 0 for none.

  void store(const std::string &Bytes) {
    Records.push_back({{Records.size()}, Bytes});
    AppendedAt.push_back(Now);
  }

  auto append(const std::string &Bytes) -> append_result {
    auto Kind = std::exchange(Fault, 0);
    if (IsDown || Kind == 1) {
      return append_refused{};
    }
    if (Kind == 2) { // The request is lost.
      return append_unknown{};
    }
    if (Kind == 3) { // Takes effect later.
      Delayed.push_back(Bytes);
      return append_unknown{};
    }
    store(Bytes);
    if (Kind == 4) { // The response is lost.
      return append_unknown{};
    }
    if (Kind == 5) { // A duplicate takes effect later.
      Delayed.push_back(Bytes);
    }
    return appended{{Records.size() - 1}};
  }

  auto read(log_offset From) -> read_result {
    if (IsDown) {
      return read_failed{};
    }
    if (From.Value < First) {
      return read_trimmed{{First}};
    }
    auto Result = read_records{{First}, {Records.size()}, {}};
    auto End = std::min<std::uint64_t>(Records.size(), From.Value + 3);
    for (auto At = From.Value; At < End; ++At) {
      Result.Records.push_back(Records[At]);
    }
    return Result;
  }

  void trim(std::int64_t Retention) {
    while (First < Records.size() && AppendedAt[First] + Retention < Now) {
      ++First;
    }
  }
};

} // namespace

static constexpr auto SimTimeToLiveMs = std::int64_t{2'000};

static void startWriter(sim_writer &Writer, sim_world &World) {
  Writer.State = {};
  Writer.Options.TimeToLive = millis(SimTimeToLiveMs);
  Writer.Options.RetentionMargin = millis(500);
  Writer.Options.SteadyNow = [&World] {
    return steady_time(millis(World.Now));
  };
  Writer.Options.WallNow = [&World, &Writer] {
    return wall_ms{World.Now + Writer.WallSkewMs};
  };
}

/** Runs random events on three writers; checks that no key is granted twice
 * within the time to live.
 * @param Retention retention of the log, in ms.
 * @param IsPromised whether the writers know the retention.
 * @param Skew largest offset of a wall clock, in ms.
 */
static void simulate(std::int64_t Retention, bool IsPromised,
                     std::int64_t Skew) {
  auto World = sim_world{};
  auto Log = claim_log{
      [&](auto, const std::string &Bytes) { return World.append(Bytes); },
      [&](auto, log_offset From) { return World.read(From); }};
  auto Writers = std::array<sim_writer, 3>{};
  for (auto &Writer : Writers) {
    Writer.WallSkewMs = *rc::gen::inRange(-Skew, Skew);
    startWriter(Writer, World);
    Writer.Options.Retention = millis(IsPromised ? Retention : 0);
  }
  auto LastGrant = std::map<int, std::int64_t>(); // Calls that may have run.
  auto Attempt = 0;
  auto Events = *rc::gen::inRange(20, 250);
  for (auto Event = 0; Event < Events; ++Event) {
    auto Kind = *rc::gen::inRange(0, 16);
    auto &Writer = Writers[*rc::gen::inRange<std::size_t>(0, 3)];
    auto Context = partition_context{Log, Writer.Options, Writer.Stats};
    if (Kind < 5) {
      auto Key = *rc::gen::inRange(0, 2);
      auto Claimant = makeClaimant(++Attempt);
      auto CallEnd = *rc::gen::inRange(0, 4);
      auto Deadline = steady_time(millis(World.Now + 300));
      auto *State = &Writer.State;
      addClaim(
          Writer.State, Context,
          {makeKey(Key), Claimant, Deadline,
           [&, Key, Claimant, CallEnd, State](const claim_answer &Answer) {
             if (!std::holds_alternative<granted>(Answer)) {
               return true;
             }
             if (CallEnd == 0) {
               return false; // The caller has gone; the call doesn't run.
             }
             auto Found = LastGrant.find(Key);
             // RC_ASSERT evaluates both operands of || unless the
             // expression is in parentheses.
             RC_ASSERT((Found == LastGrant.end() ||
                        World.Now - Found->second >= SimTimeToLiveMs));
             LastGrant[Key] = World.Now;
             if (CallEnd == 1) { // The call was certainly not executed.
               LastGrant.erase(Key);
               State->PendingRecords.push_back(
                   {{claim_action::Release, makeKey(Key), Claimant, 0}, 0});
             }
             return true;
           }});
    } else if (Kind < 8) {
      World.Now += *rc::gen::inRange(1, 120);
    } else if (Kind == 8) {
      World.Now += *rc::gen::inRange<std::int64_t>(1, 2 * SimTimeToLiveMs);
    } else if (Kind == 9) {
      World.Fault = *rc::gen::inRange(1, 6);
    } else if (Kind == 10 && !World.Delayed.empty()) {
      World.store(World.Delayed.front());
      World.Delayed.erase(World.Delayed.begin());
    } else if (Kind == 11) {
      World.IsDown = !World.IsDown && *rc::gen::inRange(0, 2) == 0;
    } else if (Kind == 12) {
      Writer.IsPaused = !Writer.IsPaused;
    } else if (Kind == 13 && *rc::gen::inRange(0, 3) == 0) {
      refuseAll(Writer.State, Context, "restart");
      Writer.State = {};
    }
    World.trim(Retention);
    for (auto &Other : Writers) {
      if (!Other.IsPaused) {
        runPartition(Other.State, {Log, Other.Options, Other.Stats});
      }
    }
  }
}

// Guards against two grants of a key within the time to live, under lost,
// delayed and repeated appends, outages, pauses, restarts, trimmed records and
// wall clocks that differ by more than the margin.
Test(claims_writers, never_two_winners_within_the_time_to_live) {
  cr_assert(rc::check("one winner, promised retention",
                      [] { simulate(5'000, true, 100'000); }));
  cr_assert(rc::check("one winner, kept from the beginning",
                      [] { simulate(1'000'000, false, 100'000); }));
}

// Guards against a new writer that grants claims although the log has trimmed
// claims that have not expired.
Test(claims_writers, never_two_winners_when_the_log_keeps_too_little) {
  cr_assert(rc::check("one winner, short retention",
                      [] { simulate(800, false, 200); }));
}

// Guards against a reader that starts after trimmed records and grants a claim
// that lost for another reader.
Test(claims_replay, claims_after_trimmed_records_are_uncertain) {
  auto Batch = [](std::uint64_t Expired, claim_record Record) {
    return claim_batch{{}, {Expired}, {std::move(Record)}};
  };
  auto Late = emptyTable({10});
  auto Claim = [](int Claimant) {
    return claim_record{claim_action::Claim, makeKey(1), makeClaimant(Claimant),
                        0};
  };
  replayClaims(Late, {10}, Batch(0, Claim(1)));
  cr_assert(decide(Late, makeKey(1), makeClaimant(1)) == claim_answer(held{0}));
  replayClaims(Late, {11}, Batch(10, Claim(2)));
  replayClaims(Late, {12}, Batch(11, Claim(3)));
  cr_assert(decide(Late, makeKey(1), makeClaimant(3)) == claim_answer(held{0}));
  replayClaims(Late, {13}, Batch(13, Claim(4)));
  cr_assert(decide(Late, makeKey(1), makeClaimant(4)) ==
            claim_answer(granted{}));
}

// Guards against a table that grows without bound, or that grants claims after
// it has dropped some.
Test(claims_replay, an_overflowed_table_refuses_all_claims) {
  auto Table = emptyTable({0});
  for (auto Number = 0; Number <= int(MaxTableClaims); ++Number) {
    auto Key = claim_key{};
    std::memcpy(Key.Bytes.data(), &Number, sizeof Number);
    replayClaims(
        Table, {std::uint64_t(Number)},
        {{}, {}, {{claim_action::Claim, Key, makeClaimant(Number), 0}}});
  }
  cr_assert(Table.Entries.size() == MaxTableClaims);
  cr_assert(std::holds_alternative<refused>(
      decide(Table, claim_key{}, makeClaimant(0))));
}
