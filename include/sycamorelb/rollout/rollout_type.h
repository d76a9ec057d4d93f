/** @file rollout_type.h Version rollouts that operators order through the
 * store. */
#pragma once

#include "sycamorelb/mesh/config_type.h"
#include "sycamorelb/mesh/operator_table.h"

#include <cstdint>
#include <map>

namespace sycamorelb::rollout {

/** Progress of a rollout order; on every node a later stage replaces an
 * earlier one. */
enum class rollout_stage : std::uint8_t {
  Canary = 1, ///< The new version gets a small share of the calls.
  Switching,  ///< It gets all calls; the old one is still running.
  Braked,     ///< A node stopped it because of failures; it gets no calls.
  RolledBack, ///< Final: it gets no calls.
  Completed,  ///< Final: it gets all calls.
};

/** State of the newest rollout order of a service. */
struct rollout_state {
  mesh::version_order Order; ///< The order.
  /** With OrderEra, position at which the order was first found in the store.
   */
  log_offset OrderOffset{0};
  rollout_stage Stage = rollout_stage::Canary; ///< Progress.
  steady_time SeenAt{}; ///< When the order was first seen.
  store_era OrderEra;   ///< See OrderOffset.
  /** Newest position of the order: another one after operators wrote it again
   * in a new era. */
  mesh::log_position Stored;
  /** The order named the version that was in service when it came, so it
   * began as completed. Known only to nodes that were there. */
  bool NamedServing = false;
  /** @return the position that identifies the order. */
  auto identity() const -> mesh::log_position {
    return {OrderEra, OrderOffset};
  }
};

/** How orders of different eras of the store are compared. */
enum class order_match : std::uint8_t {
  ByOffset, ///< The same content at the same offset, as after a rewind.
  /** The same content in an era in which the other one wasn't found yet: it was
   * written again. */
  ByContent,
};

/** @return whether both are the same order. Orders of one era are the same only
 * if they are the same record. */
auto isSameOrder(const rollout_state &Left, const rollout_state &Right,
                 order_match Match) -> bool;

/** @return whether the stage is final. */
inline auto isFinal(rollout_stage Stage) -> bool {
  return Stage == rollout_stage::RolledBack ||
         Stage == rollout_stage::Completed;
}

/** Merges the state of a service's rollout from another source into Current.
 * @return whether the order or its stage changed. */
auto mergeRollout(rollout_state &Current, const rollout_state &Update,
                  order_match Match = order_match::ByOffset) -> bool;

/** Counts of one route's calls to a version. */
struct route_tally {
  std::uint32_t Calls = 0;      ///< Calls that arrived at a target.
  std::uint32_t Failures = 0;   ///< Calls that the target failed.
  std::uint32_t TimedCalls = 0; ///< Calls that warm targets answered.
  std::uint64_t RunMicros = 0;  ///< Sum of the run times of TimedCalls.
};

/** Call counts of one version by route, on which a verdict is based. */
using version_evidence = std::map<route_id, route_tally>;

/** Adds the tallies of Part to Sum. */
void addEvidence(version_evidence &Sum, const version_evidence &Part);

/** Result of comparing a new version with the old one. */
enum class verdict : std::uint8_t { Unclear, Good, Bad };

/**
 * Compares a new version with the old one, on each route and over all routes.
 * @return Bad if the new version fails clearly more often, or takes much longer
 * on a route; Good if it is not bad, has enough calls and the run times of both
 * versions are known; Unclear otherwise.
 */
auto judge(const version_evidence &New, const version_evidence &Old) -> verdict;

/** Next action of the nodes that control a rollout. */
enum class rollout_step : std::uint8_t {
  Wait,
  Switch,   ///< The new version gets all calls.
  Complete, ///< Final: the old targets may stop.
  Brake,    ///< The new version gets no calls; nothing is final.
  RollBack, ///< Final: the new targets may stop.
};

/** For how long no target of any version but one was seen ready. */
struct version_absence {
  micros Now{0};     ///< Until now; 0 if there is one.
  micros AtOrder{0}; ///< Until the order was first seen.
  /** Time for which targets may be there without being seen: they start, are
   * cut off, or weren't heard of by a process that has started. */
  micros MaxUnseen = micros::max();
  /** @return whether the other versions have no targets. */
  auto isCertain() const -> bool { return Now >= MaxUnseen; }
  /** @return whether they had none when the order came: it names the version
   * that is in service. */
  auto isCertainAtOrder() const -> bool {
    return isCertain() && AtOrder >= MaxUnseen;
  }
};

/** Inputs of a rollout decision. */
struct rollout_inputs {
  micros Elapsed{0};          ///< Time since the order was first seen.
  micros SinceSwitch{0};      ///< Time since the switch; 0 before it.
  std::uint64_t NewSlots = 0; ///< Slots of the new version's warm targets.
  std::uint64_t OldSlots = 0; ///< Slots of the old version's ready targets.
  verdict Verdict = verdict::Unclear; ///< Verdict on the new version.
  version_absence OldAbsence;         ///< Absence of all other versions.
};

/** @return the next step of a rollout whose stage is not final. Nothing is
 * rolled back to a version without targets, and nothing is completed without
 * targets of the new one. */
auto decideRollout(const rollout_state &State, const rollout_inputs &Inputs)
    -> rollout_step;

/** Which calls of a service a version may get. */
enum class version_use : std::uint8_t {
  Serving, ///< It gets the regular calls.
  Canary,  ///< It gets CanaryPercent of the calls.
  Excluded ///< It gets no calls.
};

/** @return which calls a version may get.
 * @param Rollout newest rollout of the service, or null.
 * @param Base version that serves while the service has no rollout.
 * @param IsOnlyNew whether only the version of the rollout has targets, see
 * version_absence::isCertain(). */
auto versionUse(const version_id &Version, const rollout_state *Rollout,
                const version_id &Base, bool IsOnlyNew = false) -> version_use;

/** @return whether Left is older than Right in natural sort order, which
 * compares runs of digits as numbers. */
auto isOlderVersion(const version_id &Left, const version_id &Right) -> bool;

/** Share of a service's calls that a canary version gets, in percent. */
inline constexpr std::uint32_t CanaryPercent = 4;

/** Recent calls to a target of a new version. Its node stops the version at
 * once if too many of them fail. */
struct brake_window {
  std::uint32_t Calls = 0;    ///< Calls in the window.
  std::uint32_t Failures = 0; ///< Failed calls in the window.
};

/** Records a call. @return whether the version must get no more calls. */
auto updateBrake(brake_window &Window, bool Failed) -> bool;

} // namespace sycamorelb::rollout
