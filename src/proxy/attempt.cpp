/** @file attempt.cpp One attempt: a request to one peer and its response.
 */
#include "proxy/attempt.h"

#include "proxy/call_header.h"

#include "sycamorelb/core/clock_func.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace sycamorelb::proxy {

static constexpr auto MaxResponseHeadBytes = std::size_t{64} * 1024;
// A discarded response is read to its end only if it is small; beyond that a
// new connection is cheaper.
static constexpr auto MaxDiscardBytes = std::uint64_t{16} * 1024;

attempt::attempt(proxy_core &Core, exchange &Exchange, call_body &Body,
                 attempt_request Request)
    : Core(Core), Exchange(Exchange), Body(Body), Request(std::move(Request)),
      StartedAt(steadyNow()) {
  Outcome.Peer = this->Request.Address;
}

auto attempt::fd() const -> int {
  return Pooled.Connection == nullptr ? -1 : Pooled.Connection->fd();
}

auto attempt::limits() const -> wait_limits {
  auto Progress = steadyNow() + Core.Options.ProgressTimeout;
  return {.Deadline = std::min(Request.Deadline, Progress),
          .CallerFd = Exchange.callerFd()};
}

auto attempt::fail(io_status Status, const char *Step) -> bool {
  Pooled.Connection.reset();
  Outcome.Step = Step;
  Outcome.Reason = statusName(Status);
  Outcome.Latency = steadyNow() - StartedAt;
  if (Status == io_status::CallerLeft) {
    Outcome.Kind = outcome_kind::Cancelled;
    ++Core.Counters.Cancelled;
  } else {
    Outcome.Kind =
        Outcome.Started ? outcome_kind::Unknown : outcome_kind::NotRun;
  }
  return false;
}

void attempt::cancel(std::string Reason) {
  Pooled.Connection.reset();
  Outcome.Kind = outcome_kind::Cancelled;
  Outcome.Reason = std::move(Reason);
  Outcome.Latency = steadyNow() - StartedAt;
}

auto attempt::connect(bool MayReuse) -> bool {
  Pooled = Core.Pool.acquire(Request.Address);
  if (Pooled.Connection != nullptr && MayReuse) {
    ++Core.Counters.Reused;
    return true;
  }
  Pooled.Reused = false;
  auto Limits = limits();
  Limits.Deadline =
      std::min(Limits.Deadline, steadyNow() + Core.Options.ConnectTimeout);
  auto Fd = -1;
  if (auto Status = openSocket(Request.Address, Limits, Fd);
      Status != io_status::Ok) {
    return fail(Status, "connect");
  }
  ++Core.Counters.Opened;
  Pooled.Connection = std::make_unique<connection>(Fd);
  return true;
}

auto attempt::sendHead() -> io_status {
  auto Limits = limits();
  Limits.StopOnInput = true;
  auto WithBody = !Request.ExpectContinue && Body.Complete;
  auto Content = WithBody ? std::string_view(Body.Buffered) : "";
  auto Status =
      Pooled.Connection->write(Request.Head, Content, Limits, Outcome.BytesOut);
  Outcome.Started = Outcome.BytesOut > 0;
  RequestSent = Status == io_status::Ok && Body.Complete;
  RequestCut = Status != io_status::Ok;
  return Status;
}

auto attempt::start() -> bool {
  if (!connect(true)) {
    return false;
  }
  auto Status = sendHead();
  if (Status == io_status::Failed && !Outcome.Started && Pooled.Reused) {
    // The peer had closed the pooled connection and no byte was written, so
    // sending on a new connection is not a second attempt.
    if (!connect(false)) {
      return false;
    }
    Status = sendHead();
  }
  RequestSentAt = steadyNow();
  if (Status != io_status::Ok && Status != io_status::EarlyResponse) {
    return fail(Status, "send_request");
  }
  if (Body.Complete || Status == io_status::EarlyResponse) {
    return true;
  }
  if (Request.ExpectContinue) {
    auto Limits = limits();
    Limits.Deadline = Request.Deadline;
    if (Status = readHead(Limits); Status != io_status::Ok) {
      return fail(Status, "await_continue");
    }
    if (HasResponseHead) {
      return true;
    }
  }
  return streamBody();
}

