/** @file result_type.h Error type and result type of operations that can fail.
 */
#pragma once

#include <string>
#include <utility>
#include <variant>

namespace sycamorelb {

/** Kind of failure; callers choose their reaction by it. */
enum class error_code {
  InvalidArgument, ///< The input is invalid; a retry fails again.
  NotFound,        ///< The requested object does not exist.
  Conflict,        ///< A concurrent change was accepted first.
  Unreachable,     ///< The peer could not be reached; no effect.
  Timeout,         ///< No answer by the deadline; the effect is unknown.
  Overloaded,      ///< The peer refused for lack of capacity.
  Unauthorized,    ///< Authentication failed.
  Corrupt,         ///< Data fails a checksum or cannot be decoded.
  Internal,        ///< Internal error of this program.
};

/** Failure with the step and the peer at which it occurred. */
struct error {
  error_code Code = error_code::Internal; ///< Kind of failure.
  std::string Step;                       ///< Step that failed.
  std::string Peer;    ///< Peer involved; empty for a local step.
  std::string Message; ///< Human-readable description.
};

template <class T> using result = std::variant<T, error>;

/** Success without a value. */
using done = std::monostate;

/** @return whether the result holds a value. */
template <class T> auto isOk(const result<T> &Result) -> bool {
  return Result.index() == 0;
}

/** @return the value of a successful result; the result must be ok. */
template <class T> auto valueOf(const result<T> &Result) -> const T & {
  return std::get<0>(Result);
}

/** @return the value of a successful result; the result must be ok. */
template <class T> auto valueOf(result<T> &Result) -> T & {
  return std::get<0>(Result);
}

/** @return the error of a failed result; the result must not be ok. */
template <class T> auto errorOf(const result<T> &Result) -> const error & {
  return std::get<1>(Result);
}

/** @return the name of an error code as used in logs and JSON. */
auto errorCodeName(error_code Code) -> const char *;

/** @return the error as one line: step, peer, code, message. */
auto describe(const error &Error) -> std::string;

} // namespace sycamorelb
