/** @file json_text.h Parses JSON from untrusted text. */
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sycamorelb::config {

/** Deepest nesting accepted. Copying and comparing JSON values recurses, so
 * deeper text could overflow the stack. */
inline constexpr std::size_t MaxJsonDepth = 32;

/** A key that occurs twice in one object. */
struct duplicate_key {
  std::string Pointer; ///< JSON pointer to the object.
  std::string Key;     ///< The key.
};

/** Text that is not JSON. */
struct json_fault {
  std::size_t Line = 1;   ///< Line of the fault, from 1.
  std::size_t Column = 1; ///< Column of the fault in bytes, from 1.
  std::string Message;    ///< What was found and expected.
};

/** Parsed JSON. */
struct json_document {
  nlohmann::json Root;                   ///< The value.
  std::vector<duplicate_key> Duplicates; ///< Keys given twice.
};

/** @return the document, or where it is not JSON. */
auto parseJson(std::string_view Text)
    -> std::variant<json_document, json_fault>;

/** @return Key escaped as one JSON pointer token. */
auto escapeToken(std::string_view Key) -> std::string;

} // namespace sycamorelb::config
