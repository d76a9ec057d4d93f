/** @file config_replay_test.cpp Tests of replay and checkpoints. */
#include "config_fixture.h"
#include "sycamorelb/config/checkpoint_func.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <set>

using namespace sycamorelb;
using namespace sycamorelb::config;

/** Replays given records one by one and keeps the state. */
struct scenario {
  config_state State;

  auto run(const record &Record) -> replay_outcome {
    return replayInto(State, {State.Position.Value + 1}, encodeRecord(Record));
  }
  auto apply(const declaration &Target, const std::string &Id)
      -> replay_outcome {
    return run(makeApply(State, Target, {Id}, wall_ms{0}));
  }
  auto run(const std::string &Id, decltype(record::Body) Body)
      -> replay_outcome {
    return run({{Id}, wall_ms{0}, std::move(Body)});
  }
  auto active() const -> const std::string & {
    return State.Declared.Services.at({"roster"}).ActiveVersion.Value;
  }
};

static auto isAccepted(const replay_outcome &Outcome) -> bool {
  return Outcome.Kind == replay_kind::Accepted;
}

// Guards against a record that is applied in part, a position or hash that does
// not advance, and unresolved references in any reachable state.
Test(config_replay, rejected_records_leave_the_configuration_unchanged) {
  cr_assert(rc::check("refused records", [] {
    auto History = randomHistory(40);
    auto State = config_state();
    for (const auto &[Offset, Bytes] : History.Records) {
      auto [Next, Outcome] = replay(State, Offset, Bytes);
      RC_ASSERT(Next.Position == Offset);
      RC_ASSERT(Next.ChainHash != State.ChainHash);
      RC_ASSERT(!checkState(Next).has_value());
      if (Outcome.Kind != replay_kind::Accepted) {
        RC_ASSERT(Next.Declared == State.Declared);
        RC_ASSERT(Next.Moves == State.Moves);
        RC_ASSERT(Next.ZonesOutOfService == State.ZonesOutOfService);
        RC_ASSERT(Next.Version == State.Version);
      }
      RC_CLASSIFY(Outcome.Kind == replay_kind::Accepted, "accepted");
      State = Next;
    }
  }));
}

// Guards against crashes and invalid states on arbitrary and corrupt bytes.
Test(config_replay, arbitrary_bytes_are_rejected_as_a_whole) {
  cr_assert(rc::check("fuzz", [] {
    auto History = randomHistory(5);
    const auto &State = History.States.back();
    auto Bytes = *rc::gen::arbitrary<bool>()
                     ? *rc::gen::arbitrary<std::string>()
                     : corruptBytes(encodeRecord(randomBody(State)));
    auto Next = replay(State, {State.Position.Value + 1}, Bytes).Next;
    RC_ASSERT(!checkState(Next).has_value());
    RC_ASSERT(Next.Position.Value == State.Position.Value + 1);
  }));
}

// Guards against patches that abort the process: the JSON library asserts when
// a patch adds a value below a string.
Test(config_replay, malformed_patches_are_rejected) {
  auto Scenario = scenario();
  Scenario.apply(sampleDeclaration(), "a");
  for (const char *Patch :
       {R"([{"op":"add","path":"/zones/patan/region/x","value":1}])",
        R"([{"op":"add","path":"/routes/99","value":1}])",
        R"([{"op":"remove","path":""}])", R"([{"op":"move","path":"/x"}])",
        R"([{"op":"replace","path":"","value":null}])",
        R"([{"op":"copy","from":"","path":"/zones/self"}])",
        R"([{"op":"add","path":"no slash","value":1}])", R"([1])",
        R"([{"op":"add","path":5,"value":1}])", R"([{}])",
        R"([{"op":"remove","path":"/services/roster"}])",
        R"([{"op":"move","from":"/zones","path":"/zones/patan/x"}])"}) {
    auto Before = Scenario.State.Declared;
    auto Outcome = Scenario.run(std::string("id") + Patch,
                                apply_record{Scenario.State.Version, Patch});
    cr_expect(Outcome.Kind == replay_kind::Rejected, "%s", Patch);
    cr_expect(Scenario.State.Declared == Before, "%s", Patch);
  }
}

