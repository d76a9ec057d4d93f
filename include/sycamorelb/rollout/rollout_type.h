/** @file rollout_type.h Traffic moves that operators order through the store.
 */
#pragma once

#include "sycamorelb/mesh/config_type.h"

#include <cstdint>
#include <map>

namespace sycamorelb::rollout {

/** Progress of an order; later stages replace earlier ones on every node. */
enum class rollout_stage : std::uint8_t {
  Testing = 1, ///< The new version gets a small share.
  Switching,   ///< It gets everything; the old one is still there.
  Braked,      ///< A node saw it fail; it gets nothing.
  RolledBack,  ///< Final: it gets nothing.
  Completed,   ///< Final: only it gets calls.
};

/** State of the newest order of a service. */
struct rollout_state {
  mesh::version_order Order;                    ///< What was ordered.
  log_offset OrderOffset{0};                    ///< Position of the order.
  rollout_stage Stage = rollout_stage::Testing; ///< Progress.
  steady_time SeenAt{}; ///< When the order was first seen.
};

/** @return whether the stage is final. */
inline auto isFinal(rollout_stage Stage) -> bool {
  return Stage == rollout_stage::RolledBack ||
         Stage == rollout_stage::Completed;
}

/** Merges what another source knows of a service's order.
 * @return whether Held changed. */
auto mergeRollout(rollout_state &Held, const rollout_state &News) -> bool;

/** Calls of one route that a version answered. */
struct route_tally {
  std::uint32_t Calls = 0;     ///< Calls that arrived at a target.
  std::uint32_t Failures = 0;  ///< Calls that the target failed.
  std::uint32_t Timed = 0;     ///< Answered calls of warm targets.
  std::uint64_t RunMicros = 0; ///< Sum of their run times.
};

/** Evidence on one version by route. */
using version_evidence = std::map<route_id, route_tally>;

/** Adds the tallies of Part to Sum. */
void addEvidence(version_evidence &Sum, const version_evidence &Part);

/** What evidence says of a new version. */
enum class verdict : std::uint8_t { Unclear, Good, Bad };

/**
 * Compares a new version with the old one, over all routes and route by route.
 * @return Bad as soon as it fails clearly more often or takes much longer;
 * Good if there are enough calls and it is not bad.
 */
auto judge(const version_evidence &New, const version_evidence &Old) -> verdict;

/** What the nodes that lead an order do next. */
enum class rollout_step : std::uint8_t { Wait, Switch, Complete, RollBack };

/** Inputs of a decision on an order. */
struct rollout_inputs {
  micros Elapsed{0};          ///< Since the order was seen.
  micros SinceSwitch{0};      ///< Since the switch; 0 before it.
  std::uint32_t NewSlots = 0; ///< Slots of warm targets of the new version.
  std::uint32_t OldSlots = 0; ///< Slots of ready targets of the old one.
  verdict Verdict = verdict::Unclear; ///< What the evidence says.
};

/** @return the next step of an order that is not final. */
auto decideRollout(const rollout_state &State, const rollout_inputs &Inputs)
    -> rollout_step;

/** How a version of a service may be used. */
enum class version_use : std::uint8_t {
  Serving, ///< It gets the calls of the service.
  Trial,   ///< It gets a small share.
  Excluded ///< It gets nothing.
};

/** @return how a version may be used.
 * @param Rollout newest order of the service, or null.
 * @param Base version that serves where no order says otherwise. */
auto useOfVersion(const version_id &Version, const rollout_state *Rollout,
                  const version_id &Base) -> version_use;

/** @return whether Left is an older version by natural order of digits. */
auto isOlderVersion(const version_id &Left, const version_id &Right) -> bool;

/** Share of a service's calls for a version on trial, in percent. */
inline constexpr std::uint32_t TrialPercent = 4;

/** Recent calls of a target of a new version, for an immediate stop. */
struct brake_window {
  std::uint32_t Calls = 0;    ///< Calls in the window.
  std::uint32_t Failures = 0; ///< Failed ones.
};

/** Notes a call. @return whether the version must get nothing more. */
auto noteAndCheckBrake(brake_window &Window, bool Failed) -> bool;

} // namespace sycamorelb::rollout
