/** @file call_queue.cpp Ordering and admission of waiting calls. */
#include "sycamorelb/dispatch/call_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sycamorelb::dispatch {

/** Time in the queue after which the priority of a call rises by one, so that
 * a steady flow of high-priority calls doesn't starve the others. */
static constexpr auto AgingStep = micros(150'000);

auto expectedWait(const target_capacity &Capacity, std::size_t Ahead)
    -> micros {
  auto NeededCompletions = static_cast<std::int64_t>(Capacity.Running) -
                           static_cast<std::int64_t>(Capacity.Slots) + 1 +
                           static_cast<std::int64_t>(Ahead);
  auto Slots = std::max<std::int64_t>(1, Capacity.Slots);
  auto BySlots = NeededCompletions > 0
                     ? Capacity.MeanRun * NeededCompletions / Slots
                     : micros(0);
  return std::max(BySlots, startWait(Capacity.Starts, Ahead));
}

/** @return the priority of a call after aging. A customer above its share
 * doesn't gain by waiting, since the backlog of its burst would overtake later
 * calls of the others. A starved customer or kind counts as one of the highest
 * priority, not more, until it is served again. */
static auto agedPriority(const queued_call &Call, steady_time Now)
    -> std::int64_t {
  auto Priority =
      static_cast<std::int64_t>(Call.Standing.IsStarved ? 0 : Call.Priority);
  if (Call.Standing.Level > 0 && !Call.Standing.IsStarved) {
    return Priority;
  }
  return Priority - (Now - Call.ArrivedAt) / AgingStep;
}

auto startsBefore(const queued_call &Left, const queued_call &Right,
                  steady_time Now) -> bool {
  auto SortKey = [Now](const queued_call &Call) {
    auto Late = Call.LatestOnTimeStart < Now;
    auto Level = Call.Standing.IsStarved ? 0 : Call.Standing.Level;
    return std::make_tuple(Late, agedPriority(Call, Now), Level,
                           Late ? Call.LatestStart : Call.LatestOnTimeStart,
                           Call.Key);
  };
  return SortKey(Left) < SortKey(Right);
}

/** @return whether a call is expected to start in time. Without a wait it
 * always does, even past its limit: a free slot is never refused. */
static auto startsInTime(const queued_call &Call, micros Wait, steady_time Now)
    -> bool {
  return Wait == micros(0) || Now + Wait <= Call.LatestStart;
}

auto call_queue::push(const queued_call &Call, const target_capacity &Capacity,
                      steady_time Now) -> bool {
  auto Position = std::upper_bound(
      Calls.begin(), Calls.end(), Call,
      [Now](const queued_call &New, const queued_call &Queued) {
        return startsBefore(New, Queued, Now);
      });
  auto Ahead = static_cast<std::size_t>(Position - Calls.begin());
  if (!startsInTime(Call, expectedWait(Capacity, Ahead), Now)) {
    return false;
  }
  Calls.insert(Position, Call);
  return true;
}

auto call_queue::shedLateCalls(const target_capacity &Capacity, steady_time Now)
    -> std::vector<queued_call> {
  std::sort(Calls.begin(), Calls.end(),
            [Now](const queued_call &Left, const queued_call &Right) {
              return startsBefore(Left, Right, Now);
            });
  auto Shed = std::vector<queued_call>();
  auto Kept = std::vector<queued_call>();
  for (const auto &Call : Calls) {
    auto InTime = startsInTime(Call, expectedWait(Capacity, Kept.size()), Now);
    (InTime ? Kept : Shed).push_back(Call);
  }
  Calls = std::move(Kept);
  return Shed;
}

auto call_queue::pop(steady_time Now) -> std::optional<queued_call> {
  if (Calls.empty()) {
    return std::nullopt;
  }
  auto First = std::min_element(
      Calls.begin(), Calls.end(),
      [Now](const queued_call &Left, const queued_call &Right) {
        return startsBefore(Left, Right, Now);
      });
  auto Call = *First;
  Calls.erase(First);
  return Call;
}

void call_queue::updateStandings(fair_share &Share, steady_time Now) {
  auto HasChanged = false;
  for (auto &Call : Calls) {
    auto Standing = standingOf(Share, Call.Share, Now);
    HasChanged = HasChanged || Standing != Call.Standing;
    Call.Standing = Standing;
  }
  if (!HasChanged) {
    return;
  }
  // push() searches for the position of a new call.
  std::sort(Calls.begin(), Calls.end(),
            [Now](const queued_call &Left, const queued_call &Right) {
              return startsBefore(Left, Right, Now);
            });
}

auto call_queue::remove(std::uint64_t Key) -> bool {
  return std::erase_if(Calls, [Key](const queued_call &Call) {
           return Call.Key == Key;
         }) > 0;
}

auto call_queue::takeAll() -> std::vector<queued_call> {
  return std::exchange(Calls, {});
}

auto call_queue::nextExpiry() const -> std::optional<steady_time> {
  if (Calls.empty()) {
    return std::nullopt;
  }
  return std::min_element(
             Calls.begin(), Calls.end(),
             [](const queued_call &Left, const queued_call &Right) {
               return Left.LatestStart < Right.LatestStart;
             })
      ->LatestStart;
}

} // namespace sycamorelb::dispatch
