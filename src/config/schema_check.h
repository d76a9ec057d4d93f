/** @file schema_check.h Checks JSON against the declaration schema. */
#pragma once

#include "sycamorelb/config/declaration_func.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace sycamorelb::config {

/** Which part of the schema applies to the root. */
enum class schema_part { Declaration, Move };

/** @return all schema faults, those of unknown keys with the nearest key. */
auto checkSchema(const nlohmann::json &Root, schema_part Part,
                 const std::string &File) -> std::vector<declaration_error>;

/** Checks names, references, ranges across members, and duplicates. Members of
 * the wrong type are skipped; checkSchema reports them. */
auto checkReferences(const nlohmann::json &Root, const std::string &File)
    -> std::vector<declaration_error>;

/** Appends the faults of one move outside its references: names and times. */
void checkMoveMembers(const nlohmann::json &Move, const std::string &Pointer,
                      const std::string &File,
                      std::vector<declaration_error> &Errors);

/** @return a JSON value shortened for an error message. */
auto excerpt(const nlohmann::json &Value) -> std::string;

/** @return the names separated by commas, shortened after a few. */
auto listNames(const std::vector<std::string> &Names) -> std::string;

} // namespace sycamorelb::config
