/** @file cli_type.h Verbs, arguments and exit codes of the command line. */
#pragma once

#include <string>
#include <vector>

namespace sycamorelb::cli {

/** Exit codes of all verbs. */
enum class exit_code : int {
  Done = 0,        ///< The command took effect or printed its answer.
  Refused = 1,     ///< Refused; nothing changed, or a move was taken back.
  Usage = 2,       ///< The command line is wrong.
  Unknown = 3,     ///< The outcome is unknown; ask again with the request id.
  Unreachable = 4, ///< No node answered; nothing changed.
};

/** Positional arguments after the verb. */
using arguments = std::vector<std::string>;

/** One verb of the command line. */
struct verb {
  const char *Name;                ///< First word of the command line.
  const char *Usage;               ///< Arguments, for the help text.
  const char *Help;                ///< What it does.
  std::vector<const char *> Flags; ///< Flags that it accepts.
  std::size_t Positional;          ///< Number of positional arguments.
  auto(*Run)(const arguments &Arguments) -> exit_code; ///< Carries it out.
};

} // namespace sycamorelb::cli
