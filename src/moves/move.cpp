/** @file move.cpp Decisions of the driver of a move: steps and verdicts. */
#include "sycamorelb/moves/move_func.h"

#include <algorithm>
#include <cmath>

namespace sycamorelb::moves {

using config::move_phase;
using config::move_state;

/// Evidence from which on the next step is delayed; an alarm needs
/// 1 / FalseAlarmRate.
static constexpr auto SuspiciousEvidence = 5.0;
/// Share from which on the next step waits until the test has enough
/// information, unless the deadline forces it. Above this share, fewer and
/// fewer calls of the old version remain for comparison.
static constexpr auto ComparisonShare = share_ppm{300'000};
/// Largest extension of the deadline of a move after an outage of the log.
static constexpr auto MaxOutage = millis{600'000};

auto observationTime(const config::move &Move, wall_ms StartedAt) -> millis {
  auto Duration = std::max<std::int64_t>(Move.By.Value - StartedAt.Value, 0);
  auto Wanted = std::clamp<std::int64_t>(Duration / 10, 10'000, 120'000);
  return millis(std::min(Wanted, Duration / 4));
}

auto capacityShare(const move_capacity &Capacity) -> share_ppm {
  auto Usable = CapacityFraction * Capacity.WarmNewLimit;
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
    return "the phase of a verdict must be final";
  }
  if (Verdict.Phase == move_phase::Done && State.Share < LargestShare) {
    return "the move has not reached its largest share";
  }
  return std::nullopt;
}

auto makeMoveInput(const test_state &Test, const merged_evidence &Evidence)
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
struct derived_input {
  std::int64_t TimeLeft;        ///< Milliseconds until the deadline.
  std::int64_t ObservationTime; ///< Milliseconds to stay at the largest share.
  std::int64_t TimeSinceStep; ///< Milliseconds since the current step was seen.
  std::uint64_t CallsSinceStep; ///< New calls since the current step.
  int Doublings;                ///< Doublings until the largest share.
  share_ppm MaxShare;           ///< Largest share that the capacity allows.
};

} // namespace

static void updateDriverState(const move_state &State,
                              driver_state &DriverState,
                              const move_input &Input, wall_ms Now) {
  if (!Input.LogAvailable && DriverState.Step) {
    auto Gap = Now.Value - DriverState.LastDecisionAt.Value;
    DriverState.Outage += millis(std::clamp<std::int64_t>(Gap, 0, 5000));
    DriverState.Outage = std::min(DriverState.Outage, MaxOutage);
  }
  DriverState.LastDecisionAt = Now;
  if (DriverState.Step != State.Step) {
    DriverState.Step = State.Step;
    DriverState.StepSeenAt = Now;
    DriverState.CallsAtStep = Input.NewCalls;
  }
}

static auto deriveInput(const move_state &State,
                        const driver_state &DriverState,
                        const move_input &Input, wall_ms Now) -> derived_input {
  auto Share = std::max(State.Share.Value, 1U);
  auto Ratio = std::max(double(LargestShare.Value) / Share, 1.0);
  auto Doublings = std::ceil(std::log2(Ratio) - 1e-9);
  return {State.Move.By.Value + DriverState.Outage.count() - Now.Value,
          observationTime(State.Move, State.StartedAt).count(),
          Now.Value - DriverState.StepSeenAt.Value,
          Input.NewCalls - std::min(Input.NewCalls, DriverState.CallsAtStep),
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

/** @return whether the new version can serve all calls at once, as the verdict
 * done requires; without old upstreams it already does. */
static auto canTakeAll(const move_capacity &Capacity) -> bool {
  return Capacity.WarmOldLimit == 0 || capacityShare(Capacity) == FullShare;
}

/** @return the verdict of a move that reached its deadline. */
static auto decideAtDeadline(const move_state &State, const move_input &Input)
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

/** @return the factor of the next step: 2, or more if the remaining time is too
 * short to double at each step. */
static auto stepFactor(const derived_input &Derived) -> double {
  auto StepTime = Derived.TimeLeft - Derived.ObservationTime;
  auto Steps = std::max<std::int64_t>(StepTime / MinimumStepTime.count(), 1);
  return std::max(2.0, std::exp2(double(Derived.Doublings) / double(Steps)));
}

/** @return whether a longer wait would miss the deadline of the move. */
static auto mustStepNow(const derived_input &Derived) -> bool {
  auto StepTime =
      Derived.TimeLeft + Derived.TimeSinceStep - Derived.ObservationTime;
  return Derived.TimeSinceStep >= StepTime / (Derived.Doublings + 1);
}

/** @return why no step is taken now; empty if one is due. */
static auto reasonToWait(const move_state &State, const move_input &Input,
                         const derived_input &Derived) -> std::string {
  if (Derived.TimeSinceStep < MinimumStepTime.count()) {
    return "the step is too recent";
  }
  if (Derived.TimeLeft < MinimumStepTime.count()) {
    return "too little time is left to see the effect of a step";
  }
  if (Input.NewCalls < MinimumCalls) {
    return "too few calls on the new version";
  }
  auto MustStep = mustStepNow(Derived);
  if (Derived.CallsSinceStep < MinimumStepCalls && !MustStep) {
    return "too few calls since the last step";
  }
  if (Input.Evidence >= SuspiciousEvidence && !MustStep) {
    return "the new version is under suspicion";
  }
  if (State.Share >= ComparisonShare &&
      Input.Information < Input.InformationNeeded && !MustStep) {
    return "too few calls to compare before the largest share";
  }
  return "";
}

/** @return the step to the wanted share, limited by MaxShare. */
static auto stepTo(const move_state &State, double Wanted, share_ppm MaxShare)
    -> move_decision {
  auto Bounded = std::min(Wanted, double(LargestShare.Value));
  auto Share = std::min(share_ppm{std::uint32_t(Bounded)}, MaxShare);
  if (Share <= State.Share) {
    return move_hold{"the warm upstreams of the new version are in use"};
  }
  return move_step{State.Step + 1, Share};
}

auto decideNext(const move_state &State, driver_state &DriverState,
                const move_input &Input, wall_ms Now) -> move_decision {
  updateDriverState(State, DriverState, Input, Now);
  if (State.Phase != move_phase::Running) {
    return move_hold{"the move has ended"};
  }
  if (Input.Brake || Input.Alarm) {
    return takenBack(Input.Brake ? *Input.Brake : describeAlarm(*Input.Alarm));
  }
  if (!Input.LogAvailable) {
    return move_hold{"the log takes no records"};
  }
  auto Derived = deriveInput(State, DriverState, Input, Now);
  if (Derived.TimeLeft <= 0) {
    return decideAtDeadline(State, Input);
  }
  // The hysteresis of a quarter avoids oscillation with the measured load.
  if (Input.Capacity.WarmOldLimit > 0 &&
      std::uint64_t(Derived.MaxShare.Value) * 4 <
          std::uint64_t(State.Share.Value) * 3) {
    return move_step{State.Step + 1, Derived.MaxShare};
  }
  if (State.Share.Value == 0) {
    return stepTo(State, State.Move.MaxEarlyShare.Value, Derived.MaxShare);
  }
  if (State.Share >= LargestShare) {
    auto IsObservationOver = Derived.TimeSinceStep >= Derived.ObservationTime;
    if (IsObservationOver && Input.NewCalls >= MinimumCalls &&
        Input.Evidence < SuspiciousEvidence && canTakeAll(Input.Capacity)) {
      return move_verdict{move_phase::Done, ""};
    }
    return move_hold{"the largest share is observed"};
  }
  auto Reason = reasonToWait(State, Input, Derived);
  if (!Reason.empty()) {
    return move_hold{Reason};
  }
  return stepTo(State, State.Share.Value * stepFactor(Derived),
                Derived.MaxShare);
}

} // namespace sycamorelb::moves
