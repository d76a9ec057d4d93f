/** @file body_decoder.h Strict incremental decoding of message bodies. */
#pragma once

#include "proxy/message_head.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sycamorelb::proxy {

/** Finds the content bytes and the end of a body; holds no body bytes. */
class body_decoder {
public:
  /** Result of one step. */
  struct step {
    std::size_t Consumed = 0; ///< Bytes of the input that are used up.
    std::string_view Data;    ///< Content within the consumed bytes.
  };

  body_decoder() = default;
  /** @param MaxBytes bound on the content of a chunked body. */
  explicit body_decoder(body_framing Framing,
                        std::uint64_t MaxBytes = std::uint64_t{1}
                                                 << 62); // NOLINT: no bound.

  /** Decodes a prefix of Input. Repeat while Consumed is positive and the body
   * is neither complete nor invalid. */
  auto decode(std::string_view Input) -> step;

  /** Notes that the connection was closed; completes only a body that lasts
   * until the close. */
  void noteClose();

  /** @return whether the end of the body was reached. */
  auto isComplete() const -> bool { return State == state::Complete; }
  /** @return whether the body breaks the syntax or the size bound. */
  auto isInvalid() const -> bool { return State == state::Invalid; }
  /** @return whether the body is too large. */
  auto isTooLarge() const -> bool { return TooLarge; }

private:
  enum class state : std::uint8_t {
    Data,      // Content of a fixed length, or until the close.
    SizeLine,  // Chunk size and extension.
    ChunkData, // Content of a chunk.
    ChunkEnd,  // CRLF after a chunk.
    Trailer,   // Trailer fields up to an empty line.
    Complete,
    Invalid,
  };

  auto takeData(std::string_view Input, state Next) -> step;
  auto takeLine(std::string_view Input) -> step;
  void endLine();
  void beginChunk(std::string_view SizeText);
  void fail() { State = state::Invalid; }

  body_framing Framing;
  state State = state::Complete;
  std::uint64_t Remaining = 0; // Content bytes left in the body or chunk.
  std::uint64_t Budget = 0;    // Content bytes still allowed.
  std::string Line;            // Partial size or trailer line.
  std::size_t TrailerBytes = 0;
  bool TooLarge = false;
};

} // namespace sycamorelb::proxy
