/** @file record_delta.h Deltas between versions of a large record. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sycamorelb::mesh {

/** @return a delta that turns Base into Text: copies of chunks of Base, and new
 * bytes. Chunks begin at the opening braces of JSON objects, so objects that
 * moved are copied as well. */
auto encodeDelta(std::string_view Base, std::string_view Text) -> std::string;

/** @return the text, or nothing if the delta is malformed or made for another
 * base. */
auto applyDelta(std::string_view Base, std::string_view Delta)
    -> std::optional<std::string>;

} // namespace sycamorelb::mesh
