/** @file exchange.h One request of a caller and the answer to it. */
#pragma once

#include "proxy/body_decoder.h"
#include "proxy/connection.h"
#include "proxy/message_head.h"

#include <string>
#include <string_view>

namespace sycamorelb::proxy {

/** Result of reading a piece of a request body. */
enum class body_status : std::uint8_t {
  Piece,      ///< Some bytes.
  End,        ///< The body is complete.
  CallerLeft, ///< The caller closed the connection.
  TimedOut,   ///< No byte arrived by the deadline.
  Invalid,    ///< Malformed chunk, or too large.
  Early,      ///< The answer arrived; the rest of the body is not read.
};

/** What becomes of the caller's connection after an exchange. */
enum class exchange_end : std::uint8_t {
  Keep,  ///< Wait for the next request.
  Close, ///< Close in order.
  Abort, ///< Reset, so that the answer cannot be taken for a whole one.
};

/** Limits of an exchange that come from the server. */
struct exchange_limits {
  std::uint64_t MaxBodyBytes = 1ULL << 30; ///< Content of a chunked body.
  millis BodyTimeout{10000};               ///< Longest pause within a body.
};

/**
 * Reads the request body piece by piece and writes the answer. The answer is
 * collected until it is flushed, so that a small one leaves in one segment and
 * can be discarded as long as no byte was written.
 */
class exchange {
public:
  /** @param Draining new calls are refused and the connection closes. */
  exchange(connection &Caller, request_head Head, exchange_limits Limits,
           bool Draining);

  /** @return the head of the request. */
  auto head() const -> const request_head & { return Head; }
  /** @return whether new calls are refused. */
  auto isDraining() const -> bool { return Draining; }
  /** @return the caller's descriptor, for polling. */
  auto callerFd() const -> int { return Caller.fd(); }

  /** Reads the next piece of the body; asks the caller for it with 100 Continue
   * if it expects that.
   * @param Piece receives bytes that are valid until the next call. */
  auto readBody(wait_limits Wait, std::string_view &Piece) -> body_status;
  /** @return whether the whole body was read. */
  auto isBodyComplete() const -> bool { return Body.isComplete(); }
  /** @return the status with which an invalid body is refused. */
  auto invalidBodyStatus() const -> int {
    return Body.isTooLarge() ? 413 : 400;
  }

  /** Starts an answer; Headers must be free of hop-by-hop fields. A body that
   * lasts until the close is sent in chunks if the caller allows it. */
  void beginAnswer(int Status, std::string_view Reason,
                   const header_list &Headers, body_framing Framing);
  /** Adds content to the answer. @return false when the caller left. */
  auto writeAnswer(std::string_view Data, steady_time Deadline) -> bool;
  /** Writes what was collected. @return false when the caller left. */
  auto flush(steady_time Deadline) -> bool;
  /** Ends the answer and writes it. @return false when the caller left. */
  auto finishAnswer(steady_time Deadline) -> bool;
  /** Discards the answer; only while isAnswerSent is false. */
  void discardAnswer();
  /** @return whether a byte of the answer was written. */
  auto isAnswerSent() const -> bool { return Sent > 0; }

  /** Answers with a short text. */
  void answer(int Status, const header_list &Headers, std::string_view Text);
  /** Writes a complete message made elsewhere. */
  void answerRaw(std::string_view Message, bool Close);
  /** Ends the exchange without an answer, or in the middle of one. */
  void abort() { End = exchange_end::Abort; }
  /** Closes the connection in order although the answer is incomplete; for
   * stand-ins of faulty upstreams. */
  void closeInMiddle() { End = exchange_end::Close; }
  /** Closes the connection after the answer; call before it begins. */
  void closeAfterAnswer() { Head.KeepAlive = false; }

  /** @return what becomes of the connection. */
  auto end() const -> exchange_end { return End; }

private:
  auto limits(steady_time Deadline) const -> wait_limits;
  void readBufferedBody();

  connection &Caller;
  request_head Head;
  exchange_limits Limits;
  bool Draining;
  body_decoder Body;
  std::size_t PieceSize = 0; // Input consumed when the next piece is read.
  bool ContinueDue;          // 100 Continue was not sent yet.
  std::string Out;           // Collected answer bytes.
  bool Chunked = false;      // The answer is sent in chunks.
  std::uint64_t Sent = 0;    // Answer bytes written.
  exchange_end End = exchange_end::Abort;
};

} // namespace sycamorelb::proxy
