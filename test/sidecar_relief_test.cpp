/** @file sidecar_relief_test.cpp Tests of the decisions which connections of
 * callers give way, and of the memory account. */
#include "sidecar/caller_relief.h"

#include <criterion/criterion.h>

using namespace sycamorelb;
using namespace sycamorelb::sidecar;

static constexpr auto MiB = std::size_t{1} << 20U;
static constexpr auto Timeouts =
    caller_timeouts{micros(3'000'000), micros(15'000'000)};

static auto budget(std::size_t Used) -> event::memory_budget {
  auto Budget = event::memory_budget();
  Budget.LimitBytes = 100 * MiB;
  Budget.UsedBytes = Used;
  return Budget;
}

static auto body(std::size_t Held, std::size_t Remaining, std::int64_t SilentMs)
    -> caller_view {
  auto View = caller_view();
  View.Stage = caller_stage::ReadingBody;
  View.HeldBytes = Held;
  View.BodyBytes = Held;
  View.RemainingBytes = Remaining;
  View.Silence = millis(SilentMs);
  View.StageAge = millis(SilentMs + 500);
  return View;
}

static auto actionOn(const std::vector<relief_decision> &Decisions,
                     std::size_t Index) -> relief_action {
  for (const auto &Decision : Decisions) {
    if (Decision.Index == Index) {
      return Decision.Action;
    }
  }
  return relief_action::Keep;
}

// Guards against refusing slow callers while there is memory for all.
Test(sidecar_relief, stalled_bodies_stay_while_memory_is_free) {
  auto Decisions = relieveMemory({body(4 * MiB, 1, 5000)}, budget(50 * MiB));
  cr_assert(Decisions.empty());
}

// Guards against crowds that stop just short of the end of their bodies.
Test(sidecar_relief, stalled_bodies_give_way_before_moving_ones) {
  auto Decisions = relieveMemory(
      {body(40 * MiB, 1, 2000), body(40 * MiB, MiB, 10)}, budget(88 * MiB));
  cr_assert(actionOn(Decisions, 0) == relief_action::Refuse);
  cr_assert(actionOn(Decisions, 1) == relief_action::Keep);
}

// Guards against a standstill of bodies that all wait for memory, and against
// refusing the one that is nearly complete.
Test(sidecar_relief, least_missing_body_reads_on_and_most_missing_is_refused) {
  auto Nearly = body(30 * MiB, MiB, 2500);
  auto Far = body(30 * MiB, 30 * MiB, 2500);
  for (auto *View : {&Nearly, &Far}) {
    View->ReadsPaused = true;
    View->PausedFor = millis(2500);
  }
  auto Decisions = relieveMemory({Far, Nearly}, budget(85 * MiB));
  cr_assert(actionOn(Decisions, 0) == relief_action::Refuse);
  cr_assert(actionOn(Decisions, 1) == relief_action::Resume);
}

