/** @file record_delta.cpp Deltas between versions of a large record.
 *
 * Format of a delta: the hash of the result, then operations. A copy is the
 * letter 'c', then start and length in the base; an insert is the letter 'i',
 * then the length and the bytes. Numbers have 64 bits in native byte order.
 */
#include "sycamorelb/mesh/record_delta.h"

#include "sycamorelb/core/hash_func.h"

#include <cstdint>
#include <cstring>
#include <unordered_map>

namespace sycamorelb::mesh {

/** Maximum size of a result. */
static constexpr auto MaxResultBytes = std::size_t{64} * 1024 * 1024;

static void appendNumber(std::string &Out, std::uint64_t Number) {
  auto Bytes = std::string(sizeof(Number), '\0');
  std::memcpy(Bytes.data(), &Number, sizeof(Number));
  Out += Bytes;
}

static auto consumeNumber(std::string_view &Bytes)
    -> std::optional<std::uint64_t> {
  auto Number = std::uint64_t{0};
  if (Bytes.size() < sizeof(Number)) {
    return std::nullopt;
  }
  std::memcpy(&Number, Bytes.data(), sizeof(Number));
  Bytes.remove_prefix(sizeof(Number));
  return Number;
}

/** @return the size of the chunk at the front of Text, up to the next brace.
 */
static auto chunkSize(std::string_view Text) -> std::size_t {
  auto Next = Text.find('{', 1);
  return Next == std::string_view::npos ? Text.size() : Next;
}

namespace {

/** Writes operations and merges adjacent ones. */
struct delta_writer {
  std::string Out;
  std::uint64_t CopyStart = 0;
  std::uint64_t CopySize = 0;
  std::string Inserted;

  void flush() {
    if (CopySize > 0) {
      Out += 'c';
      appendNumber(Out, CopyStart);
      appendNumber(Out, CopySize);
      CopySize = 0;
    }
    if (!Inserted.empty()) {
      Out += 'i';
      appendNumber(Out, Inserted.size());
      Out += Inserted;
      Inserted.clear();
    }
  }
  void copy(std::uint64_t Start, std::uint64_t Size) {
    if (CopySize > 0 && CopyStart + CopySize == Start && Inserted.empty()) {
      CopySize += Size;
      return;
    }
    flush();
    CopyStart = Start;
    CopySize = Size;
  }
  void insert(std::string_view Bytes) {
    if (CopySize > 0) {
      flush();
    }
    Inserted.append(Bytes);
  }
};

} // namespace

auto encodeDelta(std::string_view Base, std::string_view Text) -> std::string {
  auto ChunkOffsets = std::unordered_map<std::string_view, std::size_t>();
  for (auto Offset = std::size_t{0}; Offset < Base.size();) {
    auto Size = chunkSize(Base.substr(Offset));
    ChunkOffsets.emplace(Base.substr(Offset, Size), Offset);
    Offset += Size;
  }
  auto Writer = delta_writer();
  appendNumber(Writer.Out, hash64(Text));
  for (auto Offset = std::size_t{0}; Offset < Text.size();) {
    auto Chunk = Text.substr(Offset, chunkSize(Text.substr(Offset)));
    // Prefers the chunk that continues the last copy.
    auto Next = Writer.CopyStart + Writer.CopySize;
    auto Found = ChunkOffsets.find(Chunk);
    if (Writer.CopySize > 0 && Next < Base.size() &&
        Base.substr(Next, Chunk.size()) == Chunk) {
      Writer.copy(Next, Chunk.size());
    } else if (Found != ChunkOffsets.end()) {
      Writer.copy(Found->second, Chunk.size());
    } else {
      Writer.insert(Chunk);
    }
    Offset += Chunk.size();
  }
  Writer.flush();
  return Writer.Out;
}

auto applyDelta(std::string_view Base, std::string_view Delta)
    -> std::optional<std::string> {
  auto Hash = consumeNumber(Delta);
  auto Text = std::string();
  while (Hash && !Delta.empty()) {
    auto Operation = Delta.front();
    Delta.remove_prefix(1);
    auto Argument = consumeNumber(Delta);
    if (!Argument) {
      return std::nullopt;
    }
    if (Operation == 'c') {
      auto Size = consumeNumber(Delta);
      if (!Size || *Argument > Base.size() || *Size > Base.size() - *Argument) {
        return std::nullopt;
      }
      Text.append(Base.substr(*Argument, *Size));
    } else if (Operation == 'i' && *Argument <= Delta.size()) {
      Text.append(Delta.substr(0, *Argument));
      Delta.remove_prefix(*Argument);
    } else {
      return std::nullopt;
    }
    if (Text.size() > MaxResultBytes) {
      return std::nullopt;
    }
  }
  if (!Hash || hash64(Text) != *Hash) {
    return std::nullopt;
  }
  return Text;
}

} // namespace sycamorelb::mesh
