/** @file base64_func.h Base64 for binary data inside JSON. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sycamorelb::config {

/** @return the bytes in base64 with padding. */
auto encodeBase64(std::string_view Bytes) -> std::string;

/** @return the bytes, or nothing when Text is not padded base64. */
auto decodeBase64(std::string_view Text) -> std::optional<std::string>;

} // namespace sycamorelb::config
