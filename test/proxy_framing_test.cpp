/** @file proxy_framing_test.cpp Tests of the strict parsers against naive ones.
 */
#include "proxy/body_decoder.h"
#include "proxy/call_header.h"
#include "proxy/message_head.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <numeric>
#include <optional>
#include <rapidcheck.h>
#include <regex>

using namespace sycamorelb::proxy;

/** Result of the naive parser. */
struct naive_head {
  body_kind Kind = body_kind::None;
  std::uint64_t Length = 0;
  std::size_t Fields = 0;
};

/** Parses a request head with regular expressions over whole lines. */
static auto naiveParse(const std::string &Text) -> std::optional<naive_head> {
  static const auto Line = std::regex(
      "(GET|POST|x) (/[\\x21-\\x7e]*|http://[\\x21-\\x7e]*) HTTP/1\\.([01])");
  static const auto Field = std::regex(
      "([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \\t]*([\\x20-\\x7e\\t\\x80-\\xff]*)");
  auto Lines = std::vector<std::string>();
  for (auto Rest = Text; !Rest.empty();) {
    auto End = Rest.find("\r\n");
    Lines.push_back(Rest.substr(0, End));
    Rest = End == std::string::npos ? "" : Rest.substr(End + 2);
  }
  for (const auto &Each : Lines) {
    if (Each.find('\n') != std::string::npos) {
      return std::nullopt;
    }
  }
  auto Match = std::smatch();
  if (Lines.empty() || !std::regex_match(Lines[0], Match, Line)) {
    return std::nullopt;
  }
  auto Version = Match[3].str();
  auto Head = naive_head();
  auto Hosts = 0;
  auto Lengths = std::vector<std::string>();
  auto Encodings = std::vector<std::string>();
  for (auto Index = std::size_t{1}; !Lines[Index].empty(); ++Index) {
    if (!std::regex_match(Lines[Index], Match, Field)) {
      return std::nullopt;
    }
    auto Name = Match[1].str();
    auto Value = Match[2].str();
    while (!Value.empty() && (Value.back() == ' ' || Value.back() == '\t')) {
      Value.pop_back();
    }
    std::transform(Name.begin(), Name.end(), Name.begin(), ::tolower);
    std::transform(Value.begin(), Value.end(), Value.begin(), ::tolower);
    Hosts += Name == "host" ? 1 : 0;
    if (Name == "content-length") {
      Lengths.push_back(Value);
    } else if (Name == "transfer-encoding") {
      Encodings.push_back(Value);
    }
    ++Head.Fields;
  }
  if (Hosts > 1 || (Hosts == 0 && Version == "1") ||
      Lengths.size() + Encodings.size() > 1 ||
      (!Encodings.empty() && (Encodings[0] != "chunked" || Version == "0"))) {
    return std::nullopt;
  }
  if (!Lengths.empty()) {
    if (!std::regex_match(Lengths[0], std::regex("[0-9]{1,9}"))) {
      return std::nullopt;
    }
    Head.Kind = body_kind::Length;
    Head.Length = std::stoull(Lengths[0]);
  } else if (!Encodings.empty()) {
    Head.Kind = body_kind::Chunked;
  }
  return Head;
}

// Guards against an invalid head that is accepted, and against wrong body
// framing. Heads are built from valid and almost valid parts, since random
// bytes are nearly always rejected.
Test(proxy_framing, request_heads_agree_with_a_naive_parser) {
  auto Accepted = 0;
  cr_assert(rc::check("head differential", [&] {
    // One choice in ten comes from the unusual parts.
    auto Pick = [](std::vector<std::string> Common,
                   std::vector<std::string> Unusual) {
      return *rc::gen::elementOf(*rc::gen::inRange(0, 10) == 0 ? Unusual
                                                               : Common);
    };
    auto Head = Pick({"GET", "POST", "x"}, {"G T", "", "G\x01"}) +
                Pick({" "}, {"  ", ""}) +
                Pick({"/", "/a?b=c", "/a"}, {"a", "", "/\x01", "/a b"}) +
                Pick({" "}, {"  ", ""}) +
                Pick({"HTTP/1.1", "HTTP/1.0"}, {"HTTP/1.2", "http/1.1"}) +
                Pick({"\r\n"}, {"\n"}) + Pick({"Host: a\r\n"}, {""});
    auto Count = *rc::gen::inRange(0, 4);
    for (auto Index = 0; Index < Count; ++Index) {
      auto Name = Pick(
          {"Content-Length", "content-length", "A", "x-b", "Transfer-Encoding"},
          {"Host", "", " x", "y ", "z\x01", "w\xff"});
      auto IsLength = std::tolower(Name[0]) == 'c';
      auto Value = IsLength ? Pick({"1", "12", "12 "}, {"+1", "0x1", "1,1", ""})
                            : Pick({"chunked", "Chunked"},
                                   {"gzip", "", "a\x01", "a\rb", "\xc3\xa9"});
      Head.append(Name).append(Pick({":", ": ", ":\t"}, {"", " :"}));
      Head.append(Value).append(Pick({"\r\n"}, {"\n", "\r\r\n"}));
    }
    Head += "\r\n";
    // Bytes after the first empty line belong to the body.
    auto End = findHeadEnd(Head);
    RC_ASSERT(End.Found);
    auto Naive = naiveParse(Head.substr(0, End.Size));
    auto Strict = parseRequestHead(Head.substr(0, End.Size), {});
    auto *Parsed = std::get_if<request_head>(&Strict);
    RC_ASSERT((Parsed != nullptr) == Naive.has_value());
    if (Parsed != nullptr) {
      RC_ASSERT(Parsed->Body.Kind == Naive->Kind);
      RC_ASSERT(Parsed->Body.Length == Naive->Length);
      RC_ASSERT(Parsed->Headers.size() == Naive->Fields);
      ++Accepted;
    }
  }));
  // The comparison is meaningful only if heads are both accepted and rejected.
  cr_assert_gt(Accepted, 30);
  cr_assert_lt(Accepted, 170);
}