auto attempt::sendBodyPiece(std::string_view Piece) -> io_status {
  auto Limits = limits();
  Limits.StopOnInput = true;
  auto Prefix = std::string();
  if (Exchange.head().Body.Kind == body_kind::Chunked) {
    auto Size = std::array<char, 20>();
    auto End = std::to_chars(Size.begin(), Size.end(), Piece.size(), 16).ptr;
    Prefix = ChunkEndPending ? "\r\n" : "";
    Prefix.append(Size.begin(), End).append("\r\n");
    // The last chunk has size 0 and an empty trailer section.
    Prefix.append(Piece.empty() ? "\r\n" : "");
    ChunkEndPending = true;
  }
  return Pooled.Connection->write(Prefix, Piece, Limits, Outcome.BytesOut);
}

auto attempt::streamBody() -> bool {
  auto Status = io_status::Ok;
  if (!Body.Buffered.empty()) {
    Status = sendBodyPiece(Body.Buffered);
  }
  auto Read = body_status::Piece;
  while (Status == io_status::Ok && Read == body_status::Piece) {
    auto Piece = std::string_view();
    Body.PartlyStreamed = true;
    Read = Exchange.readBody({.Deadline = Request.Deadline, .ResponseFd = fd()},
                             Piece);
    if (Read == body_status::Piece) {
      Status = sendBodyPiece(Piece);
    } else if (Read == body_status::End) {
      Status = sendBodyPiece({});
      RequestSent = Status == io_status::Ok;
    }
  }
  RequestSentAt = steadyNow();
  RequestCut = !RequestSent;
  if (Status == io_status::TimedOut || Status == io_status::CallerLeft) {
    return fail(Status, "send_body");
  }
  Refusal = bodyRefusalFor(Read, Exchange);
  if (Refusal.Status != 0) {
    cancel(Refusal.Reason);
    Outcome.Step = "read_body";
    return false;
  }
  // A failed write is not an error here: the peer may have responded early and
  // then closed its receiving side.
  return true;
}

auto attempt::readHead(wait_limits Wait) -> io_status {
  for (;;) {
    auto Input = Pooled.Connection->input();
    auto End = findHeadEnd(Input);
    if (!End.Found) {
      if (Input.size() > MaxResponseHeadBytes) {
        return io_status::Failed;
      }
      if (auto Status = Pooled.Connection->receive(Wait);
          Status != io_status::Ok) {
        return Status;
      }
      continue;
    }
    auto Parsed =
        parseResponseHead(Input.substr(0, End.Size), Exchange.head().Method);
    Pooled.Connection->consume(End.Size);
    auto *Head = std::get_if<response_head>(&Parsed);
    // Upgrade headers are never forwarded, so 101 Switching Protocols is
    // invalid.
    if (Head == nullptr || Head->Status == 101) {
      return io_status::Failed;
    }
    if (Head->Status >= 200) {
      Response = std::move(*Head);
      HasResponseHead = true;
      return io_status::Ok;
    }
    if (Request.ExpectContinue && !ContinueReceived && Head->Status == 100) {
      ContinueReceived = true;
      return io_status::Ok;
    }
  }
}

auto attempt::awaitFirstByte() -> io_status {
  auto Wait = limits();
  Wait.Deadline = Request.Deadline;
  auto FirstByteDeadline = RequestSentAt + Request.FirstByteTimeout;
  if (Request.FirstByteTimeout.count() > 0 &&
      FirstByteDeadline < Request.Deadline) {
    Wait.Deadline = FirstByteDeadline;
    auto Status = Pooled.Connection->receive(Wait);
    if (Status != io_status::TimedOut) {
      return Status;
    }
    // The other pooled connections to this address probably hang as well;
    // letting each one time out would cost one timeout per connection.
    ++Core.Counters.Silent;
    Core.Pool.drop(Request.Address);
    if (Request.FailOnFirstByteTimeout) {
      return Status;
    }
    Wait.Deadline = Request.Deadline;
  }
  auto Status = Pooled.Connection->receive(Wait);
  if (Status == io_status::TimedOut && Pooled.Reused) {
    Core.Pool.drop(Request.Address);
  }
  return Status;
}

auto attempt::awaitHead() -> bool {
  if (HasResponseHead) {
    return true;
  }
  auto Status = io_status::Ok;
  if (Pooled.Connection->input().empty()) {
    Status = awaitFirstByte();
  }
  if (Status == io_status::Ok) {
    auto Wait = limits();
    Status = readHead(Wait);
  }
  if (Status != io_status::Ok) {
    return fail(Status, "await_answer");
  }
  Outcome.FirstByte = steadyNow() - StartedAt;
  Outcome.Status = Response.Status;
  return true;
}

