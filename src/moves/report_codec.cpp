/** @file report_codec.cpp Binary encoding of evidence reports.
 *
 * Integers are LEB128, strings have a length prefix. A tally is calls,
 * failures, cancelled, the number of non-empty buckets and, for each of them,
 * the distance from the previous one and the count.
 */
#include "moves/report_codec.h"

#include <algorithm>

namespace sycamorelb::moves {

static constexpr std::uint8_t FormatVersion = 1;

static void putNumber(std::string &Out, std::uint64_t Value) {
  while (Value >= 0x80) {
    Out.push_back(char(Value | 0x80));
    Value >>= 7;
  }
  Out.push_back(char(Value));
}

static auto numberSize(std::uint64_t Value) -> std::size_t {
  auto Size = std::size_t{1};
  for (; Value >= 0x80; Value >>= 7) {
    ++Size;
  }
  return Size;
}

static void putString(std::string &Out, const std::string &Text) {
  putNumber(Out, Text.size());
  Out += Text;
}

static void putTally(std::string &Out, const tally &Tally) {
  putNumber(Out, Tally.Calls);
  putNumber(Out, Tally.Failures);
  putNumber(Out, Tally.Cancelled);
  auto Filled = std::count_if(Tally.Latency.begin(), Tally.Latency.end(),
                              [](auto Count) { return Count > 0; });
  putNumber(Out, std::uint64_t(Filled));
  auto Next = std::size_t{0};
  for (auto Index = std::size_t{0}; Index < LatencyBuckets; ++Index) {
    if (Tally.Latency[Index] > 0) {
      putNumber(Out, Index - Next);
      putNumber(Out, Tally.Latency[Index]);
      Next = Index + 1;
    }
  }
}

/** Writes a flag for each side with calls, and their tallies. */
static void putPair(std::string &Out, const tally_pair &Pair) {
  Out.push_back(
      char((Pair[0].Calls > 0 ? 1 : 0) | (Pair[1].Calls > 0 ? 2 : 0)));
  for (const auto &Tally : Pair) {
    if (Tally.Calls > 0) {
      putTally(Out, Tally);
    }
  }
}

auto tallySize(const tally &Tally) -> std::size_t {
  auto Size = numberSize(Tally.Calls) + numberSize(Tally.Failures) +
              numberSize(Tally.Cancelled) + 1;
  for (auto Count : Tally.Latency) {
    Size += Count > 0 ? 1 + numberSize(Count) : 0;
  }
  return Size;
}

auto routeSize(const route_id &Route) -> std::size_t {
  return Route.Value.size() + 4; // Length (2), flags and count of windows.
}

auto headerSize(const evidence_report &Report) -> std::size_t {
  return 1 + Report.Move.Value.size() + 2 + Report.Node.Value.size() + 2 +
         numberSize(Report.Incarnation.Value) + numberSize(Report.Sequence) + 1;
}

auto encodeReport(const evidence_report &Report) -> std::string {
  auto Out = std::string(1, char(FormatVersion));
  putString(Out, Report.Move.Value);
  putString(Out, Report.Node.Value);
  putNumber(Out, Report.Incarnation.Value);
  putNumber(Out, Report.Sequence);
  putNumber(Out, Report.Routes.size());
  for (const auto &Route : Report.Routes) {
    putString(Out, Route.Route.Value);
    putPair(Out, Route.Total);
    putNumber(Out, Route.Windows.size());
    for (const auto &Window : Route.Windows) {
      putNumber(Out, std::uint64_t(Window.Window));
      putPair(Out, Window.Tally);
    }
  }
  return Out;
}

namespace {

/** Reads from bytes; after a violation Bad is set and all values are 0. */
struct byte_reader {
  std::string_view Rest; ///< Bytes not yet read.
  bool Bad = false;      ///< Whether a bound was violated.

  auto byte() -> std::uint8_t {
    if (Bad || Rest.empty()) {
      Bad = true;
      return 0;
    }
    auto Value = std::uint8_t(Rest.front());
    Rest.remove_prefix(1);
    return Value;
  }

