/** @file declaration_func.h Parsing, rendering and comparison of declarations.
 */
#pragma once

#include "sycamorelb/config/declaration_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sycamorelb::config {

/** An error in a declaration. */
struct declaration_error {
  std::string File;    ///< File name as given by the operator.
  std::string Pointer; ///< JSON pointer to the error; empty for the root.
  std::string Found;   ///< The value or problem found there.
  std::string Allowed; ///< The values allowed there.
  auto operator==(const declaration_error &) const -> bool = default;
};

using parse_result = std::variant<declaration, std::vector<declaration_error>>;

/**
 * Parses and validates a declaration.
 * @param Text JSON text.
 * @param File file name used in the errors.
 * @return the declaration, or all errors found: syntax (with line and column),
 * schema, unknown keys (with the nearest known key), references, ranges and
 * duplicates.
 */
auto parseDeclaration(std::string_view Text, const std::string &File)
    -> parse_result;

/**
 * Validates references, ranges and duplicates of a declaration that was not
 * parsed from text.
 * @param File file name used in the errors.
 * @return all errors found; empty for a valid declaration.
 */
auto checkDeclaration(const declaration &Declaration, const std::string &File)
    -> std::vector<declaration_error>;

/** @return the declaration as JSON text for parseDeclaration. */
auto renderDeclaration(const declaration &Declaration) -> std::string;

/** @return one human-readable line per difference; empty if equal. */
auto diffDeclarations(const declaration &Before, const declaration &After)
    -> std::vector<std::string>;

/** @return the error as one line with file, pointer, found and allowed value.
 */
auto describe(const declaration_error &Error) -> std::string;

/** @return the JSON Schema of declaration files. */
auto declarationSchema() -> std::string_view;

/** @return the time as ISO-8601 UTC, such as 2026-03-01T06:30:00Z. */
auto formatTime(wall_ms Time) -> std::string;

/** @return the time, or nothing if Text is not ISO-8601 UTC with a Z suffix. */
auto parseTime(std::string_view Text) -> std::optional<wall_ms>;

} // namespace sycamorelb::config
