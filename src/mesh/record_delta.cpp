/** @file record_delta.cpp Differences between versions of a large record.
 *
 * A delta is the hash of the result, then steps: a copy is the letter 'c' with
 * start and length in the base, an insert 'i' with a length and the bytes.
 */
#include "sycamorelb/mesh/record_delta.h"

#include "sycamorelb/core/hash_func.h"

#include <cstdint>
#include <cstring>
#include <unordered_map>

namespace sycamorelb::mesh {

/** Longest result that is accepted, in bytes. */
static constexpr auto MaxResultBytes = std::size_t{64} * 1024 * 1024;

static void appendNumber(std::string &Out, std::uint64_t Number) {
  auto Bytes = std::string(sizeof(Number), '\0');
  std::memcpy(Bytes.data(), &Number, sizeof(Number));
  Out += Bytes;
}

static auto takeNumber(std::string_view &Bytes)
    -> std::optional<std::uint64_t> {
  auto Number = std::uint64_t{0};
  if (Bytes.size() < sizeof(Number)) {
    return std::nullopt;
  }
  std::memcpy(&Number, Bytes.data(), sizeof(Number));
  Bytes.remove_prefix(sizeof(Number));
  return Number;
}

/** @return the size of the piece at the front of Text, up to the next brace.
 */
static auto pieceSize(std::string_view Text) -> std::size_t {
  auto Next = Text.find('{', 1);
  return Next == std::string_view::npos ? Text.size() : Next;
}

namespace {

/** Collects steps and joins neighbours. */
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
  auto Places = std::unordered_map<std::string_view, std::size_t>();
  for (auto At = std::size_t{0}; At < Base.size();) {
    auto Size = pieceSize(Base.substr(At));
    Places.emplace(Base.substr(At, Size), At);
    At += Size;
  }
  auto Writer = delta_writer();
  appendNumber(Writer.Out, hash64(Text));
  for (auto At = std::size_t{0}; At < Text.size();) {
    auto Piece = Text.substr(At, pieceSize(Text.substr(At)));
    // Prefers the place that continues the last copy.
    auto Next = Writer.CopyStart + Writer.CopySize;
    auto Found = Places.find(Piece);
    if (Writer.CopySize > 0 && Next < Base.size() &&
        Base.substr(Next, Piece.size()) == Piece) {
      Writer.copy(Next, Piece.size());
    } else if (Found != Places.end()) {
      Writer.copy(Found->second, Piece.size());
    } else {
      Writer.insert(Piece);
    }
    At += Piece.size();
  }
  Writer.flush();
  return Writer.Out;
}

auto applyDelta(std::string_view Base, std::string_view Delta)
    -> std::optional<std::string> {
  auto Hash = takeNumber(Delta);
  auto Text = std::string();
  while (Hash && !Delta.empty()) {
    auto Step = Delta.front();
    Delta.remove_prefix(1);
    auto First = takeNumber(Delta);
    if (!First) {
      return std::nullopt;
    }
    if (Step == 'c') {
      auto Size = takeNumber(Delta);
      if (!Size || *First > Base.size() || *Size > Base.size() - *First) {
        return std::nullopt;
      }
      Text.append(Base.substr(*First, *Size));
    } else if (Step == 'i' && *First <= Delta.size()) {
      Text.append(Delta.substr(0, *First));
      Delta.remove_prefix(*First);
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