auto attempt::relayBody(body_decoder &Decoder) -> io_status {
  while (!Decoder.isComplete()) {
    auto Step = Decoder.decode(Pooled.Connection->input());
    if (Decoder.isInvalid()) {
      return io_status::Failed;
    }
    if (!Step.Data.empty()) {
      Outcome.BytesIn += Step.Data.size();
      if (!Exchange.writeResponseBody(Step.Data, Request.Deadline)) {
        return io_status::CallerLeft;
      }
    }
    Pooled.Connection->consume(Step.Consumed);
    if (Step.Consumed > 0 || Decoder.isComplete()) {
      continue;
    }
    if (auto Status = flushAndReceive(limits()); Status != io_status::Ok) {
      // A failed write takes the error of a reset connection, so that the read
      // sees its end, which then doesn't prove the end of the body.
      if (Status == io_status::Closed && !RequestCut) {
        Decoder.handleClose();
      }
      if (!Decoder.isComplete()) {
        return Status;
      }
    }
  }
  return io_status::Ok;
}

auto attempt::flushAndReceive(wait_limits Wait) -> io_status {
  // Flush buffered output before blocking, so that the caller has everything
  // that was received so far.
  auto Status = Pooled.Connection->receiveAvailable();
  if (Status != io_status::TimedOut) {
    return Status;
  }
  if (!Exchange.flush(Request.Deadline)) {
    return io_status::CallerLeft;
  }
  return Pooled.Connection->receive(Wait);
}

/** @return the end-to-end headers of a response. Responses to HEAD and 304
 * responses have no body but keep their Content-Length. */
static auto forwardedHeaders(const response_head &Response) -> header_list {
  auto Headers = withoutHopHeaders(Response.Headers);
  auto Length = findHeader(Response.Headers, "content-length");
  if (Response.Body.Kind == body_kind::None && Length &&
      Response.Status != 204) {
    Headers.push_back({"Content-Length", std::string(*Length)});
  }
  return Headers;
}

auto attempt::relay() -> bool {
  auto Decoder = body_decoder(Response.Body);
  Exchange.beginResponse(Response.Status, Response.Reason,
                         forwardedHeaders(Response), Response.Body);
  auto Status = relayBody(Decoder);
  if (Status == io_status::Ok && !Exchange.finishResponse(Request.Deadline)) {
    Status = io_status::CallerLeft;
  }
  if (Status == io_status::Ok) {
    Outcome.Kind = classifyResponse(Response);
    Outcome.Step = "relay_answer";
    Outcome.Latency = steadyNow() - StartedAt;
    releaseConnection(Decoder);
    return true;
  }
  if (Status != io_status::CallerLeft) {
    ++Core.Counters.Truncated;
  }
  if (Exchange.isResponseStarted()) {
    Exchange.abort();
  } else {
    Exchange.discardResponse();
  }
  return fail(Status, "relay_answer");
}

void attempt::discard() {
  Outcome.Kind = classifyResponse(Response);
  Outcome.Step = "discard_answer";
  auto Decoder = body_decoder(Response.Body, MaxDiscardBytes);
  Outcome.Latency = steadyNow() - StartedAt;
  auto DiscardedBytes = std::uint64_t{0};
  while (!Decoder.isComplete()) {
    auto Step = Decoder.decode(Pooled.Connection->input());
    Pooled.Connection->consume(Step.Consumed);
    DiscardedBytes += Step.Consumed;
    if (Decoder.isComplete() || Step.Consumed > 0) {
      continue;
    }
    if (Decoder.isInvalid() || DiscardedBytes > MaxDiscardBytes ||
        Pooled.Connection->receiveAvailable() != io_status::Ok) {
      Pooled.Connection.reset();
      return;
    }
  }
  releaseConnection(Decoder);
}

void attempt::releaseConnection(const body_decoder &Decoder) {
  if (Response.KeepAlive && RequestSent && Decoder.isComplete() &&
      Pooled.Connection->input().empty()) {
    Core.Pool.release(Request.Address, std::move(Pooled));
  }
  Pooled.Connection.reset();
}

} // namespace sycamorelb::proxy
