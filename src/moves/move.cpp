/** @file move.cpp Decisions of the driver of a move. */
#include "sycamorelb/moves/move_func.h"

#include <algorithm>
#include <cmath>

namespace sycamorelb::moves {

using config::move_phase;
using config::move_state;

/// Evidence at which a move waits for more before the next step; the alarm is
/// at 100.
static constexpr auto SuspiciousEvidence = 5.0;
/// From this share on, a move waits for the information that the test needs
/// unless the time forces the next step; above it, fewer and fewer calls of the
/// old version remain to compare with.
static constexpr auto ComparisonShare = share_ppm{300'000};
/// Time of the move is extended by an outage of the log, at most by this.
static constexpr auto MaxOutage = millis{600'000};

auto observationTime(const config::move &Move, wall_ms StartedAt) -> millis {
  auto Whole = std::max<std::int64_t>(Move.By.Value - StartedAt.Value, 0);
  auto Wanted = std::clamp<std::int64_t>(Whole / 10, 10'000, 120'000);
  return millis(std::min(Wanted, Whole / 4));
}

auto capacityShare(const move_capacity &Capacity) -> share_ppm {
  auto Usable = CapacityPart * Capacity.WarmNewLimit;
  if (Usable >= Capacity.InFlight && Usable > 0) {
    return FullShare;
  }
  auto Share = Capacity.InFlight > 0 ? Usable / Capacity.InFlight : 0;
  return {std::uint32_t(std::floor(Share * FullShare.Value))};
}

auto checkStep(const move_state &State, const move_step &Step)
    -> std::optional<std::string> {
  if (State.Phase != move_phase::Running) {
    return "the move has ended";
  }
  if (Step.Number != State.Step + 1) {
    return "the step does not follow the current one";
  }
  if (Step.Share > LargestShare) {
    return "the share is above the largest share of a running move";
  }
  return std::nullopt;
}

auto checkVerdict(const move_state &State, const move_verdict &Verdict)
    -> std::optional<std::string> {
  if (State.Phase != move_phase::Running) {
    return "the move has ended";
  }
  if (Verdict.Phase == move_phase::Running) {
    return "a verdict ends the move";
  }
  if (Verdict.Phase == move_phase::Done && State.Share < LargestShare) {
    return "the move has not reached its largest share";
  }
  return std::nullopt;
}

auto inputOf(const test_state &Test, const merged_evidence &Evidence)
    -> move_input {
  auto Input = move_input{};
  Input.Alarm = Test.Alarm;
  Input.Evidence = Test.Evidence;
  Input.Information = Test.Information;
  Input.InformationNeeded = Test.InformationNeeded;
  for (const auto &[Route, Total] : Evidence.Totals) {
    Input.NewCalls += Total[std::size_t(move_side::New)].Calls;
  }
  return Input;
}

namespace {

/** Values derived from the inputs of one decision. */
struct situation {
  std::int64_t Left;       ///< Milliseconds until the move must end.
  std::int64_t Observe;    ///< Observation time at the largest share.
  std::int64_t StageTime;  ///< Milliseconds since the step in force was seen.
  std::uint64_t StepCalls; ///< New calls since then.
  int Doublings;           ///< Doublings from the share to the largest share.
  share_ppm Cap;           ///< Largest share by capacity.
};

} // namespace

static void remember(const move_state &State, driver_memory &Memory,
                     const move_input &Input, wall_ms Now) {
  if (!Input.LogAvailable && Memory.Step) {
    auto Gap = Now.Value - Memory.LastCall.Value;
    Memory.Outage += millis(std::clamp<std::int64_t>(Gap, 0, 5000));
    Memory.Outage = std::min(Memory.Outage, MaxOutage);
  }
  Memory.LastCall = Now;
  if (Memory.Step != State.Step) {
    Memory.Step = State.Step;
    Memory.StepSeenAt = Now;
    Memory.CallsAtStep = Input.NewCalls;
  }
}

static auto situationOf(const move_state &State, const driver_memory &Memory,
                        const move_input &Input, wall_ms Now) -> situation {
  auto Share = std::max(State.Share.Value, 1U);
  auto Ratio = std::max(double(LargestShare.Value) / Share, 1.0);
  auto Doublings = std::ceil(std::log2(Ratio) - 1e-9);
  return {State.Move.By.Value + Memory.Outage.count() - Now.Value,
          observationTime(State.Move, State.StartedAt).count(),
          Now.Value - Memory.StepSeenAt.Value,
          Input.NewCalls - std::min(Input.NewCalls, Memory.CallsAtStep),
          int(Doublings),
          capacityShare(Input.Capacity)};
}

static auto takenBack(std::string Reason) -> move_decision {
  return move_verdict{move_phase::TakenBack, std::move(Reason)};
}

static auto describeAlarm(const move_alarm &Alarm) -> std::string {
  return Alarm.Route.Value.empty() ? Alarm.Reason
                                   : Alarm.Reason + " on " + Alarm.Route.Value;
}

/** @return whether the new version can take all calls at once, as the verdict
 * done demands; without old upstreams it takes them already. */
static auto canTakeAll(const move_capacity &Capacity) -> bool {
  return Capacity.WarmOldLimit == 0 || capacityShare(Capacity) == FullShare;
}

/** @return the verdict of a move whose time has come. */
static auto decideAtTime(const move_state &State, const move_input &Input)
    -> move_decision {
  if (Input.NewCalls < MinimumCalls) {
    return takenBack("insufficient_evidence");
  }
  if (State.Share >= LargestShare && canTakeAll(Input.Capacity)) {
    return move_verdict{move_phase::Done, ""};
  }
  return takenBack(capacityShare(Input.Capacity) < FullShare
                       ? "insufficient_capacity"
                       : "not_finished_in_time");
}

/** @return the factor of the next step: 2, or more when too few steps are left
 * in the remaining time. */
static auto stepFactor(const situation &Now) -> double {
  auto Time = Now.Left - Now.Observe;
  auto Steps = std::max<std::int64_t>(Time / MinimumStage.count(), 1);
  return std::max(2.0, std::exp2(double(Now.Doublings) / double(Steps)));
}

/** @return whether waiting longer would miss the time of the move. */
static auto isPressed(const situation &Now) -> bool {
  auto Time = Now.Left + Now.StageTime - Now.Observe;
  return Now.StageTime >= Time / (Now.Doublings + 1);
}

/** @return why no step is taken now; empty when one is due. */
static auto reasonToWait(const move_state &State, const move_input &Input,
                         const situation &Now) -> std::string {
  if (Now.StageTime < MinimumStage.count()) {
    return "the step is too recent";
  }
  if (Now.Left < MinimumStage.count()) {
    return "too little time is left to see the effect of a step";
  }
  if (Input.NewCalls < MinimumCalls) {
    return "too few calls on the new version";
  }
  auto IsPressed = isPressed(Now);
  if (Now.StepCalls < StepCalls && !IsPressed) {
    return "too few calls since the last step";
  }
  if (Input.Evidence >= SuspiciousEvidence && !IsPressed) {
    return "the new version is under suspicion";
  }
  if (State.Share >= ComparisonShare &&
      Input.Information < Input.InformationNeeded && !IsPressed) {
    return "too few calls to compare before the largest share";
  }
  return "";
}

/** @return the step to a share that warm upstreams can take. */
static auto stepTo(const move_state &State, double Wanted, share_ppm Cap)
    -> move_decision {
  auto Bounded = std::min(Wanted, double(LargestShare.Value));
  auto Share = std::min(share_ppm{std::uint32_t(Bounded)}, Cap);
  if (Share <= State.Share) {
    return move_hold{"the warm upstreams of the new version are in use"};
  }
  return move_step{State.Step + 1, Share};
}

auto advance(const move_state &State, driver_memory &Memory,
             const move_input &Input, wall_ms Time) -> move_decision {
  remember(State, Memory, Input, Time);
  if (State.Phase != move_phase::Running) {
    return move_hold{"the move has ended"};
  }
  if (Input.Brake || Input.Alarm) {
    return takenBack(Input.Brake ? *Input.Brake : describeAlarm(*Input.Alarm));
  }
  if (!Input.LogAvailable) {
    return move_hold{"the log takes no records"};
  }
  auto Now = situationOf(State, Memory, Input, Time);
  if (Now.Left <= 0) {
    return decideAtTime(State, Input);
  }
  // A quarter of slack avoids steps back and forth with the measured load.
  if (Input.Capacity.WarmOldLimit > 0 &&
      std::uint64_t(Now.Cap.Value) * 4 < std::uint64_t(State.Share.Value) * 3) {
    return move_step{State.Step + 1, Now.Cap};
  }
  if (State.Share.Value == 0) {
    return stepTo(State, State.Move.MaxEarlyShare.Value, Now.Cap);
  }
  if (State.Share >= LargestShare) {
    auto IsObserved = Now.StageTime >= Now.Observe;
    if (IsObserved && Input.NewCalls >= MinimumCalls &&
        Input.Evidence < SuspiciousEvidence && canTakeAll(Input.Capacity)) {
      return move_verdict{move_phase::Done, ""};
    }
    return move_hold{"the largest share is observed"};
  }
  auto Reason = reasonToWait(State, Input, Now);
  if (!Reason.empty()) {
    return move_hold{Reason};
  }
  return stepTo(State, State.Share.Value * stepFactor(Now), Now.Cap);
}

} // namespace sycamorelb::moves
