/** @file replay_cmd.h State changes of the record types. */
#pragma once

#include "sycamorelb/config/replay_func.h"

#include <string>

namespace sycamorelb::config {

/** Largest number of ended moves kept that the declaration does not list. */
inline constexpr std::size_t MaxEndedMoves = 256;

/** Why a command refuses; empty when it was executed. */
using refusal = std::string;

/**
 * Commands check in full, then change the state in full; a refusal leaves it
 * untouched.
 * @param At time at the writer of the record.
 * @return the refusal, empty on success.
 */
auto execute(config_state &State, const apply_record &Body, wall_ms At)
    -> refusal;
auto execute(config_state &State, const zone_record &Body, wall_ms At)
    -> refusal;
auto execute(config_state &State, const move_start_record &Body, wall_ms At)
    -> refusal;
auto execute(config_state &State, const move_step_record &Body, wall_ms At)
    -> refusal;
auto execute(config_state &State, const move_verdict_record &Body, wall_ms At)
    -> refusal;

} // namespace sycamorelb::config
