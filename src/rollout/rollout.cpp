/** @file rollout.cpp Decisions on traffic moves. */
#include "sycamorelb/rollout/rollout_type.h"

#include <algorithm>
#include <cctype>

namespace sycamorelb::rollout {

/** Share of an order's time after which a version that did not fail gets all
 * calls, and after which the move is told as completed. */
static constexpr auto SwitchShare = 0.55;
static constexpr auto CompleteShare = 0.78;
/** Share of an order's time after which it is rolled back for lack of targets
 * or evidence. */
static constexpr auto GiveUpShare = 0.85;
/** Time that the new version serves alone before the old targets may stop. */
static constexpr auto SwitchTime = micros(2'200'000);
/** Share of the old version's slots that the new one needs to take over. */
static constexpr auto NeededSlotShare = 0.6;
/** Calls without which a version is not called good. */
static constexpr auto MinGoodCalls = std::uint32_t{10};
/** Calls and failures without which a version is not called bad. */
static constexpr auto MinBadCalls = std::uint32_t{5};
static constexpr auto MinFailures = std::uint32_t{3};
/** Failure share beyond twice the old version's at which one is bad. */
static constexpr auto BadShare = 0.12;
/** Run time, relative to the old version's, at which one is bad. */
static constexpr auto SlowFactor = 2.5;
/** Timed calls of both versions without which run times are not compared. */
static constexpr auto MinTimed = std::uint32_t{6};
/** Failures and failure share at which a node stops a version by itself. */
static constexpr auto BrakeFailures = std::uint32_t{4};
static constexpr auto BrakeShare = 0.25;
/** Calls after which a brake window starts to forget. */
static constexpr auto BrakeWindowCalls = std::uint32_t{24};

auto mergeRollout(rollout_state &Held, const rollout_state &News) -> bool {
  if (News.OrderOffset < Held.OrderOffset) {
    return false;
  }
  if (News.OrderOffset > Held.OrderOffset) {
    Held = News;
    return true;
  }
  Held.SeenAt = std::min(Held.SeenAt, News.SeenAt);
  if (News.Stage <= Held.Stage) {
    return false;
  }
  Held.Stage = News.Stage;
  return true;
}

void addEvidence(version_evidence &Sum, const version_evidence &Part) {
  for (const auto &[Route, Tally] : Part) {
    auto &Total = Sum[Route];
    Total.Calls += Tally.Calls;
    Total.Failures += Tally.Failures;
    Total.Timed += Tally.Timed;
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
         failureShare(New) >= BadShare + 2 * failureShare(Old);
}

static auto isSlow(const route_tally &New, const route_tally &Old) -> bool {
  if (New.Timed < MinTimed || Old.Timed < MinTimed) {
    return false;
  }
  auto NewMean = static_cast<double>(New.RunMicros) / New.Timed;
  auto OldMean = static_cast<double>(Old.RunMicros) / Old.Timed;
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
  }
  if (isFailing(NewAll, OldAll)) {
    return verdict::Bad;
  }
  return NewAll.Calls >= MinGoodCalls ? verdict::Good : verdict::Unclear;
}

auto decideRollout(const rollout_state &State, const rollout_inputs &Inputs)
    -> rollout_step {
  auto Passed = static_cast<double>(Inputs.Elapsed.count()) /
                static_cast<double>(micros(State.Order.Duration).count());
  if (State.Stage == rollout_stage::Braked || Inputs.Verdict == verdict::Bad) {
    return rollout_step::RollBack;
  }
  if (State.Stage == rollout_stage::Switching) {
    auto Settled = Inputs.SinceSwitch >= SwitchTime;
    return Settled && Passed >= CompleteShare ? rollout_step::Complete
                                              : rollout_step::Wait;
  }
  auto HasRoom = Inputs.NewSlots >= NeededSlotShare * Inputs.OldSlots;
  if (Passed >= SwitchShare && HasRoom && Inputs.Verdict == verdict::Good) {
    return rollout_step::Switch;
  }
  return Passed >= GiveUpShare ? rollout_step::RollBack : rollout_step::Wait;
}

auto useOfVersion(const version_id &Version, const rollout_state *Rollout,
                  const version_id &Base) -> version_use {
  if (Rollout == nullptr) {
    return Version == Base ? version_use::Serving : version_use::Excluded;
  }
  auto IsNew = Version == Rollout->Order.Version;
  switch (Rollout->Stage) {
  case rollout_stage::Testing:
    return IsNew ? version_use::Trial : version_use::Serving;
  case rollout_stage::Switching:
  case rollout_stage::Completed:
    return IsNew ? version_use::Serving : version_use::Excluded;
  case rollout_stage::Braked:
  case rollout_stage::RolledBack:
    break;
  }
  return IsNew ? version_use::Excluded : version_use::Serving;
}

/** @return the digits at the front of Text as a number; they are removed. */
static auto takeNumber(std::string_view &Text) -> std::uint64_t {
  auto Number = std::uint64_t{0};
  while (!Text.empty() &&
         std::isdigit(static_cast<unsigned char>(Text.front())) != 0) {
    Number = Number * 10 + static_cast<std::uint64_t>(Text.front() - '0');
    Text.remove_prefix(1);
  }
  return Number;
}

auto isOlderVersion(const version_id &Left, const version_id &Right) -> bool {
  auto First = std::string_view(Left.Value);
  auto Second = std::string_view(Right.Value);
  while (!First.empty() && !Second.empty()) {
    auto Digits = std::isdigit(static_cast<unsigned char>(First[0])) != 0 &&
                  std::isdigit(static_cast<unsigned char>(Second[0])) != 0;
    if (Digits) {
      auto FirstNumber = takeNumber(First);
      auto SecondNumber = takeNumber(Second);
      if (FirstNumber != SecondNumber) {
        return FirstNumber < SecondNumber;
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

auto noteAndCheckBrake(brake_window &Window, bool Failed) -> bool {
  if (Window.Calls >= BrakeWindowCalls) {
    Window.Calls /= 2;
    Window.Failures /= 2;
  }
  ++Window.Calls;
  Window.Failures += Failed ? 1 : 0;
  return Window.Failures >= BrakeFailures &&
         Window.Failures >= BrakeShare * Window.Calls;
}

} // namespace sycamorelb::rollout
