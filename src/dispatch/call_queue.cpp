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
  if (Capacity.StartWaits.empty()) {
    return BySlots;
  }
  auto Starts = Capacity.StartWaits.size();
  auto Windows = static_cast<std::int64_t>(Ahead / Starts);
  return std::max(BySlots, Capacity.StartWaits[Ahead % Starts] +
                               Capacity.RateWindow * Windows);
}

/** @return the priority of a call after aging. */
static auto agedPriority(const queued_call &Call, steady_time Now)
    -> std::int64_t {
  return static_cast<std::int64_t>(Call.Priority) -
         (Now - Call.ArrivedAt) / AgingStep;
}

auto startsBefore(const queued_call &Left, const queued_call &Right,
                  steady_time Now) -> bool {
  auto SortKey = [Now](const queued_call &Call) {
    auto Late = Call.LatestOnTimeStart < Now;
    return std::make_tuple(Late, agedPriority(Call, Now),
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