// Guards against a repeated request that is executed twice or gets a different
// outcome than the first one.
Test(config_replay, repeated_requests_get_the_first_outcome) {
  cr_assert(rc::check("repeats", [] {
    auto History = randomHistory(20);
    auto State = History.States.back();
    RC_PRE(!State.Outcomes.empty());
    auto Index = *rc::gen::inRange<std::size_t>(0, State.Outcomes.size());
    auto First = State.Outcomes[Index];
    auto Record = randomBody(State);
    Record.Request = First.Id;
    auto Next = replay(State, {State.Position.Value + 1}, encodeRecord(Record));
    RC_ASSERT(Next.Outcome.Kind == replay_kind::Duplicate);
    RC_ASSERT(Next.Outcome.Outcome == First);
    RC_ASSERT(Next.Next.Declared == State.Declared);
    RC_ASSERT(Next.Next.Moves == State.Moves);
  }));
}

// Guards against a writer that never learns the outcome of its request because
// its record has a valid request id but an invalid body.
Test(config_replay, malformed_records_have_an_outcome_when_they_have_an_id) {
  auto Scenario = scenario();
  auto Outcome = replayInto(Scenario.State, {1},
                            R"({"type":"zone","request":"z","at_ms":0})");
  cr_assert(Outcome.Kind == replay_kind::Rejected);
  auto Found = findOutcome(Scenario.State, {"z"});
  cr_assert(Found && Found->Kind == outcome_kind::Rejected);
}

// Guards against unbounded growth of the request outcomes.
Test(config_replay, outcomes_are_bounded) {
  auto Scenario = scenario();
  for (auto Index = std::size_t{0}; Index < MaxRequestOutcomes + 10; ++Index) {
    Scenario.run("r" + std::to_string(Index), zone_record{{"none"}, true});
  }
  cr_assert_eq(Scenario.State.Outcomes.size(), MaxRequestOutcomes);
  cr_assert_str_eq(Scenario.State.Outcomes.front().Id.Value.c_str(), "r10");
}

