/** @file message_head.cpp Strict parsing of HTTP/1.1 message heads. */
#include "proxy/message_head.h"

#include <algorithm>
#include <array>
#include <utility>

namespace sycamorelb::proxy {

static auto isTokenChar(char Byte) -> bool {
  constexpr auto Symbols = std::string_view("!#$%&'*+-.^_`|~");
  return (Byte >= '0' && Byte <= '9') || (Byte >= 'a' && Byte <= 'z') ||
         (Byte >= 'A' && Byte <= 'Z') ||
         Symbols.find(Byte) != std::string_view::npos;
}

static auto isToken(std::string_view Text) -> bool {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenChar);
}

static auto isDigit(char Byte) -> bool { return Byte >= '0' && Byte <= '9'; }

static auto toLower(char Byte) -> char {
  return Byte >= 'A' && Byte <= 'Z' ? static_cast<char>(Byte + 32) : Byte;
}

static auto trimmed(std::string_view Text) -> std::string_view {
  auto IsBlank = [](char Byte) { return Byte == ' ' || Byte == '\t'; };
  while (!Text.empty() && IsBlank(Text.front())) {
    Text.remove_prefix(1);
  }
  while (!Text.empty() && IsBlank(Text.back())) {
    Text.remove_suffix(1);
  }
  return Text;
}

auto equalNames(std::string_view Left, std::string_view Right) -> bool {
  return Left.size() == Right.size() &&
         std::equal(Left.begin(), Left.end(), Right.begin(),
                    [](char A, char B) { return toLower(A) == toLower(B); });
}

auto findHeader(const header_list &Headers, std::string_view Name)
    -> std::optional<std::string_view> {
  for (const auto &Field : Headers) {
    if (equalNames(Field.Name, Name)) {
      return Field.Value;
    }
  }
  return std::nullopt;
}

auto containsToken(std::string_view Value, std::string_view Token) -> bool {
  while (!Value.empty()) {
    auto Comma = Value.find(',');
    if (equalNames(trimmed(Value.substr(0, Comma)), Token)) {
      return true;
    }
    Value.remove_prefix(Comma == std::string_view::npos ? Value.size()
                                                        : Comma + 1);
  }
  return false;
}

auto parseDecimal(std::string_view Text) -> std::optional<std::uint64_t> {
  // 18 digits cannot overflow 64 bits and are enough for every accepted size.
  if (Text.empty() || Text.size() > 18 ||
      !std::all_of(Text.begin(), Text.end(), isDigit)) {
    return std::nullopt;
  }
  auto Number = std::uint64_t{0};
  for (auto Byte : Text) {
    Number = Number * 10 + static_cast<std::uint64_t>(Byte - '0');
  }
  return Number;
}

auto findHeadEnd(std::string_view Bytes) -> head_end {
  auto LineStart = std::size_t{0};
  for (;;) {
    auto Lf = Bytes.find('\n', LineStart);
    if (Lf == std::string_view::npos) {
      return {};
    }
    if (Lf == LineStart || Bytes[Lf - 1] != '\r') {
      return {true, true, Lf + 1};
    }
    if (Lf == LineStart + 1) {
      return {true, false, Lf + 1};
    }
    LineStart = Lf + 1;
  }
}

/** Removes one CRLF-terminated line from the front of Bytes. */
static auto takeLine(std::string_view &Bytes) -> std::string_view {
  auto End = Bytes.find("\r\n");
  auto Line = Bytes.substr(0, End);
  Bytes.remove_prefix(End == std::string_view::npos ? Bytes.size() : End + 2);
  return Line;
}

static auto isFieldValueByte(char Byte) -> bool {
  auto Code = static_cast<unsigned char>(Byte);
  return Code == '\t' || (Code >= 0x20 && Code != 0x7f);
}

/** @return the violated rule; Status 0 for success. */
static auto parseFields(std::string_view Bytes, std::size_t MaxHeaders,
                        header_list &Headers) -> framing_error {
  for (auto Line = takeLine(Bytes); !Line.empty(); Line = takeLine(Bytes)) {
    if (Headers.size() == MaxHeaders) {
      return {431, "too many header fields"};
    }
    auto Colon = Line.find(':');
    if (Colon == std::string_view::npos || !isToken(Line.substr(0, Colon))) {
      return {400, "malformed header field name"};
    }
    auto Value = trimmed(Line.substr(Colon + 1));
    if (!std::all_of(Value.begin(), Value.end(), isFieldValueByte)) {
      return {400, "control character in a header field"};
    }
    Headers.push_back({std::string(Line.substr(0, Colon)), std::string(Value)});
  }
  return {0, ""};
}

/** Framing headers of a message and how often each occurs. */
struct framing_fields {
  int Lengths = 0;           ///< Number of Content-Length fields.
  int Encodings = 0;         ///< Number of Transfer-Encoding fields.
  std::string_view Length;   ///< Value of the last Content-Length.
  std::string_view Encoding; ///< Value of the last Transfer-Encoding.
  bool Close = false;        ///< Connection contains close.
  bool KeepAlive = false;    ///< Connection contains keep-alive.
};

