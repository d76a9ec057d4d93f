/** @file body_decoder.cpp Strict incremental decoder for message bodies. */
#include "proxy/body_decoder.h"

#include <algorithm>

namespace sycamorelb::proxy {

// Chunk extensions and trailers are ignored, so only small ones are accepted.
static constexpr auto MaxLineBytes = std::size_t{1024};
static constexpr auto MaxTrailerBytes = std::size_t{8192};

body_decoder::body_decoder(body_framing Framing, std::uint64_t MaxBytes)
    : Framing(Framing), ContentBytesAllowed(MaxBytes) {
  switch (Framing.Kind) {
  case body_kind::None:
    State = state::Complete;
    break;
  case body_kind::Length:
    Remaining = Framing.Length;
    State = Remaining == 0 ? state::Complete : state::Data;
    break;
  case body_kind::Chunked:
    State = state::SizeLine;
    break;
  case body_kind::UntilClose:
    Remaining = ~std::uint64_t{0};
    State = state::Data;
    break;
  }
}

auto body_decoder::decode(std::string_view Input) -> step {
  if (Input.empty()) {
    return {};
  }
  switch (State) {
  case state::Data:
    return decodeData(Input, state::Complete);
  case state::ChunkData:
    return decodeData(Input, state::ChunkEnd);
  case state::SizeLine:
  case state::ChunkEnd:
  case state::Trailer:
    return decodeLine(Input);
  case state::Complete:
  case state::Invalid:
    break;
  }
  return {};
}

auto body_decoder::decodeData(std::string_view Input, state Next) -> step {
  auto Size = static_cast<std::size_t>(
      std::min<std::uint64_t>(Input.size(), Remaining));
  if (Framing.Kind != body_kind::UntilClose) {
    Remaining -= Size;
  }
  if (Remaining == 0) {
    State = Next;
  }
  return {Size, Input.substr(0, Size)};
}

auto body_decoder::decodeLine(std::string_view Input) -> step {
  auto Lf = Input.find('\n');
  auto Size = Lf == std::string_view::npos ? Input.size() : Lf + 1;
  if (Line.size() + Size > MaxLineBytes) {
    fail();
    return {};
  }
  Line.append(Input.substr(0, Size));
  if (Lf != std::string_view::npos) {
    finishLine();
  } else if (State == state::ChunkEnd && Line != "\r") {
    fail();
  }
  return {Size, {}};
}

void body_decoder::finishLine() {
  if (Line.size() < 2 || Line[Line.size() - 2] != '\r') {
    fail();
    return;
  }
  auto Text = std::string_view(Line).substr(0, Line.size() - 2);
  if (Text.find_first_of(std::string_view("\r\0", 2)) !=
      std::string_view::npos) {
    fail();
  } else if (State == state::SizeLine) {
    beginChunk(Text);
  } else if (State == state::ChunkEnd) {
    State = Text.empty() ? state::SizeLine : state::Invalid;
  } else if (Text.empty()) {
    State = state::Complete;
  } else {
    TrailerBytes += Line.size();
    if (TrailerBytes > MaxTrailerBytes ||
        Text.find(':') == std::string_view::npos || Text.front() == ':') {
      fail();
    }
  }
  Line.clear();
}

/** @return the value of a hexadecimal digit, or -1. */
static auto hexDigit(char Byte) -> int {
  if (Byte >= '0' && Byte <= '9') {
    return Byte - '0';
  }
  auto Lower = static_cast<char>(Byte | 0x20);
  return Lower >= 'a' && Lower <= 'f' ? Lower - 'a' + 10 : -1;
}

void body_decoder::beginChunk(std::string_view SizeText) {
  auto Digits = SizeText.substr(0, SizeText.find(';'));
  auto HasExtension = Digits.size() < SizeText.size();
  while (HasExtension && !Digits.empty() &&
         (Digits.back() == ' ' || Digits.back() == '\t')) {
    Digits.remove_suffix(1);
  }
  // 15 hexadecimal digits cannot overflow 64 bits.
  if (Digits.empty() || Digits.size() > 15) {
    fail();
    return;
  }
  auto Size = std::uint64_t{0};
  for (auto Byte : Digits) {
    auto Digit = hexDigit(Byte);
    if (Digit < 0) {
      fail();
      return;
    }
    Size = Size * 16 + static_cast<std::uint64_t>(Digit);
  }
  if (Size > ContentBytesAllowed) {
    TooLarge = true;
    fail();
    return;
  }
  ContentBytesAllowed -= Size;
  Remaining = Size;
  State = Size == 0 ? state::Trailer : state::ChunkData;
}

void body_decoder::handleClose() {
  if (State == state::Complete) {
    return;
  }
  State =
      Framing.Kind == body_kind::UntilClose ? state::Complete : state::Invalid;
}

} // namespace sycamorelb::proxy
