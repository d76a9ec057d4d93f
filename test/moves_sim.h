/** @file moves_sim.h Simulates a move: calls, lossy reports, sequential test
 * and driver. */
#pragma once

#include "sycamorelb/core/random_func.h"
#include "sycamorelb/moves/move_func.h"

#include <cmath>

namespace sycamorelb::moves::sim {

/** Load, versions and faults of one simulated move. */
struct scenario {
  double CallsPerSecond = 40;   ///< Mean rate.
  double LoadSwing = 0;         ///< Relative amplitude of load and latency.
  int Routes = 1;               ///< Number of routes.
  double OldFailures = 0.005;   ///< Failure ratio of the old version.
  double AddedFailures = 0;     ///< Added for the new version.
  double Slowdown = 1;          ///< Latency factor of the new version.
  double Spread = 0.6;          ///< Sigma of the log-normal latency.
  double GiveUpMs = 1e9;        ///< Callers disconnect after this time.
  int BadRoute = -1;            ///< Only this route is bad; -1 for all.
  double BadAboveShare = 0;     ///< Bad only from this share on.
  int BadFromSecond = 0;        ///< Bad only from this second on.
  int BadFromLargest = -1;      ///< Bad only from this second at the largest
                                ///< share on; -1 for no such limit.
  double SharedOutage = 0;      ///< Failure ratio of both versions during the
                                ///< shared fault.
  double SharedSlowdown = 1;    ///< Latency factor of both versions during it.
  int SharedFrom = 60;          ///< Second at which the shared fault begins; it
                                ///< lasts 10 s.
  bool SharedAtLargest = false; ///< SharedFrom counts from the time when
                                ///< the largest share is reached.
  int OldLostAtLargest = -1; ///< From this second at the largest share on, the
                             ///< old version has no upstream; -1 for never.
  double ColdCalls = 0;      ///< Fraction of new calls on cold, slow upstreams.
  int Seconds = 600;         ///< Time until the deadline of the move.
  double Loss = 0.1;         ///< Fraction of reports that are lost.
  int Reporters = 4;         ///< Admission nodes; half for each version.
  int DriverChange = -1; ///< Second at which a new driver takes over; -1 for
                         ///< none.
};

/** Result of a simulated move. */
struct outcome {
  config::move_state State; ///< At the end.
  std::optional<move_alarm> Alarm;
  int Second = 0;             ///< Of the verdict.
  std::uint64_t NewCalls = 0; ///< Calls on the new version while it was bad.
};

inline auto normal(random_source &Random) -> double {
  auto Angle = 2 * 3.14159265358979 * randomUnit(Random);
  return std::sqrt(-2 * std::log(1 - randomUnit(Random))) * std::cos(Angle);
}

/** Seconds since the start and since the largest share was reached; the latter
 * is -1 before that. */
struct sim_time {
  int Second = 0;
  int AtLargest = -1;
};

inline auto isSharedFault(const scenario &S, const sim_time &Time) -> bool {
  auto Second = S.SharedAtLargest ? Time.AtLargest : Time.Second;
  return Second >= S.SharedFrom && Second < S.SharedFrom + 10;
}

inline auto sampleOf(const scenario &S, random_source &Random, bool IsNew,
                     bool IsBad, double Load, const sim_time &Time)
    -> call_sample {
  auto IsShared = isSharedFault(S, Time);
  auto Failures = S.OldFailures + (IsBad ? S.AddedFailures : 0);
  if (S.SharedOutage > 0 && IsShared) {
    Failures = S.SharedOutage;
  }
  auto Ms = 12 * Load * std::exp(S.Spread * normal(Random));
  Ms *= IsBad ? S.Slowdown : 1;
  Ms *= IsShared ? S.SharedSlowdown : 1;
  auto Sample = call_sample{};
  if (IsNew && randomUnit(Random) < S.ColdCalls) {
    Sample.Cold = true;
    Ms *= 10;
  }
  if (randomUnit(Random) < Failures) {
    Sample.Outcome = call_outcome::Failed;
  } else if (Ms > S.GiveUpMs) {
    Sample.Outcome = call_outcome::Cancelled;
    Ms = S.GiveUpMs;
  }
  Sample.Latency = micros(std::int64_t(Ms * 1000));
  return Sample;
}

inline auto startState(const scenario &S, std::int64_t Start)
    -> config::move_state {
  auto State = config::move_state{};
  State.Move.Id = move_id{"m1"};
  State.Move.By = wall_ms{Start + std::int64_t{S.Seconds} * 1000};
  State.Move.MaxEarlyShare = share_ppm{50'000};
  State.Share = State.Move.MaxEarlyShare;
  State.StartedAt = wall_ms{Start};
  return State;
}

/** Applies a decision to the state as replay does. */
inline void applyDecision(config::move_state &State,
                          const move_decision &Decision) {
  if (const auto *Step = std::get_if<move_step>(&Decision)) {
    if (!checkStep(State, *Step)) {
      State.Step = Step->Number;
      State.Share = Step->Share;
    }
  } else if (const auto *Verdict = std::get_if<move_verdict>(&Decision)) {
    if (!checkVerdict(State, *Verdict)) {
      State.Phase = Verdict->Phase;
      State.Reason = Verdict->Reason;
      State.Share =
          Verdict->Phase == config::move_phase::Done ? FullShare : share_ppm{0};
    }
  }
}

/** Runs one move. */
inline auto run(const scenario &S, std::uint64_t Seed) -> outcome {
  constexpr auto Start = std::int64_t{1'700'000'000'000};
  auto Random = random_source(Seed);
  auto Result = outcome{startState(S, Start), {}, 0, 0};
  auto &State = Result.State;
  auto Locals = std::vector<local_evidence>(std::size_t(S.Reporters));
  for (auto &Local : Locals) {
    Local.Move = State.Move.Id;
  }
  auto Merged = merged_evidence{};
  Merged.Move = State.Move.Id;
  auto Test = test_state{};
  auto DriverState = driver_state{};
  auto Plan = test_plan{State.StartedAt, State.Move.By, std::size_t(S.Routes)};
  auto LargestSince = -1;
  for (auto Second = 0; Second <= S.Seconds + 30; ++Second) {
    if (Second == S.DriverChange) {
      Merged = merged_evidence{};
      Merged.Move = State.Move.Id;
      Test = test_state{};
      DriverState = driver_state{};
    }
    auto Share = State.Share.Value / 1e6;
    if (LargestSince < 0 && State.Share >= LargestShare) {
      LargestSince = Second;
    }
    auto Time = sim_time{Second, LargestSince < 0 ? -1 : Second - LargestSince};
    auto IsOldLost =
        S.OldLostAtLargest >= 0 && Time.AtLargest >= S.OldLostAtLargest;
    auto Load = 1 + S.LoadSwing * std::sin(Second / 25.0);
    auto Calls = S.CallsPerSecond * Load;
    auto Count = int(Calls) + (randomUnit(Random) < Calls - int(Calls) ? 1 : 0);
    for (auto Call = 0; Call < Count; ++Call) {
      auto IsNew = randomUnit(Random) < Share || IsOldLost;
      auto Route = int(randomBelow(Random, std::uint32_t(S.Routes)));
      auto IsBad = IsNew && (S.BadRoute < 0 || S.BadRoute == Route) &&
                   Share >= S.BadAboveShare && Second >= S.BadFromSecond &&
                   (S.BadFromLargest < 0 || Time.AtLargest >= S.BadFromLargest);
      Result.NewCalls += IsBad ? 1 : 0;
      auto Half = std::uint32_t(S.Reporters / 2);
      auto Node = randomBelow(Random, Half) + (IsNew ? Half : 0);
      auto Now = wall_ms{Start + std::int64_t{Second} * 1000 +
                         std::int64_t{Call} * 1000 / Count};
      recordCall(Locals[Node], route_id{"r" + std::to_string(Route)},
                 IsNew ? move_side::New : move_side::Old,
                 sampleOf(S, Random, IsNew, IsBad, Load, Time), Now);
    }
    auto Now = wall_ms{Start + (std::int64_t{Second} + 1) * 1000 + 20};
    for (auto Node = std::size_t{0}; Node < Locals.size(); ++Node) {
      for (const auto &Report :
           buildReports(Locals[Node], node_id{"n" + std::to_string(Node)},
                        incarnation{1}, Now)) {
        if (randomUnit(Random) >= S.Loss) {
          mergeReport(Merged, Report, Now);
        }
      }
    }
    advanceTest(Test, Merged, Plan, State.Step, Now);
    auto Input = makeMoveInput(Test, Merged);
    Input.Capacity = {24, 24, 10};
    applyDecision(State, decideNext(State, DriverState, Input, Now));
    Result.Second = Second;
    if (State.Phase != config::move_phase::Running) {
      break;
    }
  }
  Result.Alarm = Test.Alarm;
  return Result;
}

} // namespace sycamorelb::moves::sim