  auto number(std::uint64_t Most) -> std::uint64_t {
    auto Value = std::uint64_t{0};
    for (auto Shift = 0; Shift < 64; Shift += 7) {
      auto Part = byte();
      if (Shift == 63 && Part > 1) {
        break;
      }
      Value |= std::uint64_t(Part & 0x7f) << Shift;
      if (Part < 0x80) {
        Bad = Bad || Value > Most;
        return Bad ? 0 : Value;
      }
    }
    Bad = true;
    return 0;
  }

  auto text() -> std::string {
    auto Size = std::size_t(number(MaxIdBytes));
    if (Bad || Size > Rest.size()) {
      Bad = true;
      return {};
    }
    auto Text = std::string(Rest.substr(0, Size));
    Rest.remove_prefix(Size);
    return Text;
  }
};

} // namespace

static constexpr auto MaxCount = std::uint64_t{1} << 40;

static auto readTally(byte_reader &Reader) -> tally {
  auto Tally = tally{};
  Tally.Calls = Reader.number(MaxCount);
  Tally.Failures = Reader.number(Tally.Calls);
  Tally.Cancelled = Reader.number(Tally.Calls - Tally.Failures);
  auto Left = Tally.Calls - Tally.Failures - Tally.Cancelled;
  auto Filled = Reader.number(LatencyBuckets);
  auto Index = std::uint64_t{0};
  for (; Filled > 0 && !Reader.Bad; --Filled, ++Index) {
    Index += Reader.number(LatencyBuckets);
    auto Count = Reader.number(std::min<std::uint64_t>(Left, 0xffffffffU));
    if (Index >= LatencyBuckets || Count == 0) {
      Reader.Bad = true;
      break;
    }
    Tally.Latency[Index] = std::uint32_t(Count);
    Left -= Count;
  }
  Reader.Bad = Reader.Bad || Tally.Calls == 0;
  return Tally;
}

static auto readPair(byte_reader &Reader) -> tally_pair {
  auto Pair = tally_pair{};
  auto Flags = Reader.byte();
  Reader.Bad = Reader.Bad || Flags > 3;
  for (auto Side = 0U; Side < 2 && !Reader.Bad; ++Side) {
    if ((Flags >> Side & 1U) != 0) {
      Pair[Side] = readTally(Reader);
    }
  }
  return Pair;
}

static auto readRoute(byte_reader &Reader) -> route_report {
  auto Route = route_report{};
  Route.Route.Value = Reader.text();
  Route.Total = readPair(Reader);
  auto Windows = Reader.number(std::uint64_t(WindowsKept));
  for (; Windows > 0 && !Reader.Bad; --Windows) {
    auto Window = window_tally{};
    Window.Window = std::int64_t(Reader.number(MaxCount));
    Window.Tally = readPair(Reader);
    Route.Windows.push_back(Window);
  }
  return Route;
}

auto decodeReport(std::string_view Bytes) -> result<evidence_report> {
  auto Reader = byte_reader{Bytes, Bytes.size() > MaxReportBytes};
  auto Report = evidence_report{};
  Reader.Bad = Reader.byte() != FormatVersion || Reader.Bad;
  Report.Move.Value = Reader.text();
  Report.Node.Value = Reader.text();
  Report.Incarnation.Value = Reader.number(~std::uint64_t{0});
  Report.Sequence = std::uint32_t(Reader.number(0xffffffffU));
  auto Routes = Reader.number(MaxRoutes + 1);
  for (; Routes > 0 && !Reader.Bad; --Routes) {
    Report.Routes.push_back(readRoute(Reader));
  }
  if (Reader.Bad || !Reader.Rest.empty()) {
    return error{error_code::Corrupt, "decode evidence report", "",
                 "the datagram breaks the format or a bound"};
  }
  return Report;
}

} // namespace sycamorelb::moves
