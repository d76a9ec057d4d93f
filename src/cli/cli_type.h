/** @file cli_type.h Verbs, arguments and exit codes of the command line. */
#pragma once

#include <string>
#include <vector>

namespace sycamorelb::cli {

/** Exit codes of all verbs. */
enum class exit_code : int {
  Done = 0,        ///< The command took effect or printed its result.
  Refused = 1,     ///< Refused, nothing changed; or a move was rolled back.
  Usage = 2,       ///< The command line is invalid.
  Unknown = 3,     ///< Outcome unknown; query it with the request id.
  Unreachable = 4, ///< No node could be reached; nothing changed.
};

/** Positional arguments after the verb. */
using arguments = std::vector<std::string>;

/** Verb of the command line. */
struct verb {
  const char *Name;                ///< First word of the command line.
  const char *Usage;               ///< Arguments as the help text shows them.
  const char *Help;                ///< Description for the help text.
  std::vector<const char *> Flags; ///< Flags that it accepts.
  std::size_t PositionalCount;     ///< Number of positional arguments.
  auto(*Run)(const arguments &Arguments) -> exit_code; ///< Runs the verb.
};

} // namespace sycamorelb::cli
