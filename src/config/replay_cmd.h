/** @file replay_cmd.h Execution of the mutation records. */
#pragma once

#include "sycamorelb/config/replay_func.h"

#include <string>

namespace sycamorelb::config {

/** Maximum number of ended moves kept in addition to declared ones. */
inline constexpr std::size_t MaxEndedMoves = 256;

/** Reason for rejecting a record; empty if it was executed. */
using rejection = std::string;

/**
 * Validates and executes a record. A rejected record leaves the state
 * unchanged.
 * @param At wall-clock time of the writer of the record.
 * @return the reason for rejecting the record; empty on success.
 */
auto execute(config_state &State, const apply_record &Body, wall_ms At)
    -> rejection;
auto execute(config_state &State, const zone_record &Body, wall_ms At)
    -> rejection;
auto execute(config_state &State, const move_start_record &Body, wall_ms At)
    -> rejection;
auto execute(config_state &State, const move_step_record &Body, wall_ms At)
    -> rejection;
auto execute(config_state &State, const move_verdict_record &Body, wall_ms At)
    -> rejection;

} // namespace sycamorelb::config
