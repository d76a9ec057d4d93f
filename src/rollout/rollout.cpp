/** @file rollout.cpp Decisions on version rollouts. */
#include "sycamorelb/rollout/rollout_type.h"

#include <algorithm>
#include <cctype>

namespace sycamorelb::rollout {

/** Share of an order's duration after which a good version gets all calls. */
static constexpr auto SwitchShare = 0.55;
/** Share of an order's duration after which the rollout may complete. */
static constexpr auto CompleteShare = 0.78;
/** Share of an order's duration after which it is rolled back if targets or
 * evidence are still insufficient. */
static constexpr auto AbortShare = 0.85;
/** Minimum time for which the new version gets all calls before the rollout
 * completes and the old targets may stop. */
static constexpr auto MinSwitchTime = micros(2'200'000);
/** Time for which a decider accepts that evidence is missing after the switch.
 */
static constexpr auto MaxUnclearTime = micros(1'200'000);
/** Minimum slots of the new version for the switch, as a share of the old
 * version's slots. */
static constexpr auto MinSlotShare = 0.6;
/** Minimum number of calls for a Good verdict. */
static constexpr auto MinGoodCalls = std::uint32_t{10};
/** Minimum numbers of calls and failures for a Bad verdict on failures. */
static constexpr auto MinBadCalls = std::uint32_t{5};
static constexpr auto MinFailures = std::uint32_t{3};
/** Failure share above twice that of the old version at which the new version
 * is bad. */
static constexpr auto BadFailureMargin = 0.12;
/** Mean run time relative to the old version above which the new version is
 * bad. */
static constexpr auto SlowFactor = 2.5;
/** Minimum number of timed calls of each version to compare run times, and for
 * a Good verdict. */
static constexpr auto MinTimedCalls = std::uint32_t{6};
/** Minimum failures and failure share in the brake window at which a node
 * stops a version on its own. */
static constexpr auto MinBrakeFailures = std::uint32_t{4};
static constexpr auto MinBrakeFailureShare = 0.25;
/** Number of calls at which the counts of a brake window are halved. */
static constexpr auto BrakeWindowCalls = std::uint32_t{24};

/** @return whether the contents are equal, as far as they are known. */
static auto hasSameContent(const mesh::version_order &Left,
                           const mesh::version_order &Right) -> bool {
  auto IsDurationKnown =
      Left.Duration > millis(0) && Right.Duration > millis(0);
  return Left.Service == Right.Service && Left.Version == Right.Version &&
         (!IsDurationKnown || Left.Duration == Right.Duration);
}

auto isSameOrder(const rollout_state &Left, const rollout_state &Right,
                 order_match Match) -> bool {
  if (Left.identity() == Right.identity() || Left.Stored == Right.Stored ||
      Left.identity() == Right.Stored || Left.Stored == Right.identity()) {
    return true;
  }
  if (Left.OrderEra == Right.OrderEra ||
      !hasSameContent(Left.Order, Right.Order)) {
    return false;
  }
  if (Left.OrderOffset == Right.OrderOffset) {
    return true;
  }
  auto IsRewritten =
      Left.OrderEra > Right.Stored.Era || Right.OrderEra > Left.Stored.Era;
  return Match == order_match::ByContent && IsRewritten;
}

auto mergeRollout(rollout_state &Current, const rollout_state &Update,
                  order_match Match) -> bool {
  if (!isSameOrder(Current, Update, Match)) {
    if (Update.Stored < Current.Stored) {
      return false;
    }
    Current = Update;
    return true;
  }
  if (Update.identity() < Current.identity()) {
    Current.OrderEra = Update.OrderEra;
    Current.OrderOffset = Update.OrderOffset;
  }
  Current.Stored = std::max(Current.Stored, Update.Stored);
  Current.SeenAt = std::min(Current.SeenAt, Update.SeenAt);
  if (Update.Stage <= Current.Stage) {
    return false;
  }
  Current.Stage = Update.Stage;
  return true;
}

void addEvidence(version_evidence &Sum, const version_evidence &Part) {
  for (const auto &[Route, Tally] : Part) {
    auto &Total = Sum[Route];
    Total.Calls += Tally.Calls;
    Total.Failures += Tally.Failures;
    Total.TimedCalls += Tally.TimedCalls;
    Total.RunMicros += Tally.RunMicros;
  }
}

/** @return the share of failed calls; 0 without calls. */
static auto failureShare(const route_tally &Tally) -> double {
  return Tally.Calls == 0 ? 0
                          : static_cast<double>(Tally.Failures) / Tally.Calls;
}

static auto isFailing(const route_tally &New, const route_tally &Old) -> bool {
  return New.Calls >= MinBadCalls && New.Failures >= MinFailures &&
         failureShare(New) >= BadFailureMargin + 2 * failureShare(Old);
}

static auto isSlow(const route_tally &New, const route_tally &Old) -> bool {
  if (New.TimedCalls < MinTimedCalls || Old.TimedCalls < MinTimedCalls) {
    return false;
  }
  auto NewMean = static_cast<double>(New.RunMicros) / New.TimedCalls;
  auto OldMean = static_cast<double>(Old.RunMicros) / Old.TimedCalls;
  return NewMean > SlowFactor * OldMean;
}

auto judge(const version_evidence &New, const version_evidence &Old)
    -> verdict {
  auto NewAll = route_tally();
  auto OldAll = route_tally();
  for (const auto &[Route, Tally] : New) {
    auto Found = Old.find(Route);
    auto OldTally = Found == Old.end() ? route_tally() : Found->second;
    if (isFailing(Tally, OldTally) || isSlow(Tally, OldTally)) {
      return verdict::Bad;
    }
    NewAll.Calls += Tally.Calls;
    NewAll.Failures += Tally.Failures;
    OldAll.Calls += OldTally.Calls;
    OldAll.Failures += OldTally.Failures;
    NewAll.TimedCalls += Tally.TimedCalls;
    OldAll.TimedCalls += OldTally.TimedCalls;
  }
  if (isFailing(NewAll, OldAll)) {
    return verdict::Bad;
  }
  auto CanCompareTimes =
      NewAll.TimedCalls >= MinTimedCalls && OldAll.TimedCalls >= MinTimedCalls;
  return NewAll.Calls >= MinGoodCalls && CanCompareTimes ? verdict::Good
                                                         : verdict::Unclear;
}

/** @return the next step once the new version has failed. */
static auto stopNewVersion(const rollout_state &State,
                           const rollout_inputs &Inputs) -> rollout_step {
  if (Inputs.OldSlots > 0) {
    return rollout_step::RollBack;
  }
  // The old targets may only be unseen. If they are gone, the new version is
  // all that the callers have.
  auto IsStopped = State.Stage == rollout_stage::Braked;
  return IsStopped || Inputs.OldAbsence.isCertain() ? rollout_step::Wait
                                                    : rollout_step::Brake;
}

auto decideRollout(const rollout_state &State, const rollout_inputs &Inputs)
    -> rollout_step {
  auto Duration = std::max<micros>(State.Order.Duration, millis(1));
  auto ElapsedShare = static_cast<double>(Inputs.Elapsed.count()) /
                      static_cast<double>(Duration.count());
  if (State.Stage == rollout_stage::Braked || Inputs.Verdict == verdict::Bad) {
    return stopNewVersion(State, Inputs);
  }
  auto LacksOld = Inputs.OldSlots == 0;
  auto Abort = LacksOld ? rollout_step::Wait : rollout_step::RollBack;
  auto HasNew = Inputs.NewSlots > 0;
  auto IsOverdue = ElapsedShare >= AbortShare;
  if (HasNew && LacksOld && Inputs.OldAbsence.isCertain() &&
      (Inputs.OldAbsence.isCertainAtOrder() || IsOverdue)) {
    return rollout_step::Complete;
  }
  if (State.Stage == rollout_stage::Switching) {
    if (Inputs.Verdict != verdict::Good) {
      // The evidence is lost, so a bad version would not be noticed. A node
      // that has just started gets its evidence first.
      return Inputs.SinceSwitch >= MaxUnclearTime ? Abort : rollout_step::Wait;
    }
    if (!HasNew) {
      return IsOverdue ? Abort : rollout_step::Wait;
    }
    auto Settled = Inputs.SinceSwitch >= MinSwitchTime;
    return Settled && ElapsedShare >= CompleteShare ? rollout_step::Complete
                                                    : rollout_step::Wait;
  }
  auto HasCapacity =
      HasNew && static_cast<double>(Inputs.NewSlots) >=
                    MinSlotShare * static_cast<double>(Inputs.OldSlots);
  if (ElapsedShare >= SwitchShare && HasCapacity &&
      Inputs.Verdict == verdict::Good) {
    return rollout_step::Switch;
  }
  return IsOverdue ? Abort : rollout_step::Wait;
}

auto versionUse(const version_id &Version, const rollout_state *Rollout,
                const version_id &Base, bool IsOnlyNew) -> version_use {
  if (Rollout == nullptr) {
    return Version == Base ? version_use::Serving : version_use::Excluded;
  }
  auto IsNew = Version == Rollout->Order.Version;
  switch (Rollout->Stage) {
  case rollout_stage::Canary:
    return IsNew && !IsOnlyNew ? version_use::Canary : version_use::Serving;
  case rollout_stage::Switching:
  case rollout_stage::Completed:
    return IsNew ? version_use::Serving : version_use::Excluded;
  case rollout_stage::Braked:
    return IsNew && !IsOnlyNew ? version_use::Excluded : version_use::Serving;
  case rollout_stage::RolledBack:
    break;
  }
  return IsNew ? version_use::Excluded : version_use::Serving;
}

/** Removes the digits at the front of Text. @return them without leading zeros:
 * a number of any size. */
static auto consumeNumber(std::string_view &Text) -> std::string_view {
  auto End = std::min(Text.find_first_not_of("0123456789"), Text.size());
  auto Digits = Text.substr(0, End);
  Text.remove_prefix(End);
  Digits.remove_prefix(std::min(Digits.find_first_not_of('0'), Digits.size()));
  return Digits;
}

auto isOlderVersion(const version_id &Left, const version_id &Right) -> bool {
  auto First = std::string_view(Left.Value);
  auto Second = std::string_view(Right.Value);
  while (!First.empty() && !Second.empty()) {
    auto Digits = std::isdigit(static_cast<unsigned char>(First[0])) != 0 &&
                  std::isdigit(static_cast<unsigned char>(Second[0])) != 0;
    if (Digits) {
      auto FirstNumber = consumeNumber(First);
      auto SecondNumber = consumeNumber(Second);
      if (FirstNumber != SecondNumber) {
        return FirstNumber.size() != SecondNumber.size()
                   ? FirstNumber.size() < SecondNumber.size()
                   : FirstNumber < SecondNumber;
      }
    } else if (First[0] != Second[0]) {
      return First[0] < Second[0];
    } else {
      First.remove_prefix(1);
      Second.remove_prefix(1);
    }
  }
  return First.empty() && !Second.empty();
}

auto updateBrake(brake_window &Window, bool Failed) -> bool {
  if (Window.Calls >= BrakeWindowCalls) {
    Window.Calls /= 2;
    Window.Failures /= 2;
  }
  ++Window.Calls;
  Window.Failures += Failed ? 1 : 0;
  return Window.Failures >= MinBrakeFailures &&
         Window.Failures >= MinBrakeFailureShare * Window.Calls;
}

} // namespace sycamorelb::rollout
