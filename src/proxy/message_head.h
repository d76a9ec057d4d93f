/** @file message_head.h Strict parsing and writing of HTTP/1.1 message heads.
 *
 * cpp-httplib 0.11.4 accepts two Content-Length headers, and Content-Length
 * together with Transfer-Encoding, so forwarded messages are parsed here.
 */
#pragma once

#include "sycamorelb/proxy/call_type.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace sycamorelb::proxy {

/** How the end of a body is delimited. */
enum class body_kind : std::uint8_t {
  None,       ///< No body.
  Length,     ///< Content-Length.
  Chunked,    ///< Transfer-Encoding: chunked.
  UntilClose, ///< Close of the connection; responses only.
};

/** Framing of a body. */
struct body_framing {
  body_kind Kind = body_kind::None; ///< Delimiter of the body.
  std::uint64_t Length = 0;         ///< Body size in bytes, for Length.
};

/** Head of a request. */
struct request_head {
  std::string Method;          ///< Case-sensitive method.
  std::string Target;          ///< Path and query in origin form, or "*".
  std::string Path;            ///< Target without the query.
  int MinorVersion = 1;        ///< Minor HTTP version, 0 or 1.
  header_list Headers;         ///< All header fields.
  body_framing Body;           ///< Framing of the body.
  bool KeepAlive = true;       ///< The caller keeps the connection open.
  bool ExpectContinue = false; ///< The body follows only after 100 Continue.
};

/** Head of a response. */
struct response_head {
  int Status = 0;        ///< HTTP status.
  std::string Reason;    ///< Reason phrase.
  header_list Headers;   ///< All header fields.
  body_framing Body;     ///< Framing of the body.
  bool KeepAlive = true; ///< The connection can be reused.
};

/** Violation of the HTTP message syntax. */
struct framing_error {
  int Status = 400;   ///< HTTP status for the refusal of a request.
  std::string Reason; ///< Rule that was violated.
};

/** Limits of a message head. */
struct head_limits {
  std::size_t MaxBytes = std::size_t{16} * 1024; ///< Start line and headers.
  std::size_t MaxHeaders = 100;                  ///< Number of header fields.
  std::uint64_t MaxBodyBytes = 1ULL << 30;       ///< Limit of Content-Length.
};

/** Result of the search for the end of a head. */
struct head_end {
  bool Found = false;   ///< The head is complete.
  bool BareLf = false;  ///< A line ends without CR; the head is invalid.
  std::size_t Size = 0; ///< Size of the head including its empty line.
};

/** Searches for the end of the head at the start of Bytes. */
auto findHeadEnd(std::string_view Bytes) -> head_end;

/**
 * Parses a complete request head.
 * @return the head, or the error with which the request is refused.
 */
auto parseRequestHead(std::string_view Bytes, const head_limits &Limits)
    -> std::variant<request_head, framing_error>;

/**
 * Parses a complete response head.
 * @param Method method of the request, since a response to HEAD has no body.
 * @return the head, or the rule that it violates.
 */
auto parseResponseHead(std::string_view Bytes, std::string_view Method)
    -> std::variant<response_head, framing_error>;

/** @return whether two header names are equal, ignoring case. */
auto equalNames(std::string_view Left, std::string_view Right) -> bool;

/** @return whether a comma-separated header value contains Token, ignoring
 * case. */
auto containsToken(std::string_view Value, std::string_view Token) -> bool;

/** @return the headers without hop-by-hop fields, Content-Length and Expect. */
auto withoutHopHeaders(const header_list &Headers) -> header_list;

/** Appends "Name: Value" and CRLF. */
void appendHeader(std::string &Out, std::string_view Name,
                  std::string_view Value);

/** @return the value of a decimal number, or nothing if Text has other
 * characters than digits or more than 18 digits. */
auto parseDecimal(std::string_view Text) -> std::optional<std::uint64_t>;

/** @return the standard reason phrase of an HTTP status. */
auto reasonPhrase(int Status) -> std::string_view;

} // namespace sycamorelb::proxy
