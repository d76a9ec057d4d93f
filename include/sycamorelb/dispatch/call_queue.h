/** @file call_queue.h Calls that wait for a slot of the node's local target.
 *
 * Limits the effect of bursts and retry storms: a call waits only while it can
 * still be answered in time, the most urgent call starts first, and a call that
 * can't start in time is refused at once rather than at its deadline.
 */
#pragma once

#include "sycamorelb/core/unit_type.h"
#include "sycamorelb/dispatch/fair_share.h"
#include "sycamorelb/dispatch/start_schedule.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sycamorelb::dispatch {

/** Minimum time to start that an entry node grants to the target's node. */
inline constexpr auto MinTimeToStart = micros(15'000);

/** A waiting call. */
struct queued_call {
  std::uint64_t Key = 0;           ///< Identifies the call.
  std::uint32_t Priority = 0;      ///< Priority of its route; 0 is the highest.
  steady_time LatestOnTimeStart{}; ///< Latest start for an answer on time.
  steady_time LatestStart{};       ///< Latest start at all.
  steady_time ArrivedAt{};         ///< When it was queued.
  call_share Share{};              ///< Classes of its customer and kind.
  call_standing Standing{};        ///< What they have used so far.
};

/** Capacity and load of the target; determines how fast the queue drains. */
struct target_capacity {
  std::uint32_t Slots = 1;   ///< Calls that the target can run concurrently.
  std::uint32_t Running = 0; ///< Calls that are running now.
  micros MeanRun{0};         ///< Mean time that a call holds a slot.
  start_schedule Starts;     ///< Rate limits on starts.
};

/** @return the expected wait of a call that has Ahead calls before it. */
auto expectedWait(const target_capacity &Capacity, std::size_t Ahead) -> micros;

/** Queue of calls, ordered by start. */
class call_queue {
public:
  /** Queues a call if it is expected to start in time.
   * @return whether it was queued. */
  auto push(const queued_call &Call, const target_capacity &Capacity,
            steady_time Now) -> bool;
  /** Removes the calls that are no longer expected to start in time.
   * @return the removed calls. */
  auto shedLateCalls(const target_capacity &Capacity, steady_time Now)
      -> std::vector<queued_call>;
  /** Removes and returns the next call to start, if any. */
  auto pop(steady_time Now) -> std::optional<queued_call>;
  /** Updates the standing of all calls. */
  void updateStandings(fair_share &Share, steady_time Now);
  /** Removes a call. @return whether it was queued. */
  auto remove(std::uint64_t Key) -> bool;
  /** Removes and returns all calls. */
  auto takeAll() -> std::vector<queued_call>;
  /** @return the number of calls. */
  auto size() const -> std::size_t { return Calls.size(); }
  /** @return the earliest LatestStart of all calls, or nothing if the queue is
   * empty. */
  auto nextExpiry() const -> std::optional<steady_time>;

private:
  std::vector<queued_call> Calls; ///< Ordered by start at the last sort.
};

/** @return whether Left starts before Right: calls that can still be on time
 * come first, then priority decides, then the use of the customers, then the
 * earlier time limit. */
auto startsBefore(const queued_call &Left, const queued_call &Right,
                  steady_time Now) -> bool;

} // namespace sycamorelb::dispatch