static auto collectFraming(const header_list &Headers) -> framing_fields {
  auto Fields = framing_fields();
  for (const auto &[Name, Value] : Headers) {
    if (equalNames(Name, "content-length")) {
      ++Fields.Lengths;
      Fields.Length = Value;
    } else if (equalNames(Name, "transfer-encoding")) {
      ++Fields.Encodings;
      Fields.Encoding = Value;
    } else if (equalNames(Name, "connection")) {
      Fields.Close = Fields.Close || containsToken(Value, "close");
      Fields.KeepAlive = Fields.KeepAlive || containsToken(Value, "keep-alive");
    }
  }
  return Fields;
}

/** Determines the body framing by the rules common to requests and responses.
 * @return the violated rule; Status 0 for success. */
static auto determineFraming(const framing_fields &Fields, int MinorVersion,
                             body_framing &Body) -> framing_error {
  if (Fields.Lengths > 1) {
    return {400, "more than one Content-Length"};
  }
  if (Fields.Encodings > 0) {
    if (Fields.Lengths > 0) {
      return {400, "Content-Length together with Transfer-Encoding"};
    }
    if (MinorVersion == 0) {
      return {400, "Transfer-Encoding in HTTP/1.0"};
    }
    if (Fields.Encodings > 1 || !equalNames(Fields.Encoding, "chunked")) {
      return {501, "Transfer-Encoding other than chunked"};
    }
    Body = {body_kind::Chunked, 0};
  } else if (Fields.Lengths == 1) {
    auto Length = parseDecimal(Fields.Length);
    if (!Length) {
      return {400, "malformed Content-Length"};
    }
    Body = {body_kind::Length, *Length};
  }
  return {0, ""};
}

/** @return the minor version of "HTTP/1.0" or "HTTP/1.1", or -1 for anything
 * else. */
static auto parseVersion(std::string_view Text) -> int {
  if (Text == "HTTP/1.1") {
    return 1;
  }
  return Text == "HTTP/1.0" ? 0 : -1;
}

/** Converts a request target in absolute form to origin form. */
static auto toOriginForm(std::string_view Target) -> std::string {
  constexpr auto Scheme = std::string_view("http://");
  if (!equalNames(Target.substr(0, Scheme.size()), Scheme)) {
    return std::string(Target);
  }
  auto Path = Target.find_first_of("/?", Scheme.size());
  if (Path == std::string_view::npos) {
    return "/";
  }
  return (Target[Path] == '?' ? "/" : "") + std::string(Target.substr(Path));
}

static auto parseRequestLine(std::string_view Line, request_head &Head)
    -> framing_error {
  auto First = Line.find(' ');
  auto Last = Line.rfind(' ');
  if (First == std::string_view::npos || First == Last) {
    return {400, "malformed request line"};
  }
  auto Method = Line.substr(0, First);
  auto Target = Line.substr(First + 1, Last - First - 1);
  auto IsVisible = [](char Byte) { return Byte > 0x20 && Byte < 0x7f; };
  if (!isToken(Method) || Target.empty() ||
      !std::all_of(Target.begin(), Target.end(), IsVisible)) {
    return {400, "malformed request line"};
  }
  Head.MinorVersion = parseVersion(Line.substr(Last + 1));
  if (Head.MinorVersion < 0) {
    return {505, "unsupported HTTP version"};
  }
  if (Method == "CONNECT") {
    return {501, "CONNECT is not supported"};
  }
  Head.Method = Method;
  Head.Target = toOriginForm(Target);
  Head.Path = Head.Target.substr(0, Head.Target.find_first_of("?#"));
  if (Head.Target.front() != '/' &&
      !(Head.Target == "*" && Method == "OPTIONS")) {
    return {400, "malformed request target"};
  }
  return {0, ""};
}

static auto validateRequest(request_head &Head, const head_limits &Limits)
    -> framing_error {
  auto Fields = collectFraming(Head.Headers);
  if (auto Error = determineFraming(Fields, Head.MinorVersion, Head.Body);
      Error.Status != 0) {
    return Error;
  }
  if (Head.Body.Length > Limits.MaxBodyBytes) {
    return {413, "body too large"};
  }
  auto Hosts = std::count_if(
      Head.Headers.begin(), Head.Headers.end(),
      [](const auto &Field) { return equalNames(Field.Name, "host"); });
  if (Hosts > 1 || (Hosts == 0 && Head.MinorVersion == 1)) {
    return {400, "not exactly one Host"};
  }
  Head.KeepAlive = Head.MinorVersion == 1 ? !Fields.Close
                                          : Fields.KeepAlive && !Fields.Close;
  if (auto Expect = findHeader(Head.Headers, "expect")) {
    if (!equalNames(*Expect, "100-continue")) {
      return {417, "unknown expectation"};
    }
    Head.ExpectContinue =
        Head.MinorVersion == 1 &&
        (Head.Body.Kind == body_kind::Chunked || Head.Body.Length > 0);
  }
  return {0, ""};
}

