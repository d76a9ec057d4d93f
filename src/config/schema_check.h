/** @file schema_check.h Validation of the JSON of declarations. */
#pragma once

#include "sycamorelb/config/declaration_func.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace sycamorelb::config {

/** Part of the schema to validate the root value against. */
enum class schema_part { Declaration, Move };

/** @return all schema errors; those on unknown keys suggest the nearest known
 * key. */
auto checkSchema(const nlohmann::json &Root, schema_part Part,
                 const std::string &File) -> std::vector<declaration_error>;

/** Validates names, references, ranges that depend on other members, and
 * duplicates. Members of the wrong type are skipped; checkSchema reports them.
 */
auto checkReferences(const nlohmann::json &Root, const std::string &File)
    -> std::vector<declaration_error>;

/** Appends the errors of a single move, without its references to services and
 * versions. */
void checkMoveMembers(const nlohmann::json &Move, const std::string &Pointer,
                      const std::string &File,
                      std::vector<declaration_error> &Errors);

/** @return a JSON value, truncated for an error message. */
auto excerpt(const nlohmann::json &Value) -> std::string;

/** @return the first few names separated by commas, and their number if there
 * are more. */
auto listNames(const std::vector<std::string> &Names) -> std::string;

} // namespace sycamorelb::config
