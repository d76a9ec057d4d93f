/** @file record_delta.h Differences between versions of a large record. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sycamorelb::mesh {

/** @return what turns Base into Text: parts of Base and new bytes. Parts are
 * found at the opening braces of JSON objects, so moved objects are found too.
 */
auto encodeDelta(std::string_view Base, std::string_view Text) -> std::string;

/** @return the text, or nothing if the delta is malformed or made for another
 * base. */
auto applyDelta(std::string_view Base, std::string_view Delta)
    -> std::optional<std::string>;

} // namespace sycamorelb::mesh
