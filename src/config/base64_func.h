/** @file base64_func.h Base64 encoding of binary data in JSON. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sycamorelb::config {

/** @return the bytes in base64 with padding. */
auto encodeBase64(std::string_view Bytes) -> std::string;

/** @return the bytes, or nothing if Text is not canonical padded base64. */
auto decodeBase64(std::string_view Text) -> std::optional<std::string>;

} // namespace sycamorelb::config
