/** @file exchange.h One request from a caller and the response to it. */
#pragma once

#include "proxy/body_decoder.h"
#include "proxy/connection.h"
#include "proxy/message_head.h"

#include <string>
#include <string_view>

namespace sycamorelb::proxy {

/** Result of reading a piece of a request body. */
enum class body_status : std::uint8_t {
  Piece,         ///< Body bytes were read.
  End,           ///< The body is complete.
  CallerLeft,    ///< The caller closed the connection.
  TimedOut,      ///< No byte arrived before the deadline.
  Invalid,       ///< The body is malformed or too large.
  EarlyResponse, ///< The peer's response arrived; the rest of the body is not
                 ///< read.
};

/** State of the caller's connection after an exchange. */
enum class exchange_end : std::uint8_t {
  Keep,  ///< Keep it open for the next request.
  Close, ///< Close it normally.
  Abort, ///< Reset it, so that a truncated response is not mistaken for a
         ///< complete one.
};

/** Limits that the server sets for an exchange. */
struct exchange_limits {
  std::uint64_t MaxBodyBytes = 1ULL << 30; ///< Content limit of a chunked body.
  millis BodyTimeout{10000}; ///< Maximum pause between bytes of a body.
};

/**
 * Reads the request body piece by piece and writes the response. Output is
 * buffered until it is flushed, so that a small response is sent in one segment
 * and can be discarded until its first byte is written.
 */
class exchange {
public:
  /** @param Draining refuse new calls and close the connection afterwards. */
  exchange(connection &Caller, request_head Head, exchange_limits Limits,
           bool Draining);

  /** @return the head of the request. */
  auto head() const -> const request_head & { return Head; }
  /** @return whether new calls are refused. */
  auto isDraining() const -> bool { return Draining; }
  /** @return the file descriptor of the caller's connection, for polling. */
  auto callerFd() const -> int { return Caller.fd(); }

  /** Reads the next piece of the body; sends 100 Continue first if the caller
   * expects it.
   * @param Piece receives body bytes, which are valid until the next call. */
  auto readBody(wait_limits Wait, std::string_view &Piece) -> body_status;
  /** @return whether the whole body was read. */
  auto isBodyComplete() const -> bool { return Body.isComplete(); }
  /** @return the HTTP status for an invalid body. */
  auto invalidBodyStatus() const -> int {
    return Body.isTooLarge() ? 413 : 400;
  }

  /** Starts a response; Headers must not contain hop-by-hop fields. A body
   * without a known length is chunked if the caller supports it. */
  void beginResponse(int Status, std::string_view Reason,
                     const header_list &Headers, body_framing Framing);
  /** Adds content to the response body. @return false if the write failed. */
  auto writeResponseBody(std::string_view Data, steady_time Deadline) -> bool;
  /** Writes the buffered output. @return false if the write failed. */
  auto flush(steady_time Deadline) -> bool;
  /** Ends the response and flushes it. @return false if the write failed. */
  auto finishResponse(steady_time Deadline) -> bool;
  /** Discards the buffered response; allowed only while isResponseStarted is
   * false. */
  void discardResponse();
  /** @return whether at least one byte of the response was written. */
  auto isResponseStarted() const -> bool { return BytesWritten > 0; }

  /** Sends a complete response with a short text body. */
  void respond(int Status, const header_list &Headers, std::string_view Text);
  /** Writes a complete, already serialized response. */
  void respondRaw(std::string_view Message, bool Close);
  /** Resets the connection without a response, or in the middle of one. */
  void abort() { End = exchange_end::Abort; }
  /** Closes the connection normally after an incomplete response; used by
   * stand-ins to simulate faulty upstreams. */
  void closeTruncated() { End = exchange_end::Close; }
  /** Closes the connection after the response; call before the response begins.
   */
  void closeAfterResponse() { Head.KeepAlive = false; }

  /** @return the state of the connection after the exchange. */
  auto end() const -> exchange_end { return End; }

private:
  auto limits(steady_time Deadline) const -> wait_limits;
  void consumeBufferedBody();

  connection &Caller;
  request_head Head;
  exchange_limits Limits;
  bool Draining;
  body_decoder Body;
  std::size_t PendingConsume = 0; // Input to consume before the next read.
  bool ContinuePending;           // 100 Continue is still to be sent.
  std::string OutputBuffer;       // Response bytes not written yet.
  bool Chunked = false;           // The response body is sent in chunks.
  std::uint64_t BytesWritten = 0; // Response bytes written so far.
  exchange_end End = exchange_end::Abort;
};

} // namespace sycamorelb::proxy