// Guards against bodies sent byte by byte that keep their memory for ever.
Test(sidecar_relief, old_body_gives_way_though_bytes_arrive) {
  auto Trickle = body(60 * MiB, MiB, 10);
  Trickle.StageAge = millis(31'000);
  auto Decisions = relieveMemory({Trickle}, budget(85 * MiB));
  cr_assert(actionOn(Decisions, 0) == relief_action::Refuse);
}

// Guards against answers that nobody reads and that fill the memory.
Test(sidecar_relief, silent_readers_are_closed_under_pressure) {
  auto View = caller_view();
  View.Stage = caller_stage::Writing;
  View.HeldBytes = 50 * MiB;
  View.Silence = millis(1500);
  cr_assert(actionOn(relieveMemory({View}, budget(85 * MiB)), 0) ==
            relief_action::Close);
  cr_assert(relieveMemory({View}, budget(60 * MiB)).empty());
}

// Guards against connections that stay paused after the pressure has ended.
Test(sidecar_relief, all_paused_connections_read_on_without_pressure) {
  auto Paused = body(MiB, MiB, 500);
  Paused.ReadsPaused = true;
  auto Head = caller_view();
  Head.Stage = caller_stage::ReadingHead;
  Head.ReadsPaused = true;
  auto Decisions = relieveMemory({Paused, Head}, budget(10 * MiB));
  cr_assert(actionOn(Decisions, 0) == relief_action::Resume);
  cr_assert(actionOn(Decisions, 1) == relief_action::Resume);
}

// Guards against paused bodies that all read on to their end at once, as the
// first of them were refused.
Test(sidecar_relief, grants_stay_within_the_memory) {
  auto Views = std::vector<caller_view>(40, body(MiB, 4 * MiB, 100));
  for (auto &View : Views) {
    View.ReadsPaused = true;
    View.PausedFor = millis(100);
  }
  auto Granted = std::size_t{0};
  for (const auto &Decision : relieveMemory(Views, budget(50 * MiB))) {
    Granted += Decision.GrantedBytes;
  }
  cr_assert_eq(Granted, 0U);
  for (const auto &Decision : relieveMemory(Views, budget(80 * MiB))) {
    Granted += Decision.GrantedBytes;
  }
  cr_assert_eq(Granted, 8 * MiB);
}

// Guards against closing callers on links of a few kbit/s, and against bodies
// that make no progress.
Test(sidecar_relief, only_bodies_below_the_minimum_rate_expire) {
  auto Slow = body(0, MiB, 200);
  Slow.StageAge = millis(60'000);
  Slow.BodyBytes = 15'000; // 2 kbit/s.
  cr_assert(findExpired({Slow}, Timeouts).empty());
  Slow.BodyBytes = 6'000; // 0.8 kbit/s.
  cr_assert(actionOn(findExpired({Slow}, Timeouts), 0) ==
            relief_action::Refuse);
}

// Guards against heads that never end.
Test(sidecar_relief, unfinished_head_expires) {
  auto View = caller_view();
  View.Stage = caller_stage::ReadingHead;
  View.StageAge = millis(5900);
  cr_assert(findExpired({View}, Timeouts).empty());
  View.StageAge = millis(6100);
  cr_assert(actionOn(findExpired({View}, Timeouts), 0) == relief_action::Close);
}

// Guards against crowds of unfinished heads that take all descriptors.
Test(sidecar_relief, new_caller_replaces_oldest_unfinished_head) {
  auto Served = caller_view();
  Served.HasServed = true;
  Served.StageAge = millis(9000);
  auto Running = caller_view();
  Running.Stage = caller_stage::Running;
  Running.StageAge = millis(9000);
  auto Head = caller_view();
  Head.Stage = caller_stage::ReadingHead;
  Head.StageAge = millis(2000);
  auto Older = Head;
  Older.StageAge = millis(2500);
  cr_assert_eq(chooseForNewCaller({Served, Running, Head, Older}), 3U);
  cr_assert_eq(chooseForNewCaller({Running}), 1U);
}

// Guards against limits that leave nothing to peers, target and store.
Test(sidecar_relief, limits_keep_a_reserve) {
  cr_assert_eq(maxCallerConnections(4100), 2925U);
  cr_assert_geq(maxCallerConnections(100), 1U);
  cr_assert_eq(event::bufferLimit(0), 0U);
  cr_assert_geq(event::bufferLimit(160), 128 * MiB);
  cr_assert_lt(event::bufferLimit(160), 160 * MiB);
}

// Guards against memory that is counted twice or never released.
Test(sidecar_relief, charges_follow_copies_and_moves) {
  auto Budget = std::make_shared<event::memory_budget>();
  {
    auto First = event::memory_charge(Budget, 100);
    auto Copy = First;
    cr_assert_eq(Budget->UsedBytes, 200U);
    auto Moved = std::move(First);
    cr_assert_eq(Budget->UsedBytes, 200U);
    Copy = event::memory_charge();
    cr_assert_eq(Budget->UsedBytes, 100U);
    Moved.resize(30);
    cr_assert_eq(Budget->UsedBytes, 30U);
  }
  cr_assert_eq(Budget->UsedBytes, 0U);
  cr_assert_eq(Budget->PeakBytes, 200U);
}
