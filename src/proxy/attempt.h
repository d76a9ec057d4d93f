/** @file attempt.h One attempt: a request sent to one peer, and its answer. */
#pragma once

#include "proxy/call_body.h"
#include "proxy/proxy_core.h"

#include <functional>
#include <string>

namespace sycamorelb::proxy {

/** What an attempt sends, and when it is given up. */
struct attempt_plan {
  std::string Address;          ///< "ip:port" of the peer.
  std::string Head;             ///< Request line and headers.
  bool ExpectContinue = false;  ///< Head asks for 100 Continue.
  bool GiveUpOnSilence = false; ///< End the attempt at FirstByteTimeout.
  millis FirstByteTimeout{0};   ///< Longest usual wait for the answer; 0 for
                                ///< none.
  steady_time Deadline{};       ///< End of the call.
};

/**
 * Sends one request and receives the answer. The steps are start, awaitHead and
 * then relay or discard; a step that fails sets the outcome and closes the
 * connection. The connection is kept only after a whole exchange without doubt.
 */
class attempt {
public:
  attempt(proxy_core &Core, exchange &Exchange, call_body &Body,
          attempt_plan Plan);

  /** Takes or opens a connection and sends the request; a body that is not
   * buffered is passed on as it arrives. @return false when the attempt ended.
   */
  auto start() -> bool;

  /** Waits for the head of the final answer. @return false when the attempt
   * ended. */
  auto awaitHead() -> bool;

  /** Passes the answer on to the caller. A truncated answer resets the caller's
   * connection, unless nothing of it was written yet.
   * @return whether the caller got the whole answer. */
  auto relay() -> bool;

  /** Ends the attempt without passing the answer on; the connection is kept if
   * the rest of the answer has arrived. */
  void discard();

  /** Closes the connection, which cancels the work of the peer. */
  void cancel(std::string Reason);

  /** @return the head of the answer, after awaitHead. */
  auto answerHead() const -> const response_head & { return Answer; }
  /** @return the outcome so far. */
  auto outcome() const -> const call_outcome & { return Outcome; }
  /** @return the refusal if the caller's body could not be read. */
  auto bodyRefusal() const -> const body_refusal & { return Refusal; }
  /** @return the descriptor while the answer is awaited, or -1. */
  auto fd() const -> int;
  /** @return whether the body was sent in full. */
  auto isRequestSent() const -> bool { return RequestSent; }

private:
  auto connect(bool MayReuse) -> bool;
  auto sendHead() -> io_status;
  auto streamBody() -> bool;
  auto sendPiece(std::string_view Piece) -> io_status;
  auto readHead(wait_limits Wait) -> io_status;
  auto awaitFirstByte() -> io_status;
  auto fillForAnswer(wait_limits Wait) -> io_status;
  auto relayBody(body_decoder &Decoder) -> io_status;
  void keepConnection(const body_decoder &Decoder);
  auto fail(io_status Status, const char *Step) -> bool;
  auto limits() const -> wait_limits;

  proxy_core &Core;
  exchange &Exchange;
  call_body &Body;
  attempt_plan Plan;
  pooled_connection Pooled;
  steady_time Started;
  steady_time Sent{};
  call_outcome Outcome;
  body_refusal Refusal;
  response_head Answer;
  bool HaveAnswer = false;  // Answer holds the final head.
  bool RequestSent = false; // The whole request was written.
  bool Continued = false;   // 100 Continue was received.
  bool ChunkOpen = false;   // A chunk was written without its CRLF.
};

} // namespace sycamorelb::proxy
