/** @file attempt.h One attempt: a request to one peer and its response. */
#pragma once

#include "proxy/call_body.h"
#include "proxy/proxy_core.h"

#include <functional>
#include <string>

namespace sycamorelb::proxy {

/** Request of an attempt and its time limits. */
struct attempt_request {
  std::string Address;                 ///< "ip:port" of the peer.
  std::string Head;                    ///< Request line and headers.
  bool ExpectContinue = false;         ///< Head contains Expect: 100-continue.
  bool FailOnFirstByteTimeout = false; ///< Fail at FirstByteTimeout.
  millis FirstByteTimeout{0}; ///< Expected upper bound on the time to the first
                              ///< response byte; 0 for none.
  steady_time Deadline{};     ///< Deadline of the call.
};

/**
 * Sends one request and receives the response. The steps are start, awaitHead
 * and then relay or discard; a failing step sets the outcome and closes the
 * connection. The connection returns to the pool only if request and response
 * are complete and no input is left over.
 */
class attempt {
public:
  attempt(proxy_core &Core, exchange &Exchange, call_body &Body,
          attempt_request Request);

  /** Acquires or opens a connection and sends the request; a body that is not
   * buffered is forwarded as it arrives. @return false if the attempt failed.
   */
  auto start() -> bool;

  /** Waits for the head of the final response. @return false if the attempt
   * failed. */
  auto awaitHead() -> bool;

  /** Forwards the response to the caller. A truncated response resets the
   * caller's connection, unless none of it was written yet.
   * @return whether the caller got the complete response. */
  auto relay() -> bool;

  /** Ends the attempt without forwarding the response; the connection is reused
   * if the rest of the response has already arrived. */
  void discard();

  /** Closes the connection, which makes the peer cancel the call. */
  void cancel(std::string Reason);

  /** @return the head of the response; valid after awaitHead. */
  auto responseHead() const -> const response_head & { return Response; }
  /** @return the outcome so far. */
  auto outcome() const -> const call_outcome & { return Outcome; }
  /** @return the refusal to send if the caller's body could not be read. */
  auto bodyRefusal() const -> const body_refusal & { return Refusal; }
  /** @return the file descriptor of the connection, or -1 if there is none. */
  auto fd() const -> int;
  /** @return whether the whole request was sent. */
  auto isRequestSent() const -> bool { return RequestSent; }

private:
  auto connect(bool MayReuse) -> bool;
  auto sendHead() -> io_status;
  auto streamBody() -> bool;
  auto sendBodyPiece(std::string_view Piece) -> io_status;
  auto readHead(wait_limits Wait) -> io_status;
  auto awaitFirstByte() -> io_status;
  auto flushAndReceive(wait_limits Wait) -> io_status;
  auto relayBody(body_decoder &Decoder) -> io_status;
  void releaseConnection(const body_decoder &Decoder);
  auto fail(io_status Status, const char *Step) -> bool;
  auto limits() const -> wait_limits;

  proxy_core &Core;
  exchange &Exchange;
  call_body &Body;
  attempt_request Request;
  pooled_connection Pooled;
  steady_time StartedAt;
  steady_time RequestSentAt{};
  call_outcome Outcome;
  body_refusal Refusal;
  response_head Response;
  bool HasResponseHead = false;  // Response holds the final head.
  bool RequestSent = false;      // The whole request was written.
  bool RequestCut = false;       // Its writing began and ended early.
  bool ContinueReceived = false; // 100 Continue was received.
  bool ChunkEndPending = false;  // A chunk was written without its CRLF.
};

} // namespace sycamorelb::proxy
