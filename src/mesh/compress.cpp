/** @file compress.cpp Compression of large records between nodes. */
#include "sycamorelb/mesh/compress.h"

#include <cstdint>
#include <cstring>
#include <zlib.h>

namespace sycamorelb::mesh {

/** Longest text that is accepted, in bytes. */
static constexpr auto MaxTextBytes = std::uint64_t{64} * 1024 * 1024;
/** The fastest level; configurations shrink to a tenth even so. */
static constexpr auto Level = 1;

auto compressText(std::string_view Text) -> std::string {
  auto Size = std::uint64_t{Text.size()};
  auto Length = compressBound(Text.size());
  auto Out = std::string(sizeof(Size) + Length, '\0');
  std::memcpy(Out.data(), &Size, sizeof(Size));
  compress2(reinterpret_cast<Bytef *>(Out.data() + sizeof(Size)), &Length,
            reinterpret_cast<const Bytef *>(Text.data()), Text.size(), Level);
  Out.resize(sizeof(Size) + Length);
  return Out;
}

auto expandText(std::string_view Bytes) -> std::optional<std::string> {
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
