/** @file call_queue.h Calls that wait for a slot of the target beside a node.
 *
 * Answers bursts and retry storms: a call waits only while it can still be
 * answered in time, the most urgent one goes first, and those that no longer
 * fit are refused at once instead of when their time is over.
 */
#pragma once

#include "sycamorelb/core/unit_type.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sycamorelb::dispatch {

/** A call as the queue sees it. */
struct queued_call {
  std::uint64_t Key = 0;      ///< Identifies the call.
  std::uint32_t Priority = 0; ///< Rank of its route; 0 is the most urgent.
  steady_time OnTimeBy{};     ///< Latest start for an answer on time.
  steady_time StartBy{};      ///< Latest start at all.
  steady_time ArrivedAt{};    ///< When it was queued.
};

/** What decides how fast the queue moves. */
struct target_pace {
  std::uint32_t Slots = 1;   ///< Calls that the target runs at once.
  std::uint32_t Running = 0; ///< Calls that it runs now.
  micros MeanRun{0};         ///< Mean time that a call holds a slot.
  /** Waits until the next starts that a limited rate allows, in order; their
   * number is the most starts in RateWindow. Empty for no limit. */
  std::vector<micros> StartWaits;
  micros RateWindow{0}; ///< Time after which StartWaits repeat.
};

/** @return the expected wait of a call with Ahead calls before it. */
auto expectedWait(const target_pace &Pace, std::size_t Ahead) -> micros;

/** Calls in the order in which they start. */
class call_queue {
public:
  /** Queues a call if it can be expected to start in time.
   * @return whether it was queued. */
  auto push(const queued_call &Call, const target_pace &Pace, steady_time Now)
      -> bool;
  /** @return the calls that can't be expected to start in time any more; they
   * are removed. */
  auto takeHopeless(const target_pace &Pace, steady_time Now)
      -> std::vector<queued_call>;
  /** @return the next call to start, removed from the queue. */
  auto pop(steady_time Now) -> std::optional<queued_call>;
  /** Removes a call. @return whether it was there. */
  auto remove(std::uint64_t Key) -> bool;
  /** @return all calls, removed. */
  auto takeAll() -> std::vector<queued_call>;
  /** @return the number of calls. */
  auto size() const -> std::size_t { return Calls.size(); }
  /** @return the earliest time at which a call runs out of time, if any. */
  auto nextExpiry() const -> std::optional<steady_time>;

private:
  std::vector<queued_call> Calls; ///< In order of their start.
};

/** @return whether Left starts before Right: calls that can be on time first,
 * then by priority, then by the earlier limit. */
auto startsBefore(const queued_call &Left, const queued_call &Right,
                  steady_time Now) -> bool;

} // namespace sycamorelb::dispatch
