/** @file frame_compression.h Compression of messages between nodes. */
#pragma once

#include "sycamorelb/core/result_type.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sycamorelb::inner {

/** A message at the front of received bytes. */
struct received_frame {
  std::string Message;          ///< Encoded message, not compressed.
  std::size_t EncodedBytes = 0; ///< Bytes that it took.
};

/**
 * Compresses single messages against a fixed text that resembles most of them,
 * so that names and structure cost little. Both nodes need the same text.
 */
class frame_compressor {
public:
  /** @param Dictionary the text; its last 4 KB count. */
  explicit frame_compressor(std::string Dictionary);
  ~frame_compressor();
  frame_compressor(const frame_compressor &) = delete;
  auto operator=(const frame_compressor &) -> frame_compressor & = delete;

  /** @return a number that tells dictionaries apart; never 0. */
  auto dictionaryId() const -> std::uint32_t;
  /** @return the compressed frame of an encoded message, or the message itself
   * if that is not longer. */
  auto compress(const std::string &Message) -> std::string;
  /** @return the message of a compressed frame at the front of Bytes; nothing
   * if it is incomplete, or Corrupt. */
  auto expand(std::string_view Bytes) -> result<std::optional<received_frame>>;

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

/** @return whether the bytes begin with a compressed frame. */
auto isCompressedFrame(std::string_view Bytes) -> bool;

} // namespace sycamorelb::inner
