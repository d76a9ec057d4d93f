/** @file declaration_json.h Conversion of declarations to and from JSON. */
#pragma once

#include "sycamorelb/config/declaration_func.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace sycamorelb::config {

/** @return the canonical JSON of a declaration, with explicit defaults. */
auto declarationToJson(const declaration &Declaration) -> nlohmann::json;

/** @return the canonical JSON of a move. */
auto moveToJson(const move &Move) -> nlohmann::json;

/** Converts JSON that passed checkJson. */
auto declarationFromJson(const nlohmann::json &Root) -> declaration;

/** Converts a move from JSON that passed checkMoveJson or checkJson. */
auto moveFromJson(const nlohmann::json &Root) -> move;

/**
 * Validates the JSON of a declaration: schema, names, references, ranges and
 * duplicates.
 * @return all errors found.
 */
auto checkJson(const nlohmann::json &Root, const std::string &File)
    -> std::vector<declaration_error>;

/** Validates the JSON of a single move; references are not checked.
 * @return all errors found. */
auto checkMoveJson(const nlohmann::json &Root)
    -> std::vector<declaration_error>;

/** @return whether Name is a valid name of a zone, service, route or move. */
auto isName(std::string_view Name) -> bool;

/** @return the candidate with the smallest edit distance to Word, or an empty
 * string if there are no candidates. */
auto nearestWord(std::string_view Word,
                 const std::vector<std::string> &Candidates) -> std::string;

} // namespace sycamorelb::config
