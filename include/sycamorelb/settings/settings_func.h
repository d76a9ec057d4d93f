/** @file settings_func.h Reads, validates and renders node settings. */
#pragma once

#include "sycamorelb/core/result_type.h"
#include "sycamorelb/settings/settings_type.h"

#include <string_view>

namespace sycamorelb::settings {

/**
 * Parses settings and validates them against the JSON Schema.
 * @param Text JSON text.
 * @param File file name for error messages.
 * @return the settings, or an InvalidArgument error that lists all violations
 *   with their JSON pointers, one per line.
 */
auto parseSettings(std::string_view Text, const std::string &File)
    -> result<node_settings>;

/** Reads and parses a settings file; NotFound if it cannot be read. */
auto readSettings(const std::string &File) -> result<node_settings>;

/** @return the settings as JSON text that parseSettings accepts. */
auto renderSettings(const node_settings &Settings) -> std::string;

/** @return default settings with example ids and secrets, as printed by
 * `sycamorelb node --print-settings`. */
auto exampleSettings() -> node_settings;

} // namespace sycamorelb::settings
