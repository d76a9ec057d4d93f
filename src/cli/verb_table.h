/** @file verb_table.h All verbs of the command line. */
#pragma once

#include "cli/cli_type.h"

namespace sycamorelb::cli {

/** @return all verbs, in the order of the help text. */
auto verbTable() -> const std::vector<verb> &;

} // namespace sycamorelb::cli
