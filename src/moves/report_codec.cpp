/** @file report_codec.cpp Binary encoding of evidence reports.
 *
 * Integers are LEB128 varints; strings have a length prefix. A tally consists
 * of calls, failures, cancelled calls, the number of non-empty buckets and, for
 * each of them, the number of empty buckets before it and the count.
 */
#include "moves/report_codec.h"

#include <algorithm>

namespace sycamorelb::moves {

static constexpr std::uint8_t FormatVersion = 1;

static void putVarint(std::string &Out, std::uint64_t Value) {
  while (Value >= 0x80) {
    Out.push_back(char(Value | 0x80));
    Value >>= 7;
  }
  Out.push_back(char(Value));
}

static auto varintSize(std::uint64_t Value) -> std::size_t {
  auto Size = std::size_t{1};
  for (; Value >= 0x80; Value >>= 7) {
    ++Size;
  }
  return Size;
}

static void putString(std::string &Out, const std::string &Text) {
  putVarint(Out, Text.size());
  Out += Text;
}

static void putTally(std::string &Out, const tally &Tally) {
  putVarint(Out, Tally.Calls);
  putVarint(Out, Tally.Failures);
  putVarint(Out, Tally.Cancelled);
  auto NonEmpty = std::count_if(Tally.Latency.begin(), Tally.Latency.end(),
                                [](auto Count) { return Count > 0; });
  putVarint(Out, std::uint64_t(NonEmpty));
  auto NextIndex = std::size_t{0};
  for (auto Index = std::size_t{0}; Index < LatencyBuckets; ++Index) {
    if (Tally.Latency[Index] > 0) {
      putVarint(Out, Index - NextIndex);
      putVarint(Out, Tally.Latency[Index]);
      NextIndex = Index + 1;
    }
  }
}

/** Writes a flag byte with a bit for each version with calls, then their
 * tallies. */
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
  auto Size = varintSize(Tally.Calls) + varintSize(Tally.Failures) +
              varintSize(Tally.Cancelled) + 1;
  for (auto Count : Tally.Latency) {
    Size += Count > 0 ? 1 + varintSize(Count) : 0;
  }
  return Size;
}

auto routeSize(const route_id &Route) -> std::size_t {
  return Route.Value.size() +
         4; // Length (2), flags (1) and number of windows (1).
}

auto headerSize(const evidence_report &Report) -> std::size_t {
  return 1 + Report.Move.Value.size() + 2 + Report.Node.Value.size() + 2 +
         varintSize(Report.Incarnation.Value) + varintSize(Report.Sequence) + 1;
}

auto encodeReport(const evidence_report &Report) -> std::string {
  auto Out = std::string(1, char(FormatVersion));
  putString(Out, Report.Move.Value);
  putString(Out, Report.Node.Value);
  putVarint(Out, Report.Incarnation.Value);
  putVarint(Out, Report.Sequence);
  putVarint(Out, Report.Routes.size());
  for (const auto &Route : Report.Routes) {
    putString(Out, Route.Route.Value);
    putPair(Out, Route.Total);
    putVarint(Out, Route.Windows.size());
    for (const auto &Window : Route.Windows) {
      putVarint(Out, std::uint64_t(Window.Window));
      putPair(Out, Window.Tally);
    }
  }
  return Out;
}

namespace {

/** Reads values from bytes. After the first error IsInvalid is set and all
 * values are 0 or empty. */
struct byte_reader {
  std::string_view Remaining; ///< Bytes not yet read.
  bool IsInvalid = false; ///< Whether the input is malformed or out of range.

  auto byte() -> std::uint8_t {
    if (IsInvalid || Remaining.empty()) {
      IsInvalid = true;
      return 0;
    }
    auto Value = std::uint8_t(Remaining.front());
    Remaining.remove_prefix(1);
    return Value;
  }

  auto varint(std::uint64_t MaxValue) -> std::uint64_t {
    auto Value = std::uint64_t{0};
    for (auto Shift = 0; Shift < 64; Shift += 7) {
      auto Byte = byte();
      if (Shift == 63 && Byte > 1) {
        break;
      }
      Value |= std::uint64_t(Byte & 0x7f) << Shift;
      if (Byte < 0x80) {
        IsInvalid = IsInvalid || Value > MaxValue;
        return IsInvalid ? 0 : Value;
      }
    }
    IsInvalid = true;
    return 0;
  }

  auto text() -> std::string {
    auto Size = std::size_t(varint(MaxIdBytes));
    if (IsInvalid || Size > Remaining.size()) {
      IsInvalid = true;
      return {};
    }
    auto Text = std::string(Remaining.substr(0, Size));
    Remaining.remove_prefix(Size);
    return Text;
  }
};

} // namespace

static constexpr auto MaxCount = std::uint64_t{1} << 40;

static auto readTally(byte_reader &Reader) -> tally {
  auto Tally = tally{};
  Tally.Calls = Reader.varint(MaxCount);
  Tally.Failures = Reader.varint(Tally.Calls);
  Tally.Cancelled = Reader.varint(Tally.Calls - Tally.Failures);
  auto RemainingCalls = Tally.Calls - Tally.Failures - Tally.Cancelled;
  auto NonEmpty = Reader.varint(LatencyBuckets);
  auto Index = std::uint64_t{0};
  for (; NonEmpty > 0 && !Reader.IsInvalid; --NonEmpty, ++Index) {
    Index += Reader.varint(LatencyBuckets);
    auto Count =
        Reader.varint(std::min<std::uint64_t>(RemainingCalls, 0xffffffffU));
    if (Index >= LatencyBuckets || Count == 0) {
      Reader.IsInvalid = true;
      break;
    }
    Tally.Latency[Index] = std::uint32_t(Count);
    RemainingCalls -= Count;
  }
  Reader.IsInvalid = Reader.IsInvalid || Tally.Calls == 0;
  return Tally;
}

static auto readPair(byte_reader &Reader) -> tally_pair {
  auto Pair = tally_pair{};
  auto Flags = Reader.byte();
  Reader.IsInvalid = Reader.IsInvalid || Flags > 3;
  for (auto Side = 0U; Side < 2 && !Reader.IsInvalid; ++Side) {
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
  auto Windows = Reader.varint(std::uint64_t(WindowsKept));
  for (; Windows > 0 && !Reader.IsInvalid; --Windows) {
    auto Window = window_tally{};
    Window.Window = std::int64_t(Reader.varint(MaxCount));
    Window.Tally = readPair(Reader);
    Route.Windows.push_back(Window);
  }
  return Route;
}

auto decodeReport(std::string_view Bytes) -> result<evidence_report> {
  auto Reader = byte_reader{Bytes, Bytes.size() > MaxReportBytes};
  auto Report = evidence_report{};
  Reader.IsInvalid = Reader.byte() != FormatVersion || Reader.IsInvalid;
  Report.Move.Value = Reader.text();
  Report.Node.Value = Reader.text();
  Report.Incarnation.Value = Reader.varint(~std::uint64_t{0});
  Report.Sequence = std::uint32_t(Reader.varint(0xffffffffU));
  auto Routes = Reader.varint(MaxRoutes + 1);
  for (; Routes > 0 && !Reader.IsInvalid; --Routes) {
    Report.Routes.push_back(readRoute(Reader));
  }
  if (Reader.IsInvalid || !Reader.Remaining.empty()) {
    return error{error_code::Corrupt, "decode evidence report", "",
                 "the report is malformed or a value is out of range"};
  }
  return Report;
}

} // namespace sycamorelb::moves