auto parseRequestHead(std::string_view Bytes, const head_limits &Limits)
    -> std::variant<request_head, framing_error> {
  if (Bytes.size() > Limits.MaxBytes) {
    return framing_error{431, "head too large"};
  }
  if (findHeadEnd(Bytes).BareLf) {
    return framing_error{400, "line end without CR"};
  }
  auto Head = request_head();
  auto Error = parseRequestLine(takeLine(Bytes), Head);
  if (Error.Status == 0) {
    Error = parseFields(Bytes, Limits.MaxHeaders, Head.Headers);
  }
  if (Error.Status == 0) {
    Error = validateRequest(Head, Limits);
  }
  if (Error.Status != 0) {
    return Error;
  }
  return Head;
}

static auto parseStatusLine(std::string_view Line, response_head &Head,
                            int &MinorVersion) -> bool {
  // "HTTP/1.1 200" with an optional reason phrase.
  if (Line.size() < 12 || Line[8] != ' ' ||
      (Line.size() > 12 && Line[12] != ' ')) {
    return false;
  }
  MinorVersion = parseVersion(Line.substr(0, 8));
  auto Status = parseDecimal(Line.substr(9, 3));
  if (MinorVersion < 0 || !Status || *Status < 100 || *Status > 599) {
    return false;
  }
  Head.Status = static_cast<int>(*Status);
  Head.Reason = Line.substr(std::min<std::size_t>(13, Line.size()));
  return std::all_of(Head.Reason.begin(), Head.Reason.end(), isFieldValueByte);
}

auto parseResponseHead(std::string_view Bytes, std::string_view Method)
    -> std::variant<response_head, framing_error> {
  constexpr auto MaxHeaders = std::size_t{256};
  auto Head = response_head();
  auto MinorVersion = 1;
  if (findHeadEnd(Bytes).BareLf ||
      !parseStatusLine(takeLine(Bytes), Head, MinorVersion)) {
    return framing_error{502, "malformed status line"};
  }
  if (auto Error = parseFields(Bytes, MaxHeaders, Head.Headers);
      Error.Status != 0) {
    return framing_error{502, Error.Reason};
  }
  auto Fields = collectFraming(Head.Headers);
  Head.Body = {body_kind::UntilClose, 0};
  if (auto Error = determineFraming(Fields, MinorVersion, Head.Body);
      Error.Status != 0) {
    return framing_error{502, Error.Reason};
  }
  if (Method == "HEAD" || Head.Status < 200 || Head.Status == 204 ||
      Head.Status == 304) {
    Head.Body = {body_kind::None, 0};
  }
  Head.KeepAlive = Head.Body.Kind != body_kind::UntilClose &&
                   (MinorVersion == 1 || Fields.KeepAlive) && !Fields.Close;
  return Head;
}

auto withoutHopHeaders(const header_list &Headers) -> header_list {
  constexpr auto HopByHopNames =
      std::array<std::string_view, 11>{"connection",
                                       "keep-alive",
                                       "proxy-connection",
                                       "te",
                                       "proxy-authorization",
                                       "proxy-authenticate",
                                       "trailer",
                                       "transfer-encoding",
                                       "upgrade",
                                       "content-length",
                                       "expect"};
  auto IsHopByHop = [&](std::string_view Name) {
    if (std::any_of(HopByHopNames.begin(), HopByHopNames.end(),
                    [&](auto HopByHopName) {
                      return equalNames(Name, HopByHopName);
                    })) {
      return true;
    }
    return std::any_of(Headers.begin(), Headers.end(), [&](const auto &Field) {
      return equalNames(Field.Name, "connection") &&
             containsToken(Field.Value, Name);
    });
  };
  auto Kept = header_list();
  Kept.reserve(Headers.size());
  for (const auto &Field : Headers) {
    if (!IsHopByHop(Field.Name)) {
      Kept.push_back(Field);
    }
  }
  return Kept;
}

void appendHeader(std::string &Out, std::string_view Name,
                  std::string_view Value) {
  Out.append(Name).append(": ").append(Value).append("\r\n");
}

auto reasonPhrase(int Status) -> std::string_view {
  constexpr auto Phrases = std::array<std::pair<int, std::string_view>, 18>{
      {{200, "OK"},
       {204, "No Content"},
       {400, "Bad Request"},
       {401, "Unauthorized"},
       {404, "Not Found"},
       {408, "Request Timeout"},
       {409, "Conflict"},
       {413, "Content Too Large"},
       {414, "URI Too Long"},
       {417, "Expectation Failed"},
       {421, "Misdirected Request"},
       {429, "Too Many Requests"},
       {431, "Request Header Fields Too Large"},
       {500, "Internal Server Error"},
       {501, "Not Implemented"},
       {502, "Bad Gateway"},
       {503, "Service Unavailable"},
       {504, "Gateway Timeout"}}};
  for (const auto &[Code, Phrase] : Phrases) {
    if (Code == Status) {
      return Phrase;
    }
  }
  return "Status";
}

} // namespace sycamorelb::proxy
