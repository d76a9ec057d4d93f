/** @file move_func.h Decides the next step or the verdict of a move. */
#pragma once

#include "sycamorelb/moves/sequential_test_func.h"

namespace sycamorelb::moves {

/** Fewest calls on the new version for the verdict done. */
inline constexpr std::uint64_t MinimumCalls = 30;
/** Calls on the new version since the last step before another step is taken,
 * unless the deadline forces one. */
inline constexpr std::uint64_t MinimumStepCalls = 100;
/** Shortest time between steps; covers a window, WindowGrace and the interval
 * of reports. */
inline constexpr millis MinimumStepTime{5000};
/** Largest share of a running move. The rest stays on the old version as a
 * control group, because only calls of the same period tell a fault of the new
 * version from one that affects both. The verdict done moves the rest at once.
 * At 850,000 ppm and 40 calls/s there are too few old calls: the test misses 7
 * of 100 simulated versions whose failure ratio rises by 5 percentage points at
 * the largest share. */
inline constexpr share_ppm LargestShare{800'000};
/** Fraction of the concurrency limit of the warm new upstreams that a step may
 * use. */
inline constexpr double CapacityFraction = 0.8;

/** State of a driver between decisions. A new driver starts with an empty one,
 * which can only delay a step. */
struct driver_state {
  std::optional<std::uint32_t> Step; ///< Latest step number.
  wall_ms StepSeenAt;                ///< When the step was first seen.
  std::uint64_t CallsAtStep = 0;     ///< New calls counted by then.
  wall_ms LastDecisionAt;            ///< Time of the last decision.
  millis Outage{0}; ///< Time during which the log was unavailable.
};

/** Inputs of one decision. */
struct move_input {
  std::optional<move_alarm> Alarm; ///< From the sequential test of this driver.
  std::optional<std::string> Brake; ///< Reason why a node stopped the move.
  std::uint64_t NewCalls = 0;       ///< Calls on the new version so far.
  double Evidence = 0;              ///< test_state::Evidence.
  double Information = 0;           ///< test_state::Information.
  double InformationNeeded =
      BaseInformation;      ///< test_state::InformationNeeded.
  move_capacity Capacity;   ///< From the membership table.
  bool LogAvailable = true; ///< Whether the log accepts records.
};

/**
 * Decides which record to append next. Several drivers may decide at the same
 * time: each step names its predecessor, and replay accepts only the first.
 */
auto decideNext(const config::move_state &State, driver_state &DriverState,
                const move_input &Input, wall_ms Now) -> move_decision;

/** @return the part of the input that comes from the test and the evidence. */
auto makeMoveInput(const test_state &Test, const merged_evidence &Evidence)
    -> move_input;

/** @return how long a move stays at the largest share before it is done. */
auto observationTime(const config::move &Move, wall_ms StartedAt) -> millis;

/** @return the largest share that the warm new upstreams can serve. */
auto capacityShare(const move_capacity &Capacity) -> share_ppm;

/** @return why replay rejects the step; nothing if it is accepted. */
auto checkStep(const config::move_state &State, const move_step &Step)
    -> std::optional<std::string>;

/** @return why replay rejects the verdict; nothing if it is accepted. */
auto checkVerdict(const config::move_state &State, const move_verdict &Verdict)
    -> std::optional<std::string>;

} // namespace sycamorelb::moves
