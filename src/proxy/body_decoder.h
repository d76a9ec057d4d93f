/** @file body_decoder.h Strict incremental decoder for message bodies. */
#pragma once

#include "proxy/message_head.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sycamorelb::proxy {

/** Finds the content and the end of a body without buffering the content. */
class body_decoder {
public:
  /** Result of one decoding step. */
  struct step {
    std::size_t Consumed = 0; ///< Bytes of the input that were consumed.
    std::string_view Data;    ///< Content within the consumed bytes.
  };

  body_decoder() = default;
  /** @param MaxBytes limit on the content size of a chunked body. */
  explicit body_decoder(body_framing Framing,
                        std::uint64_t MaxBytes = std::uint64_t{1}
                                                 << 62); // NOLINT: no limit.

  /** Decodes a prefix of Input. Call again while Consumed is positive and the
   * body is neither complete nor invalid. */
  auto decode(std::string_view Input) -> step;

  /** Handles the close of the connection; this completes only a body that is
   * delimited by the close. */
  void handleClose();

  /** @return whether the end of the body was reached. */
  auto isComplete() const -> bool { return State == state::Complete; }
  /** @return whether the body is malformed or too large. */
  auto isInvalid() const -> bool { return State == state::Invalid; }
  /** @return whether the body is too large. */
  auto isTooLarge() const -> bool { return TooLarge; }

private:
  enum class state : std::uint8_t {
    Data,      // Content of known length, or up to the close.
    SizeLine,  // Chunk size and extension.
    ChunkData, // Content of a chunk.
    ChunkEnd,  // CRLF after the content of a chunk.
    Trailer,   // Trailer fields up to the empty line.
    Complete,
    Invalid,
  };

  auto decodeData(std::string_view Input, state Next) -> step;
  auto decodeLine(std::string_view Input) -> step;
  void finishLine();
  void beginChunk(std::string_view SizeText);
  void fail() { State = state::Invalid; }

  body_framing Framing;
  state State = state::Complete;
  std::uint64_t Remaining = 0; // Content bytes left in the body or chunk.
  std::uint64_t ContentBytesAllowed = 0; // Content bytes still allowed.
  std::string Line;                      // Partial size or trailer line.
  std::size_t TrailerBytes = 0;
  bool TooLarge = false;
};

} // namespace sycamorelb::proxy
