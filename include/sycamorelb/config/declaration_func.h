/** @file declaration_func.h Reads, writes and compares declarations. */
#pragma once

#include "sycamorelb/config/declaration_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sycamorelb::config {

/** One fault in a declaration. */
struct declaration_error {
  std::string File;    ///< File name as given by the operator.
  std::string Pointer; ///< JSON pointer to the fault; empty for the root.
  std::string Found;   ///< What was found there.
  std::string Allowed; ///< What is allowed there.
  auto operator==(const declaration_error &) const -> bool = default;
};

using parse_result = std::variant<declaration, std::vector<declaration_error>>;

/**
 * Reads a declaration and checks it in full.
 * @param Text JSON text.
 * @param File name used in the errors.
 * @return the declaration, or all faults found: syntax (with line and column),
 * schema, unknown keys (with the nearest known key), references, ranges and
 * duplicates.
 */
auto parseDeclaration(std::string_view Text, const std::string &File)
    -> parse_result;

/**
 * Checks references, ranges and duplicates of a declaration that was not read
 * from text.
 * @param File name used in the errors.
 * @return all faults found; empty for a valid declaration.
 */
auto checkDeclaration(const declaration &Declaration, const std::string &File)
    -> std::vector<declaration_error>;

/** @return the declaration as JSON text, which parseDeclaration reads back. */
auto renderDeclaration(const declaration &Declaration) -> std::string;

/** @return one line per difference, for people; empty for equal ones. */
auto diffDeclarations(const declaration &Before, const declaration &After)
    -> std::vector<std::string>;

/** @return the error as one line: file, pointer, found, allowed. */
auto describe(const declaration_error &Error) -> std::string;

/** @return the JSON Schema of declaration files. */
auto declarationSchema() -> std::string_view;

/** @return the time as ISO-8601 UTC, such as 2026-03-01T06:30:00Z. */
auto formatTime(wall_ms Time) -> std::string;

/** @return the time, or nothing when Text is not ISO-8601 UTC with a Z. */
auto parseTime(std::string_view Text) -> std::optional<wall_ms>;

} // namespace sycamorelb::config