/** Decodes a whole chunked body. @return the content, or nothing. */
static auto naiveChunks(const std::string &Wire) -> std::optional<std::string> {
  auto Content = std::string();
  auto At = std::size_t{0};
  for (;;) {
    auto End = Wire.find("\r\n", At);
    if (End == std::string::npos) {
      return std::nullopt;
    }
    auto Line = Wire.substr(At, End - At);
    static const auto Size =
        std::regex("([0-9a-fA-F]{1,15})([ \t]*;[^\r\n]*)?");
    auto Match = std::smatch();
    if (!std::regex_match(Line, Match, Size)) {
      return std::nullopt;
    }
    auto Length = std::stoull(Match[1].str(), nullptr, 16);
    At = End + 2;
    if (Length == 0) {
      return Wire.substr(At) == "\r\n" ? std::optional(Content) : std::nullopt;
    }
    if (Length > Wire.size() - At || Wire.substr(At + Length, 2) != "\r\n") {
      return std::nullopt;
    }
    Content += Wire.substr(At, Length);
    At += Length + 2;
  }
}

// Guards against a decoder that accepts a malformed chunk, or whose result
// depends on how the input is split.
Test(proxy_framing, chunked_bodies_agree_with_a_naive_decoder) {
  auto Accepted = 0;
  cr_assert(rc::check("body differential", [&] {
    auto Chunks = *rc::gen::container<std::vector<std::string>>(
        rc::gen::nonEmpty(rc::gen::string<std::string>()));
    auto Wire = std::string();
    for (const auto &Chunk : Chunks) {
      auto Hex = std::array<char, 20>();
      std::snprintf(Hex.data(), Hex.size(), "%zx", Chunk.size());
      Wire += Hex.data();
      Wire += *rc::gen::elementOf(std::vector<std::string>{"", "", ";a=b"});
      Wire.append("\r\n").append(Chunk).append("\r\n");
    }
    Wire += "0\r\n\r\n";
    if (*rc::gen::arbitrary<bool>()) {
      auto At = *rc::gen::inRange<std::size_t>(0, Wire.size());
      Wire[At] = *rc::gen::elementOf(std::string("0aG\r\n; \x01"));
    }
    auto Decoder = body_decoder({body_kind::Chunked, 0});
    auto Content = std::string();
    auto Buffer = std::string();
    auto Fed = std::size_t{0};
    while (!Decoder.isComplete() && !Decoder.isInvalid()) {
      auto Step = Decoder.decode(Buffer);
      Content += Step.Data;
      Buffer.erase(0, Step.Consumed);
      if (Step.Consumed == 0 && !Decoder.isInvalid()) {
        if (Fed == Wire.size()) {
          break;
        }
        auto Size =
            std::min(*rc::gen::inRange<std::size_t>(1, 20), Wire.size() - Fed);
        Buffer += Wire.substr(Fed, Size);
        Fed += Size;
      }
    }
    // Bytes after the end belong to the next message.
    auto Used = Wire.substr(0, Fed - Buffer.size());
    auto Naive = naiveChunks(Used);
    RC_ASSERT(Decoder.isComplete() == Naive.has_value());
    if (Naive) {
      RC_ASSERT(Content == *Naive);
      ++Accepted;
    } else {
      // The naive decoder must reject the whole input as well.
      RC_ASSERT(!naiveChunks(Wire).has_value());
    }
  }));
  cr_assert_gt(Accepted, 20);
}

// Guards against attempts that multiply over nested calls: the attempts at the
// lowest level must never exceed the initial allowance.
Test(proxy_framing, attempt_shares_bound_the_attempts_of_all_levels) {
  struct level {
    static auto attempts(std::uint32_t Allowance, int Depth,
                         std::uint32_t MaxAttempts) -> std::uint64_t {
      if (Depth == 0) {
        return 1;
      }
      auto Own = std::clamp(MaxAttempts, 1U, Allowance);
      auto Sum = std::uint64_t{0};
      for (auto Number = 1U; Number <= Own; ++Number) {
        Sum += attempts(attemptShare(Allowance, Own, Number), Depth - 1,
                        MaxAttempts);
      }
      return Sum;
    }
  };
  for (auto Allowance = 1U; Allowance <= 8; ++Allowance) {
    for (auto MaxAttempts = 1U; MaxAttempts <= 8; ++MaxAttempts) {
      cr_assert_leq(level::attempts(Allowance, 24, MaxAttempts), Allowance);
    }
  }
}

// Guards against forwarding responses with ambiguous or malformed heads.
Test(proxy_framing, malformed_response_heads_are_rejected) {
  for (const auto *Fields :
       {"Content-Length: 1\r\nContent-Length: 1\r\n",
        "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: x\r\n", "Transfer-Encoding: gzip\r\n", "a b: c\r\n",
        " folded: 1\r\n"}) {
    auto Text = "HTTP/1.1 200 OK\r\n" + std::string(Fields) + "\r\n";
    auto Parsed = parseResponseHead(Text, "GET");
    cr_assert(std::holds_alternative<framing_error>(Parsed), "%s", Fields);
  }
  for (const auto *Line : {"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/2 200",
                           "HTTP/1.1  200 OK", "ok", "HTTP/1.1 099 x"}) {
    auto Parsed = parseResponseHead(std::string(Line) + "\r\n\r\n", "GET");
    cr_assert(std::holds_alternative<framing_error>(Parsed), "%s", Line);
  }
}
