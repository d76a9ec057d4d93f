/** @file routing_pick_test.cpp Tests of picks and outlier detection. */
#include "sycamorelb/routing/pick_func.h"
#include "sycamorelb/routing/stats_func.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace sycamorelb;
using namespace sycamorelb::routing;
using limits::call_outcome;

namespace {

constexpr auto Start = steady_time{micros{1'000'000'000}};

/** Warm upstreams with statistics, spread over zones and regions. */
struct fixture {
  std::vector<upstream_stats> Stats;
  std::vector<candidate> Candidates;
  pick_request Request{version_id{"v1"}, {zone_id{"z0"}, region_id{"r0"}}, {}};
  pick_config Config;
  random_source Random{7};

  explicit fixture(std::size_t Count, std::size_t Zones = 1) : Stats(Count) {
    for (auto Index = std::size_t{0}; Index < Count; ++Index) {
      auto Zone = Index % Zones;
      Stats[Index].LatencyUs = 10'000;
      Stats[Index].LatencyAt = Start;
      Stats[Index].EarnedLimit = 10;
      auto Candidate = candidate{};
      Candidate.Id = upstream_id{"u" + std::to_string(Index)};
      Candidate.Version = Request.Version;
      Candidate.Zone = zone_id{"z" + std::to_string(Zone)};
      Candidate.Region = region_id{"r" + std::to_string(Zone / 2)};
      Candidate.Slots = 10;
      Candidate.Stats = &Stats[Index];
      Candidates.push_back(Candidate);
    }
  }

  auto pick(steady_time Now = Start) -> pick_result {
    return pickUpstream(Candidates, Request, Config, Random, Now);
  }

  /** @return how often each candidate was picked. */
  auto countPicks(int Times, steady_time Now = Start) -> std::vector<int> {
    auto Counts = std::vector<int>(Candidates.size());
    for (auto Time = 0; Time < Times; ++Time)
      ++Counts[std::get<picked_upstream>(pick(Now)).Index];
    return Counts;
  }
};

auto genMember() -> rc::Gen<membership::member_state> {
  using membership::member_state;
  return rc::gen::element(member_state::Alive, member_state::Alive,
                          member_state::Suspect, member_state::Leaving,
                          member_state::Dead);
}

} // namespace

// Guards against calls to a zone out of service, a leaving node, a draining
// upstream, another version or an upstream that this call has tried already.
Test(routing_pick, picks_only_eligible_candidates) {
  cr_assert(rc::check("eligible only", [](std::uint64_t Seed) {
    auto Fixture = fixture{*rc::gen::inRange<std::size_t>(0, 20), 4};
    Fixture.Random = random_source{Seed};
    auto Excluded = std::vector<upstream_id>{};
    for (auto &Candidate : Fixture.Candidates) {
      if (*rc::gen::inRange(0, 5) == 0)
        Candidate.Version = version_id{"v2"};
      Candidate.ZoneInService = *rc::gen::inRange(0, 5) != 0;
      Candidate.Member = *genMember();
      if (*rc::gen::inRange(0, 5) == 0)
        Candidate.State = membership::upstream_state::Draining;
      if (*rc::gen::inRange(0, 5) == 0)
        Excluded.push_back(Candidate.Id);
    }
    for (auto &Stats : Fixture.Stats)
      Stats.Outlier.Ejected = *rc::gen::arbitrary<bool>();
    Fixture.Request.Excluded = Excluded;
    auto Has = [&](ineligible_reason Reason) {
      return std::ranges::any_of(Fixture.Candidates, [&](const auto &It) {
        return checkEligible(It, Fixture.Request) == Reason;
      });
    };
    auto Healthy = Has(ineligible_reason::None);
    auto Uncertain =
        Has(ineligible_reason::Ejected) || Has(ineligible_reason::Suspect);
    auto Result = Fixture.pick();
    RC_ASSERT(std::holds_alternative<picked_upstream>(Result) ==
              (Healthy || Uncertain));
    if (!std::holds_alternative<picked_upstream>(Result))
      return;
    const auto &Picked = std::get<picked_upstream>(Result);
    auto Reason =
        checkEligible(Fixture.Candidates[Picked.Index], Fixture.Request);
    RC_ASSERT(Picked.Panic == !Healthy);
    RC_ASSERT(Picked.PanicReason.empty() == Healthy);
    if (Healthy)
      RC_ASSERT(Reason == ineligible_reason::None);
    else
      RC_ASSERT(Reason == ineligible_reason::Ejected ||
                Reason == ineligible_reason::Suspect);
  }));
}

// Guards against jumps in the traffic split: the share of the own zone must
// fall in small steps as its utilisation rises, from 1 to its share of the
// capacity.
Test(routing_pick, tiers_spill_continuously) {
  cr_assert(rc::check("continuous spill", [] {
    auto Capacity = [] { return *rc::gen::inRange(1, 100) * 1.0; };
    auto Near = tier_load{Capacity(), 0};
    auto Middle = tier_load{Capacity(), *rc::gen::inRange(0, 101) / 100.0};
    auto Far = tier_load{Capacity(), 0};
    auto Total = Near.Capacity + Middle.Capacity + Far.Capacity;
    auto Previous = 1.0;
    for (auto Percent = 0; Percent <= 100; ++Percent) {
      Near.Utilisation = Percent / 100.0;
      auto Shares = computeTierShares(Near, Middle, Far, pick_config{});
      RC_ASSERT(std::abs(Shares.OwnZone + Shares.OwnRegion + Shares.Elsewhere -
                         1) < 1e-9);
      RC_ASSERT(Shares.OwnZone <= Previous + 1e-9);
      RC_ASSERT(Previous - Shares.OwnZone < 0.03);
      Previous = Shares.OwnZone;
    }
    RC_ASSERT(std::abs(Previous - Near.Capacity / Total) < 1e-9);
  }));
}

// Guards against spillover from an own zone that has spare capacity.
Test(routing_pick, idle_own_zone_keeps_all_traffic) {
  auto Fixture = fixture{12, 3};
  auto Counts = Fixture.countPicks(300);
  for (auto Index = std::size_t{0}; Index < Counts.size(); ++Index)
    cr_assert((Counts[Index] > 0) == (Index % 3 == 0));
}

// Guards against a load report that raises the effective limit above the earned
// limit.
Test(routing_pick, reports_only_lower_the_limit) {
  cr_assert(rc::check("reports only lower", [] {
    auto Fixture = fixture{1};
    auto &Stats = Fixture.Stats[0];
    Stats.EarnedLimit = *rc::gen::inRange(1, 11);
    auto Before = effectiveLimit(Fixture.Candidates[0]);
    auto Report =
        load_report{*rc::gen::inRange(0U, 2000U), *rc::gen::inRange(0U, 2000U),
                    *rc::gen::arbitrary<bool>()};
    onReport(Stats, Report, Start);
    auto After = effectiveLimit(Fixture.Candidates[0]);
    RC_ASSERT(After <= Before);
    RC_ASSERT(Report.Limit == 0 || After <= std::max(Report.Limit, 1U));
  }));
}

// Guards against an upstream that gets its full share at once after an ejection
// or after its zone is back in service.
Test(routing_pick, returned_upstream_starts_slowly) {
  for (auto ByZone : {false, true}) {
    auto Fixture = fixture{4};
    if (ByZone)
      Fixture.Candidates[0].ZoneInServiceSince = Start;
    else
      Fixture.Stats[0].Outlier.ReadmittedAt = Start;
    auto AtOnce = Fixture.countPicks(4000)[0];
    auto Halfway = Fixture.countPicks(4000, Start + micros{5'000'000})[0];
    auto Later = Fixture.countPicks(4000, Start + micros{10'000'000})[0];
    cr_assert(AtOnce > 0 && AtOnce < 300, "%d", AtOnce);
    cr_assert(Halfway > AtOnce && Halfway < Later, "%d", Halfway);
    cr_assert(Later > 800, "%d", Later);
  }
}

// Guards against a cold upstream that gets more than its limit while others
// have free slots, and against one that never gets the calls that warm it up.
Test(routing_pick, cold_upstream_gets_few_calls_but_some) {
  auto Fixture = fixture{4};
  Fixture.Stats[0].EarnedLimit = 1;
  onReport(Fixture.Stats[0], {1, 0, true}, Start);
  auto Idle = Fixture.countPicks(4000)[0];
  cr_assert(Idle > 40 && Idle < 400, "%d", Idle);
  onReport(Fixture.Stats[0], {1, 1, true}, Start);
  cr_assert(Fixture.countPicks(1000)[0] == 0);
}

// Guards against a report of being cold that expires: the upstream must not get
// its full share before a new report says that it is warm.
Test(routing_pick, cold_report_does_not_expire) {
  auto Fixture = fixture{4};
  onReport(Fixture.Stats[0], {1, 0, true}, Start);
  auto Later = Fixture.countPicks(4000, Start + micros{60'000'000})[0];
  cr_assert(Later > 40 && Later < 400, "%d", Later);
}

// Guards against a fast-failing upstream that attracts calls, and against a
// slow one that is never tried again.
Test(routing_pick, slow_and_failing_upstreams_get_less) {
  auto Fixture = fixture{3};
  for (auto Call = 0; Call < 20; ++Call) {
    onStart(Fixture.Stats[0]);
    onFinish(Fixture.Stats[0], call_outcome::Failure, micros{100}, 10, Start);
  }
  Fixture.Stats[1].LatencyUs = 100'000;
  auto Counts = Fixture.countPicks(3000);
  cr_assert(Counts[0] < Counts[2] / 2 && Counts[1] < Counts[2] / 2);
  auto Later = Fixture.countPicks(3000, Start + micros{120'000'000});
  cr_assert(Later[1] > 500, "%d", Later[1]);
}

// Guards against the ejection of more than half of a group.
Test(routing_pick, at_most_half_is_ejected) {
  cr_assert(rc::check("ejection bound", [] {
    auto States =
        std::vector<outlier_state>(*rc::gen::inRange<std::size_t>(1, 12));
    auto Group = std::vector<outlier_state *>{};
    for (auto &State : States)
      Group.push_back(&State);
    auto Now = Start;
    for (auto Step = 0; Step < 100; ++Step) {
      auto &State = States[*rc::gen::inRange<std::size_t>(0, States.size())];
      auto Outcome = *rc::gen::element(
          call_outcome::Success, call_outcome::Failure, call_outcome::Failure,
          call_outcome::Unreachable, call_outcome::Refused);
      observeCall(State, Outcome);
      Now += micros{*rc::gen::inRange(0, 500'000)};
      updateOutliers(Group, {}, Now);
      auto Ejected = std::ranges::count(States, true, &outlier_state::Ejected);
      RC_ASSERT(Ejected <= static_cast<std::ptrdiff_t>(States.size() / 2));
    }
  }));
}

// Guards against an unreachable upstream that stays eligible because an
// upstream that only fails calls uses up the cap on ejections.
Test(routing_pick, unreachable_upstream_is_ejected_instead_of_a_failing_one) {
  auto Unreachable = outlier_state();
  auto Failing = outlier_state();
  auto Group = std::vector<outlier_state *>{&Unreachable, &Failing};
  for (auto Call = 0; Call < 5; ++Call) {
    observeCall(Unreachable, call_outcome::Success);
    observeCall(Failing, call_outcome::Failure);
  }
  updateOutliers(Group, {}, Start);
  cr_assert(Failing.Ejected);
  observeCall(Unreachable, call_outcome::Unreachable);
  auto Changes = updateOutliers(Group, {}, Start + micros(1000));
  cr_assert(Unreachable.Ejected && !Failing.Ejected);
  cr_assert(Changes.Readmitted == std::vector<std::size_t>{1});
}

// Guards against panic picks of an unreachable upstream while others are only
// suspected: its refused connections would use up the attempts of the calls.
Test(routing_pick, panic_skips_unreachable_upstreams) {
  auto Fixture = fixture(2);
  Fixture.Stats[0].Outlier.Ejected = true;
  Fixture.Stats[0].Outlier.Unreachable = true;
  Fixture.Stats[0].Outlier.EjectedUntil = Start + micros(60'000'000);
  Fixture.Candidates[1].Member = membership::member_state::Suspect;
  cr_assert(Fixture.countPicks(200)[0] == 0);
}

// Guards against ejections when all upstreams fail alike.
Test(routing_pick, common_fault_ejects_none) {
  auto States = std::vector<outlier_state>(4);
  auto Group = std::vector<outlier_state *>{};
  for (auto &State : States)
    Group.push_back(&State);
  for (auto Call = 0; Call < 30; ++Call)
    for (auto &State : States) {
      observeCall(State, call_outcome::Failure);
      cr_assert(updateOutliers(Group, {}, Start).Ejected.empty());
    }
}

// Guards against an ejection that never ends, and against ejection times that
// do not grow when ejections repeat.
Test(routing_pick, ejection_grows_and_ends) {
  auto States = std::vector<outlier_state>(2);
  auto Group = std::vector<outlier_state *>{&States[0], &States[1]};
  auto Now = Start;
  auto Previous = micros{0};
  for (auto Round = 0; Round < 5; ++Round) {
    observeCall(States[0], call_outcome::Unreachable);
    cr_assert(updateOutliers(Group, {}, Now).Ejected.size() == 1);
    auto Length = States[0].EjectedUntil - Now;
    cr_assert(Length > Previous);
    Previous = Length;
    Now = States[0].EjectedUntil;
    cr_assert(updateOutliers(Group, {}, Now).Readmitted.size() == 1);
  }
}
