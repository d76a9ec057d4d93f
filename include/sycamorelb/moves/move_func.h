/** @file move_func.h Decides the next step or the verdict of a move. */
#pragma once

#include "sycamorelb/moves/sequential_test_func.h"

namespace sycamorelb::moves {

/** Fewest calls on the new version for any verdict but taken back. */
inline constexpr std::uint64_t MinimumCalls = 30;
/** Calls on the new version since the last step for a step ahead of time. */
inline constexpr std::uint64_t StepCalls = 100;
/** Shortest time between steps; covers window, grace and report period. */
inline constexpr millis MinimumStage{5000};
/** Largest share of a running move. The rest stays on the old version as a
 * control group, because a fault that both versions share shows only in calls
 * of the same period; the verdict done then moves the rest at once. At 850,000
 * ppm, 40 calls/s give too few old calls: 7 of 100 simulated versions that turn
 * bad at the largest share by +5 points are missed. */
inline constexpr share_ppm LargestShare{800'000};
/** Part of the limit of the new version's warm upstreams that a step uses. */
inline constexpr double CapacityPart = 0.8;

/** What a driver remembers between calls; a new driver starts empty, which
 * can only delay a step. */
struct driver_memory {
  std::optional<std::uint32_t> Step; ///< Step number last seen.
  wall_ms StepSeenAt;                ///< When it was first seen.
  std::uint64_t CallsAtStep = 0;     ///< New calls counted at that time.
  wall_ms LastCall;                  ///< Time of the last call of advance.
  millis Outage{0};                  ///< Time without the log.
};

/** Inputs of one decision. */
struct move_input {
  std::optional<move_alarm> Alarm;  ///< From the test of this driver.
  std::optional<std::string> Brake; ///< Reason of a brake by any node.
  std::uint64_t NewCalls = 0;       ///< Calls on the new version so far.
  double Evidence = 0;              ///< test_state::Evidence.
  double Information = 0;           ///< test_state::Information.
  double InformationNeeded =
      BaseInformation;      ///< test_state::InformationNeeded.
  move_capacity Capacity;   ///< From the member table.
  bool LogAvailable = true; ///< Whether the log takes records now.
};

/**
 * Decides what to record next. Any driver may call it at any time: a decision
 * names the step it follows, and replay rejects all but the first.
 */
auto advance(const config::move_state &State, driver_memory &Memory,
             const move_input &Input, wall_ms Now) -> move_decision;

/** @return the input from the test and the evidence of this driver. */
auto inputOf(const test_state &Test, const merged_evidence &Evidence)
    -> move_input;

/** @return how long the largest share is observed before a move is done. */
auto observationTime(const config::move &Move, wall_ms StartedAt) -> millis;

/** @return the largest share that the warm new upstreams can take. */
auto capacityShare(const move_capacity &Capacity) -> share_ppm;

/** @return why replay rejects the step; nothing when it is accepted. */
auto checkStep(const config::move_state &State, const move_step &Step)
    -> std::optional<std::string>;

/** @return why replay rejects the verdict; nothing when it is accepted. */
auto checkVerdict(const config::move_state &State, const move_verdict &Verdict)
    -> std::optional<std::string>;

} // namespace sycamorelb::moves
