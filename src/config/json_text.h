/** @file json_text.h Parsing of untrusted JSON text. */
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sycamorelb::config {

/** Maximum nesting depth. Copying and comparing JSON values is recursive, so
 * deeper nesting could overflow the stack. */
inline constexpr std::size_t MaxJsonDepth = 32;

/** A key that occurs twice in one object. */
struct duplicate_key {
  std::string Pointer; ///< JSON pointer to the object.
  std::string Key;     ///< The key.
};

/** Error of parsing JSON text. */
struct json_error {
  std::size_t Line = 1;   ///< Line of the error, from 1.
  std::size_t Column = 1; ///< Column of the error in bytes, from 1.
  std::string Message;    ///< What was found and what was expected.
};

/** A parsed JSON document. */
struct json_document {
  nlohmann::json Root;                   ///< Root value.
  std::vector<duplicate_key> Duplicates; ///< Duplicate keys of all objects.

  // User-provided: the implicit constructor would be noexcept, but constructing
  // the library's null value counts as throwing.
  json_document() : Root(nullptr) {}
};

/**
 * Parses text into an empty document.
 * @return the error, or nothing on success.
 */
auto parseJson(std::string_view Text, json_document &Document)
    -> std::optional<json_error>;

/** @return Key escaped as a JSON pointer token. */
auto escapeToken(std::string_view Key) -> std::string;

} // namespace sycamorelb::config
