/** @file exchange.cpp One request from a caller and the response to it. */
#include "proxy/exchange.h"

#include "sycamorelb/core/clock_func.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace sycamorelb::proxy {

// Larger pieces are written directly, because copying them costs more than an
// additional segment.
static constexpr auto MaxBufferedBytes = std::size_t{16} * 1024;

exchange::exchange(connection &Caller, request_head TheHead,
                   exchange_limits Limits, bool Draining)
    : Caller(Caller), Head(std::move(TheHead)), Limits(Limits),
      Draining(Draining), Body(Head.Body, Limits.MaxBodyBytes),
      ContinuePending(Head.ExpectContinue) {}

auto exchange::limits(steady_time Deadline) const -> wait_limits {
  auto Progress = steadyNow() + Limits.BodyTimeout;
  return {.Deadline = std::min(Deadline, Progress)};
}

auto exchange::readBody(wait_limits Wait, std::string_view &Piece)
    -> body_status {
  Caller.consume(std::exchange(PendingConsume, 0));
  Wait.Deadline = std::min(Wait.Deadline, steadyNow() + Limits.BodyTimeout);
  for (;;) {
    if (Body.isComplete()) {
      return body_status::End;
    }
    auto Step = Body.decode(Caller.input());
    if (Body.isInvalid()) {
      return body_status::Invalid;
    }
    if (!Step.Data.empty()) {
      PendingConsume = Step.Consumed;
      Piece = Step.Data;
      return body_status::Piece;
    }
    Caller.consume(Step.Consumed);
    if (Step.Consumed > 0) {
      continue;
    }
    if (std::exchange(ContinuePending, false)) {
      auto Written = std::uint64_t{0};
      Caller.write("HTTP/1.1 100 Continue\r\n\r\n", {}, Wait, Written);
    }
    switch (Caller.receive(Wait)) {
    case io_status::Ok:
      break;
    case io_status::TimedOut:
      return body_status::TimedOut;
    case io_status::EarlyResponse:
      return body_status::EarlyResponse;
    case io_status::Closed:
    case io_status::Failed:
    case io_status::CallerLeft:
      return body_status::CallerLeft;
    }
  }
}

void exchange::consumeBufferedBody() {
  Caller.consume(std::exchange(PendingConsume, 0));
  while (!Body.isComplete() && !Body.isInvalid()) {
    auto Step = Body.decode(Caller.input());
    if (Step.Consumed == 0) {
      return;
    }
    Caller.consume(Step.Consumed);
  }
}

void exchange::beginResponse(int Status, std::string_view Reason,
                             const header_list &Headers, body_framing Framing) {
  consumeBufferedBody();
  auto UntilClose = Framing.Kind == body_kind::UntilClose ||
                    Framing.Kind == body_kind::Chunked;
  Chunked = UntilClose && Head.MinorVersion == 1;
  auto KeepAlive = Head.KeepAlive && !Draining && Body.isComplete() &&
                   (!UntilClose || Chunked);
  End = KeepAlive ? exchange_end::Keep : exchange_end::Close;
  OutputBuffer = "HTTP/1.1 " + std::to_string(Status) + " ";
  OutputBuffer.append(Reason).append("\r\n");
  for (const auto &[Name, Value] : Headers) {
    appendHeader(OutputBuffer, Name, Value);
  }
  if (Framing.Kind == body_kind::Length) {
    appendHeader(OutputBuffer, "Content-Length",
                 std::to_string(Framing.Length));
  } else if (Chunked) {
    appendHeader(OutputBuffer, "Transfer-Encoding", "chunked");
  }
  if (!KeepAlive) {
    appendHeader(OutputBuffer, "Connection", "close");
  } else if (Head.MinorVersion == 0) {
    appendHeader(OutputBuffer, "Connection", "keep-alive");
  }
  OutputBuffer += "\r\n";
}

auto exchange::writeResponseBody(std::string_view Data, steady_time Deadline)
    -> bool {
  if (Data.empty()) {
    return true;
  }
  if (Chunked) {
    auto Size = std::array<char, 20>();
    auto End = std::to_chars(Size.begin(), Size.end(), Data.size(), 16).ptr;
    OutputBuffer.append(Size.begin(), End).append("\r\n");
  }
  if (OutputBuffer.size() + Data.size() <= MaxBufferedBytes) {
    OutputBuffer.append(Data);
  } else {
    auto Status =
        Caller.write(OutputBuffer, Data, limits(Deadline), BytesWritten);
    OutputBuffer.clear();
    if (Status != io_status::Ok) {
      End = exchange_end::Abort;
      return false;
    }
  }
  if (Chunked) {
    OutputBuffer += "\r\n";
  }
  return true;
}

auto exchange::flush(steady_time Deadline) -> bool {
  auto Status = Caller.write(OutputBuffer, {}, limits(Deadline), BytesWritten);
  OutputBuffer.clear();
  if (Status != io_status::Ok) {
    End = exchange_end::Abort;
  }
  return Status == io_status::Ok;
}

auto exchange::finishResponse(steady_time Deadline) -> bool {
  if (Chunked) {
    OutputBuffer += "0\r\n\r\n";
  }
  return flush(Deadline);
}

void exchange::discardResponse() {
  OutputBuffer.clear();
  Chunked = false;
  End = exchange_end::Abort;
}

void exchange::respond(int Status, const header_list &Headers,
                       std::string_view Text) {
  // A complete response is sent even if the deadline of the call has passed.
  auto Deadline = steadyNow() + Limits.BodyTimeout;
  auto HasBody = Status != 204 && Status != 304;
  beginResponse(Status, reasonPhrase(Status), Headers,
                {HasBody ? body_kind::Length : body_kind::None, Text.size()});
  if (Head.Method == "HEAD" || !HasBody || writeResponseBody(Text, Deadline)) {
    flush(Deadline);
  }
}

void exchange::respondRaw(std::string_view Message, bool Close) {
  consumeBufferedBody();
  End = Close || !Body.isComplete() ? exchange_end::Close : exchange_end::Keep;
  auto Status =
      Caller.write(Message, {}, limits(steady_time::max()), BytesWritten);
  if (Status != io_status::Ok) {
    End = exchange_end::Abort;
  }
}

} // namespace sycamorelb::proxy
