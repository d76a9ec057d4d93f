/** @file call_queue.cpp Order and admission of waiting calls. */
#include "sycamorelb/dispatch/call_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sycamorelb::dispatch {

/** Time in the queue after which a call rises by one rank, so that a steady
 * flow of urgent calls doesn't starve the others. */
static constexpr auto AgingStep = micros(150'000);

auto expectedWait(const target_pace &Pace, std::size_t Ahead) -> micros {
  auto Busy = static_cast<std::int64_t>(Pace.Running) -
              static_cast<std::int64_t>(Pace.Slots) + 1 +
              static_cast<std::int64_t>(Ahead);
  auto Slots = std::max<std::int64_t>(1, Pace.Slots);
  auto BySlots = Busy > 0 ? Pace.MeanRun * Busy / Slots : micros(0);
  if (Pace.StartWaits.empty()) {
    return BySlots;
  }
  auto Starts = Pace.StartWaits.size();
  auto Windows = static_cast<std::int64_t>(Ahead / Starts);
  return std::max(BySlots,
                  Pace.StartWaits[Ahead % Starts] + Pace.RateWindow * Windows);
}

/** @return the rank of a call after aging. */
static auto agedPriority(const queued_call &Call, steady_time Now)
    -> std::int64_t {
  return static_cast<std::int64_t>(Call.Priority) -
         (Now - Call.ArrivedAt) / AgingStep;
}

auto startsBefore(const queued_call &Left, const queued_call &Right,
                  steady_time Now) -> bool {
  auto Rank = [Now](const queued_call &Call) {
    auto Late = Call.OnTimeBy < Now;
    return std::make_tuple(Late, agedPriority(Call, Now),
                           Late ? Call.StartBy : Call.OnTimeBy, Call.Key);
  };
  return Rank(Left) < Rank(Right);
}

/** @return whether a call can be expected to start in time. One that need not
 * wait starts now, however little time it has: a free slot is never refused. */
static auto startsInTime(const queued_call &Call, micros Wait, steady_time Now)
    -> bool {
  return Wait == micros(0) || Now + Wait <= Call.StartBy;
}

auto call_queue::push(const queued_call &Call, const target_pace &Pace,
                      steady_time Now) -> bool {
  auto Place =
      std::upper_bound(Calls.begin(), Calls.end(), Call,
                       [Now](const queued_call &New, const queued_call &Held) {
                         return startsBefore(New, Held, Now);
                       });
  auto Ahead = static_cast<std::size_t>(Place - Calls.begin());
  if (!startsInTime(Call, expectedWait(Pace, Ahead), Now)) {
    return false;
  }
  Calls.insert(Place, Call);
  return true;
}

auto call_queue::takeHopeless(const target_pace &Pace, steady_time Now)
    -> std::vector<queued_call> {
  std::sort(Calls.begin(), Calls.end(),
            [Now](const queued_call &Left, const queued_call &Right) {
              return startsBefore(Left, Right, Now);
            });
  auto Hopeless = std::vector<queued_call>();
  auto Kept = std::vector<queued_call>();
  for (const auto &Call : Calls) {
    auto InTime = startsInTime(Call, expectedWait(Pace, Kept.size()), Now);
    (InTime ? Kept : Hopeless).push_back(Call);
  }
  Calls = std::move(Kept);
  return Hopeless;
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
               return Left.StartBy < Right.StartBy;
             })
      ->StartBy;
}

} // namespace sycamorelb::dispatch
