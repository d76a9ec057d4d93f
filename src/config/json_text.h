/** @file json_text.h Parses JSON from untrusted text. */
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
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

  // Not implicit: the library's null value counts as throwing, an implicit
  // constructor would be noexcept.
  json_document() : Root(nullptr) {}
};

/**
 * Parses text into an empty document.
 * @return where the text is not JSON; nothing on success.
 */
auto parseJson(std::string_view Text, json_document &Document)
    -> std::optional<json_fault>;

/** @return Key escaped as one JSON pointer token. */
auto escapeToken(std::string_view Key) -> std::string;

} // namespace sycamorelb::config
