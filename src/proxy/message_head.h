/** @file message_head.h Strict parsing and writing of HTTP/1.1 message heads.
 *
 * cpp-httplib 0.11.4 accepts two Content-Length headers and Content-Length
 * together with Transfer-Encoding, so whatever is forwarded is parsed here.
 */
#pragma once

#include "sycamorelb/proxy/call_type.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace sycamorelb::proxy {

/** How the end of a body is found. */
enum class body_kind : std::uint8_t {
  None,       ///< There is no body.
  Length,     ///< Content-Length.
  Chunked,    ///< Transfer-Encoding: chunked.
  UntilClose, ///< The connection closes after it; answers only.
};

/** Framing of a body. */
struct body_framing {
  body_kind Kind = body_kind::None; ///< How the end is found.
  std::uint64_t Length = 0;         ///< Bytes, for Length.
};

/** Head of a request. */
struct request_head {
  std::string Method;          ///< Method, case-sensitive.
  std::string Target;          ///< Path and query; origin form or "*".
  std::string Path;            ///< Target without the query.
  int MinorVersion = 1;        ///< HTTP/1.x.
  header_list Headers;         ///< All header fields.
  body_framing Body;           ///< Framing of the body.
  bool KeepAlive = true;       ///< The caller keeps the connection.
  bool ExpectContinue = false; ///< The caller waits for 100 before the body.
};

/** Head of an answer. */
struct response_head {
  int Status = 0;        ///< HTTP status.
  std::string Reason;    ///< Reason phrase.
  header_list Headers;   ///< All header fields.
  body_framing Body;     ///< Framing of the body.
  bool KeepAlive = true; ///< The connection can be used again.
};

/** Violation of the message syntax. */
struct framing_error {
  int Status = 400;   ///< Status with which a request is refused.
  std::string Reason; ///< Rule that was broken.
};

/** Limits of a head. */
struct head_limits {
  std::size_t MaxBytes = std::size_t{16} * 1024; ///< Start line and headers.
  std::size_t MaxHeaders = 100;                  ///< Header fields.
  std::uint64_t MaxBodyBytes = 1ULL << 30;       ///< Content-Length.
};

/** Result of looking for the end of a head. */
struct head_end {
  bool Found = false;   ///< The head is complete.
  bool BareLf = false;  ///< A line ends without CR; the head is invalid.
  std::size_t Size = 0; ///< Bytes of the head with its empty line.
};

/** Looks for the end of the head at the start of Bytes. */
auto findHeadEnd(std::string_view Bytes) -> head_end;

/**
 * Parses a complete request head.
 * @return the head, or the error with which it is refused.
 */
auto parseRequestHead(std::string_view Bytes, const head_limits &Limits)
    -> std::variant<request_head, framing_error>;

/**
 * Parses a complete response head.
 * @param Method method of the request, since an answer to HEAD has no body.
 * @return the head, or the rule that it breaks.
 */
auto parseResponseHead(std::string_view Bytes, std::string_view Method)
    -> std::variant<response_head, framing_error>;

/** @return whether two header names are equal without regard to case. */
auto equalNames(std::string_view Left, std::string_view Right) -> bool;

/** @return whether a comma-separated header value contains the token. */
auto containsToken(std::string_view Value, std::string_view Token) -> bool;

/** @return the headers without those that concern one connection only, and
 * without Content-Length and Expect. */
auto withoutHopHeaders(const header_list &Headers) -> header_list;

/** Appends "Name: Value" and the line end. */
void appendHeader(std::string &Out, std::string_view Name,
                  std::string_view Value);

/** @return a decimal number, or nothing if Text is not only digits or is too
 * large. */
auto parseDecimal(std::string_view Text) -> std::optional<std::uint64_t>;

/** @return the usual reason phrase of a status. */
auto reasonPhrase(int Status) -> std::string_view;

} // namespace sycamorelb::proxy
