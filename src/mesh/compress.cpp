/** @file compress.cpp Compression of large records between nodes. */
#include "sycamorelb/mesh/compress.h"

#include <cstdint>
#include <cstring>
#include <zlib.h>

namespace sycamorelb::mesh {

/** Maximum size of a decompressed text. */
static constexpr auto MaxTextBytes = std::uint64_t{64} * 1024 * 1024;
/** The fastest zlib level; it still reduces configurations to a tenth. */
static constexpr auto CompressionLevel = 1;

auto compressText(std::string_view Text) -> std::string {
  auto Size = std::uint64_t{Text.size()};
  auto Length = compressBound(Text.size());
  auto Compressed = std::string(sizeof(Size) + Length, '\0');
  std::memcpy(Compressed.data(), &Size, sizeof(Size));
  compress2(reinterpret_cast<Bytef *>(Compressed.data() + sizeof(Size)),
            &Length, reinterpret_cast<const Bytef *>(Text.data()), Text.size(),
            CompressionLevel);
  Compressed.resize(sizeof(Size) + Length);
  return Compressed;
}

auto decompressText(std::string_view Bytes) -> std::optional<std::string> {
  auto Size = std::uint64_t{0};
  if (Bytes.size() < sizeof(Size)) {
    return std::nullopt;
  }
  std::memcpy(&Size, Bytes.data(), sizeof(Size));
  Bytes.remove_prefix(sizeof(Size));
  if (Size > MaxTextBytes) {
    return std::nullopt;
  }
  auto Text = std::string(Size, '\0');
  auto Length = static_cast<uLongf>(Size);
  auto Status =
      uncompress(reinterpret_cast<Bytef *>(Text.data()), &Length,
                 reinterpret_cast<const Bytef *>(Bytes.data()), Bytes.size());
  if (Status != Z_OK || Length != Size) {
    return std::nullopt;
  }
  return Text;
}

} // namespace sycamorelb::mesh
