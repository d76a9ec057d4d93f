/** @file base64.cpp Base64 encoding with OpenSSL. */
#include "config/base64_func.h"

#include <openssl/evp.h>

namespace sycamorelb::config {

auto encodeBase64(std::string_view Bytes) -> std::string {
  // EVP_EncodeBlock also writes a terminating zero.
  auto Text = std::string((Bytes.size() + 2) / 3 * 4 + 1, '\0');
  auto Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Length));
  return Text;
}

auto decodeBase64(std::string_view Text) -> std::optional<std::string> {
  if (Text.size() % 4 != 0) {
    return std::nullopt;
  }
  auto Bytes = std::string(Text.size() / 4 * 3, '\0');
  auto Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  // EVP_DecodeBlock skips surrounding white space and decodes padding as zero
  // bytes. Re-encoding the result verifies that Text was canonical.
  if (Length != static_cast<int>(Bytes.size())) {
    return std::nullopt;
  }
  auto Padding = Text.size() - Text.substr(0, Text.find('=')).size();
  if (Padding > 2) {
    return std::nullopt;
  }
  Bytes.resize(Bytes.size() - Padding);
  if (encodeBase64(Bytes) != Text) {
    return std::nullopt;
  }
  return Bytes;
}

} // namespace sycamorelb::config