// Guards against accepting both of two concurrent applies based on the same
// declaration, and against rejecting an apply because of a move step in
// between.
Test(config_replay, an_apply_needs_the_current_declaration) {
  auto Scenario = scenario();
  Scenario.apply(sampleDeclaration(), "a");
  auto Stale = makeApply(Scenario.State, sampleDeclaration(4), {"b"}, {});
  cr_assert(isAccepted(Scenario.apply(sampleDeclaration(3), "c")));
  cr_assert(Scenario.run(Stale).Kind == replay_kind::Rejected);
  auto Current = makeApply(Scenario.State, sampleDeclaration(4), {"d"}, {});
  Scenario.run("e", move_start_record{sampleMove("m", "v1", "v2")});
  cr_assert(
      isAccepted(Scenario.run("f", move_step_record{{"m"}, 1, {200'000}})));
  cr_assert(isAccepted(Scenario.run(Current)));
  cr_assert(Scenario.run("g", apply_record{{999}, "[]"}).Kind ==
            replay_kind::Rejected);
}

// Guards against an apply that puts a zone back into service after an operator
// took it out.
Test(config_replay, a_zone_taken_out_stays_out_over_applies) {
  auto Scenario = scenario();
  Scenario.apply(sampleDeclaration(), "a");
  cr_assert(isAccepted(Scenario.run("out", zone_record{{"patan"}, false})));
  cr_assert(isAccepted(Scenario.apply(sampleDeclaration(3), "b")));
  cr_assert_not(Scenario.State.Declared.Zones.at({"patan"}).InService);
  cr_assert(isAccepted(Scenario.run("in", zone_record{{"patan"}, true})));
  cr_assert(Scenario.State.Declared.Zones.at({"patan"}).InService);
  cr_assert(Scenario.run("no", zone_record{{"xela"}, false}).Kind ==
            replay_kind::Rejected);
}

// Guards against concurrent moves of a service, steps out of order, a second
// verdict, and removing a version that a running move uses.
Test(config_replay, moves_run_one_at_a_time_to_one_verdict) {
  auto Scenario = scenario();
  Scenario.apply(sampleDeclaration(), "a");
  auto IsRejected = [&Scenario](const char *Id, decltype(record::Body) Body) {
    return Scenario.run(Id, std::move(Body)).Kind == replay_kind::Rejected;
  };
  cr_assert(IsRejected("x1", move_start_record{sampleMove("m", "v2", "v3")}));
  cr_assert(isAccepted(
      Scenario.run("s", move_start_record{sampleMove("m", "v1", "v2")})));
  cr_assert(IsRejected("x2", move_start_record{sampleMove("n", "v1", "v3")}));
  cr_assert(IsRejected("x3", move_step_record{{"m"}, 2, {1}}));
  cr_assert(isAccepted(Scenario.run("t", move_step_record{{"m"}, 1, {1}})));
  cr_assert(IsRejected("x4", move_step_record{{"m"}, 1, {2}}));
  for (auto Target : {sampleDeclaration(), sampleDeclaration()}) {
    static auto Round = 0;
    auto &Roster = Target.Services.at({"roster"});
    Round == 0 ? Roster.Versions.erase(Roster.Versions.begin() + 1)
               : (Roster.ActiveVersion = {"v3"}, Roster.Versions.begin());
    auto Id = "y" + std::to_string(Round++);
    cr_assert(Scenario.apply(Target, Id).Kind == replay_kind::Rejected);
  }
  cr_assert(isAccepted(
      Scenario.run("d", move_verdict_record{{"m"}, move_phase::Done, ""})));
  cr_assert_str_eq(Scenario.active().c_str(), "v2");
  cr_assert(IsRejected(
      "x5", move_verdict_record{{"m"}, move_phase::TakenBack, "late"}));
  cr_assert_str_eq(Scenario.active().c_str(), "v2");
}

// Guards against an unchanged file that undoes or repeats its completed move
// when it is applied again.
Test(config_replay, a_declared_move_runs_once) {
  auto Scenario = scenario();
  auto Target = sampleDeclaration();
  Target.Moves.push_back(sampleMove("m", "v1", "v2"));
  cr_assert(isAccepted(Scenario.apply(Target, "a")));
  cr_assert(runningMove(Scenario.State, {"roster"}) != nullptr);
  cr_assert(isAccepted(Scenario.apply(Target, "b")));
  Scenario.run("d", move_verdict_record{{"m"}, move_phase::Done, ""});
  cr_assert(isAccepted(Scenario.apply(Target, "c")));
  cr_assert_str_eq(Scenario.active().c_str(), "v2");
  cr_assert(runningMove(Scenario.State, {"roster"}) == nullptr);
  Target.Moves.clear();
  cr_assert(isAccepted(Scenario.apply(Target, "back")));
  cr_assert_str_eq(Scenario.active().c_str(), "v1");
}

// Guards against a state that changes in transfer and against undetected
// corruption.
Test(config_codec, states_round_trip_and_corruption_is_detected) {
  cr_assert(rc::check("state codec", [] {
    auto History = randomHistory(20);
    const auto &State = History.States.back();
    auto Bytes = encodeState(State);
    auto Decoded = decodeState(Bytes);
    RC_ASSERT(isOk(Decoded));
    RC_ASSERT(valueOf(Decoded) == State);
    auto Corrupted = corruptBytes(Bytes);
    RC_ASSERT(Corrupted == Bytes || !isOk(decodeState(Corrupted)));
    RC_ASSERT(!isOk(decodeState(*rc::gen::arbitrary<std::string>())));
  }));
}

// Guards against a record that changes when it is encoded and decoded.
Test(config_codec, records_round_trip) {
  cr_assert(rc::check("record codec", [] {
    auto Record = randomBody(config_state());
    auto Decoded = decodeRecord(encodeRecord(Record));
    // The decoder rejects a move between equal versions.
    auto *Start = std::get_if<move_start_record>(&Record.Body);
    auto Valid = Start == nullptr || Start->Move.From != Start->Move.To;
    RC_ASSERT(isOk(Decoded) == Valid);
    if (Valid) {
      RC_ASSERT(valueOf(Decoded) == Record);
    }
  }));
}

/** Appends the checkpoint parts of several writers, randomly interleaved; a
 * writer may omit its last part, as if it failed.
 * @param CompletePositions receives the positions of complete checkpoints. */
static void appendCheckpoints(history &History,
                              std::set<std::uint64_t> &CompletePositions) {
  auto Writers = std::vector<std::vector<std::string>>();
  for (auto Count = *rc::gen::inRange(1, 4); Count > 0; --Count) {
    auto Position = *rc::gen::inRange<std::size_t>(0, History.States.size());
    // Two ids for up to three writers, as parts must not be mixed even if
    // writers share an id. The parts are small, so that each checkpoint has
    // several.
    auto Id = "c" + std::to_string(*rc::gen::inRange(0, 2));
    auto Parts =
        encodeCheckpoint(History.States[Position], Id, wall_ms{0}, 700);
    if (*rc::gen::inRange(0, 3) == 0) {
      Parts.pop_back();
    } else {
      CompletePositions.insert(Position);
    }
    std::reverse(Parts.begin(), Parts.end());
    Writers.push_back(std::move(Parts));
  }
  // Each iteration removes a part or a writer, so the loop terminates even when
  // RapidCheck shrinks all random numbers to zero.
  while (!Writers.empty()) {
    auto Index = *rc::gen::inRange<std::size_t>(0, Writers.size());
    if (Writers[Index].empty()) {
      Writers.erase(Writers.begin() + static_cast<std::ptrdiff_t>(Index));
    } else {
      History.append(Writers[Index].back());
      Writers[Index].pop_back();
    }
  }
}

// Guards against checkpoints assembled from parts of different writers, against
// a restored state that differs from a replay of the complete log, and against
// missing the newest complete checkpoint.
Test(config_checkpoint, restoring_equals_replaying_from_the_start) {
  cr_assert(rc::check("checkpoints", [] {
    auto History = randomHistory(6);
    auto CompletePositions = std::set<std::uint64_t>();
    for (auto Round = 0; Round < 3; ++Round) {
      appendCheckpoints(History, CompletePositions);
      History.append(encodeRecord(randomBody(History.States.back())));
    }
    auto First = *rc::gen::inRange<std::size_t>(0, History.Records.size());
    auto Kept = std::vector<raw_record>(History.Records.begin() + First,
                                        History.Records.end());
    auto Restored = restoreFromLog(Kept);
    RC_CLASSIFY(isOk(Restored), "restored");
    if (isOk(Restored)) {
      RC_ASSERT(valueOf(Restored) == History.States.back());
    } else {
      RC_ASSERT(First > 0U);
    }
    auto Newest = newestCheckpoint(History.Records);
    RC_ASSERT(Newest.has_value() == !CompletePositions.empty());
    if (Newest) {
      RC_ASSERT(Newest->Position.Value == *CompletePositions.rbegin());
      RC_ASSERT(*Newest == History.States[Newest->Position.Value]);
    }
  }));
}

// Guards against checkpoint parts larger than 64 KiB, and against failing to
// restore a state of several parts.
Test(config_checkpoint, large_states_are_split_into_bounded_parts) {
  auto Scenario = scenario();
  auto Id = std::string(120, 'r');
  for (auto Index = 0; Index < 1000; ++Index) {
    Scenario.run(Id + std::to_string(Index), zone_record{{"none"}, true});
  }
  auto Parts = encodeCheckpoint(Scenario.State, std::string(120, 'c'), {});
  cr_assert_gt(Parts.size(), 2U);
  auto Records = std::vector<raw_record>();
  for (const auto &Part : Parts) {
    cr_assert_leq(Part.size(), MaxPartBytes);
    Records.push_back(
        {{Scenario.State.Position.Value + 1 + Records.size()}, Part});
  }
  cr_assert(newestCheckpoint(Records) == Scenario.State);
}

// Guards against restoring a checkpoint that a node with a corrupt state wrote
// and that the log contradicts.
Test(config_checkpoint, checkpoints_that_contradict_the_log_are_not_used) {
  auto History = history{{}, {config_state()}};
  History.append(encodeRecord(
      makeApply(config_state(), sampleDeclaration(), {"a"}, wall_ms{0})));
  auto Forked = History.States.back();
  Forked.ChainHash ^= 1;
  Forked.Declared.Zones.clear();
  for (const auto &Part : encodeCheckpoint(Forked, "bad", {})) {
    History.append(Part);
  }
  auto Restored = restoreFromLog(History.Records);
  cr_assert(isOk(Restored));
  cr_assert(valueOf(Restored) == History.States.back());
}
