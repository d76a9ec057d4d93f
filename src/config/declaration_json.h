/** @file declaration_json.h Declarations as JSON values. */
#pragma once

#include "sycamorelb/config/declaration_func.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace sycamorelb::config {

/** @return the canonical JSON of a declaration; defaults are written out. */
auto declarationToJson(const declaration &Declaration) -> nlohmann::json;

/** @return the canonical JSON of a move. */
auto moveToJson(const move &Move) -> nlohmann::json;

/** Reads JSON that passed checkJson. */
auto declarationFromJson(const nlohmann::json &Root) -> declaration;

/** Reads a move from JSON that passed checkMoveJson or checkJson. */
auto moveFromJson(const nlohmann::json &Root) -> move;

/**
 * Checks JSON in full: schema, names, references, ranges and duplicates.
 * @return all faults found.
 */
auto checkJson(const nlohmann::json &Root, const std::string &File)
    -> std::vector<declaration_error>;

/** Checks a move alone against the schema; references are not checked.
 * @return all faults found. */
auto checkMoveJson(const nlohmann::json &Root)
    -> std::vector<declaration_error>;

/** @return whether Name is a valid name of a zone, service, route or move. */
auto isName(std::string_view Name) -> bool;

/** @return the candidate with the smallest edit distance to Word, or empty. */
auto nearestWord(std::string_view Word,
                 const std::vector<std::string> &Candidates) -> std::string;

} // namespace sycamorelb::config
