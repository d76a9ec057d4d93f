/** @file compress.h Compression of large records between nodes. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sycamorelb::mesh {

/** @return the compressed text, preceded by its uncompressed size. */
auto compressText(std::string_view Text) -> std::string;

/** @return the text, or nothing if the bytes are malformed or too large. */
auto decompressText(std::string_view Bytes) -> std::optional<std::string>;

} // namespace sycamorelb::mesh
