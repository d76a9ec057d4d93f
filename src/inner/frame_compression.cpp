/** @file frame_compression.cpp Compression of messages between nodes.
 *
 * A frame has a length like that of a plain message, with the highest bit set,
 * then the size of the message and its raw deflate stream.
 */
#include "sycamorelb/inner/frame_compression.h"

#include "sycamorelb/core/hash_func.h"
#include "sycamorelb/inner/mesh_message_type.h"

#include <algorithm>
#include <cstring>
#include <zlib.h>

namespace sycamorelb::inner {

/** Bit of the length that marks a compressed frame. */
static constexpr auto CompressedBit = std::uint32_t{1} << 31U;
/** Bytes of the length, and of the size after it. */
static constexpr auto LengthBytes = std::size_t{4};
static constexpr auto HeaderBytes = 2 * LengthBytes;
/** Window of 4 KB: memory and the time to reset count, as each message stands
 * alone. */
static constexpr auto WindowBits = -12;
static constexpr auto MemoryLevel = 5;
static constexpr auto Level = 6;

struct frame_compressor::implementation {
  std::string Dictionary;
  z_stream Deflate{};
  z_stream Inflate{};
};

static auto asBytes(std::string_view Text) -> Bytef * {
  // The library does not change its input.
  return reinterpret_cast<Bytef *>(const_cast<char *>(Text.data())); // NOLINT
}

static auto readNumber(std::string_view Bytes) -> std::uint32_t {
  auto Number = std::uint32_t{0};
  std::memcpy(&Number, Bytes.data(), sizeof(Number));
  return Number;
}

static auto corruptFrame(const char *Fault) -> error {
  return {error_code::Corrupt, "expand_frame", "", Fault};
}

frame_compressor::frame_compressor(std::string Dictionary)
    : Impl(std::make_unique<implementation>()) {
  Impl->Dictionary = std::move(Dictionary);
  deflateInit2(&Impl->Deflate, Level, Z_DEFLATED, WindowBits, MemoryLevel,
               Z_DEFAULT_STRATEGY);
  inflateInit2(&Impl->Inflate, WindowBits);
}

frame_compressor::~frame_compressor() {
  deflateEnd(&Impl->Deflate);
  inflateEnd(&Impl->Inflate);
}

auto frame_compressor::dictionaryId() const -> std::uint32_t {
  auto Id = static_cast<std::uint32_t>(hash64(Impl->Dictionary));
  return std::max(1U, Id);
}

auto frame_compressor::compress(const std::string &Message) -> std::string {
  auto &Stream = Impl->Deflate;
  deflateReset(&Stream);
  deflateSetDictionary(&Stream, asBytes(Impl->Dictionary),
                       static_cast<uInt>(Impl->Dictionary.size()));
  // No frame that is longer than the message is used.
  auto Frame = std::string(std::max(Message.size(), HeaderBytes + 1), '\0');
  Stream.next_in = asBytes(Message);
  Stream.avail_in = static_cast<uInt>(Message.size());
  Stream.next_out = reinterpret_cast<Bytef *>(Frame.data() + HeaderBytes);
  Stream.avail_out = static_cast<uInt>(Frame.size() - HeaderBytes);
  if (deflate(&Stream, Z_FINISH) != Z_STREAM_END) {
    return Message;
  }
  Frame.resize(Frame.size() - Stream.avail_out);
  auto Length =
      static_cast<std::uint32_t>(Frame.size() - LengthBytes) | CompressedBit;
  auto Size = static_cast<std::uint32_t>(Message.size());
  std::memcpy(Frame.data(), &Length, LengthBytes);
  std::memcpy(Frame.data() + LengthBytes, &Size, LengthBytes);
  return Frame;
}

auto isCompressedFrame(std::string_view Bytes) -> bool {
  return Bytes.size() >= LengthBytes &&
         (readNumber(Bytes) & CompressedBit) != 0;
}

auto frame_compressor::expand(std::string_view Bytes)
    -> result<std::optional<received_frame>> {
  if (Bytes.size() < HeaderBytes) {
    return std::optional<received_frame>();
  }
  auto Length = std::size_t{readNumber(Bytes) & ~CompressedBit};
  auto Size = std::size_t{readNumber(Bytes.substr(LengthBytes))};
  if (Length < LengthBytes || Length > MaxMeshMessageBytes ||
      Size > MaxMeshMessageBytes) {
    return corruptFrame("invalid length of a compressed frame");
  }
  if (Bytes.size() < LengthBytes + Length) {
    return std::optional<received_frame>();
  }
  auto Content = Bytes.substr(HeaderBytes, Length - LengthBytes);
  auto &Stream = Impl->Inflate;
  inflateReset(&Stream);
  inflateSetDictionary(&Stream, asBytes(Impl->Dictionary),
                       static_cast<uInt>(Impl->Dictionary.size()));
  auto Frame = received_frame{"", LengthBytes + Length};
  // Grows with the output, so that a false size costs nothing.
  auto Status = Z_OK;
  Stream.next_in = asBytes(Content);
  Stream.avail_in = static_cast<uInt>(Content.size());
  while (Status == Z_OK && Frame.Message.size() < Size) {
    auto Done = Frame.Message.size();
    Frame.Message.resize(std::min(Size, std::max<std::size_t>(4096, 2 * Done)));
    Stream.next_out = reinterpret_cast<Bytef *>(Frame.Message.data() + Done);
    Stream.avail_out = static_cast<uInt>(Frame.Message.size() - Done);
    Status = inflate(&Stream, Z_NO_FLUSH);
    Frame.Message.resize(Frame.Message.size() - Stream.avail_out);
    if (Frame.Message.size() == Done) {
      break;
    }
  }
  if (Status == Z_OK) {
    auto Rest = Bytef{};
    Stream.next_out = &Rest;
    Stream.avail_out = 1;
    Status = inflate(&Stream, Z_FINISH);
  }
  if (Status != Z_STREAM_END || Frame.Message.size() != Size ||
      Stream.avail_in != 0) {
    return corruptFrame("a compressed frame can't be expanded");
  }
  return std::make_optional(std::move(Frame));
}

} // namespace sycamorelb::inner
