/** @file server_connection.cpp Reads requests, writes responses. */
#include "sycamorelb/http/server_connection.h"

#include "proxy/body_decoder.h"
#include "proxy/message_head.h"

#include <utility>

namespace sycamorelb::http {

/** Unread input of a busy connection above which it stops reading. */
static constexpr auto MaxPipelinedBytes = std::size_t{64} * 1024;

struct server_connection::implementation {
  std::shared_ptr<event::stream> Stream;
  server_limits Limits;
  request_handler Handler;
  request Current;
  std::string Method; // Of the request in progress.
  bool ReadingBody = false;
  bool Busy = false;
  bool ClosingAfterOutput = false;
  bool KeepAlive = true;
  bool InReadLoop = false;
  proxy::body_decoder Decoder;
  steady_time StateChangedAt = event::bootTime();

  /** Decodes input into the body of the current request. */
  void readBody() {
    while (!Decoder.isComplete() && !Decoder.isInvalid()) {
      auto Step = Decoder.decode(Stream->input());
      if (Step.Consumed == 0) {
        return;
      }
      Current.Body.append(Step.Data);
      Stream->consume(Step.Consumed);
    }
  }

  void beginRequest(proxy::request_head Head) {
    KeepAlive = Head.KeepAlive;
    Current = request();
    Current.Method = std::move(Head.Method);
    Current.Target = std::move(Head.Target);
    Current.Path = std::move(Head.Path);
    Current.Headers = std::move(Head.Headers);
    Current.HasBody = Head.Body.Kind != proxy::body_kind::None;
    Decoder = proxy::body_decoder(Head.Body, Limits.MaxBodyBytes);
    ReadingBody = true;
    if (Head.ExpectContinue) {
      Stream->send("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }
};

server_connection::server_connection(std::unique_ptr<implementation> Impl)
    : Impl(std::move(Impl)) {}

server_connection::~server_connection() { Impl->Stream->close(); }

auto server_connection::create(std::shared_ptr<event::stream> Stream,
                               server_limits Limits, request_handler Handler)
    -> std::shared_ptr<server_connection> {
  auto Impl = std::make_unique<implementation>();
  Impl->Stream = std::move(Stream);
  Impl->Limits = Limits;
  Impl->Handler = std::move(Handler);
  auto Connection = std::shared_ptr<server_connection>(
      new server_connection(std::move(Impl)));
  auto Weak = Connection->weak_from_this();
  Connection->Impl->Stream->OnData = [Weak] {
    if (auto Self = Weak.lock()) {
      Self->readRequests();
    }
  };
  Connection->Impl->Stream->OnClosed = [Weak](event::close_reason) {
    if (auto Self = Weak.lock(); Self && Self->OnClosed) {
      auto Callback = std::move(Self->OnClosed);
      Callback();
    }
  };
  return Connection;
}

void server_connection::reject(int Status, const std::string &Reason) {
  auto Response = response{Status, "", {}, Reason + "\n"};
  Impl->Stream->send(renderResponse(Response, "GET", true));
  Impl->ClosingAfterOutput = true;
  Impl->Stream->closeAfterOutput();
  if (auto Callback = std::move(OnClosed)) {
    Callback();
  }
}

void server_connection::readRequests() {
  auto Self = shared_from_this();
  // The handler below may call respond(), which calls this method again.
  if (Impl->InReadLoop) {
    return;
  }
  Impl->InReadLoop = true;
  while (!Impl->Busy && !Impl->ClosingAfterOutput) {
    if (!Impl->ReadingBody) {
      auto Input = Impl->Stream->input();
      auto End = proxy::findHeadEnd(Input);
      if (!End.Found && Input.size() <= Impl->Limits.MaxHeadBytes) {
        break;
      }
      auto Limits = proxy::head_limits();
      Limits.MaxBytes = Impl->Limits.MaxHeadBytes;
      Limits.MaxBodyBytes = Impl->Limits.MaxBodyBytes;
      auto Size = End.Found ? End.Size : Input.size();
      auto Head = proxy::parseRequestHead(Input.substr(0, Size), Limits);
      if (auto *Error = std::get_if<proxy::framing_error>(&Head)) {
        reject(Error->Status, Error->Reason);
        break;
      }
      Impl->Stream->consume(Size);
      Impl->beginRequest(std::move(std::get<proxy::request_head>(Head)));
      Impl->StateChangedAt = event::bootTime();
    }
    Impl->readBody();
    if (Impl->Decoder.isInvalid()) {
      reject(Impl->Decoder.isTooLarge() ? 413 : 400, "malformed body");
      break;
    }
    if (!Impl->Decoder.isComplete()) {
      break;
    }
    Impl->ReadingBody = false;
    Impl->Busy = true;
    Impl->StateChangedAt = event::bootTime();
    Impl->Method = Impl->Current.Method;
    Impl->Handler(Self, std::exchange(Impl->Current, request()));
  }
  Impl->InReadLoop = false;
  if (Impl->Busy && Impl->Stream->input().size() > MaxPipelinedBytes) {
    Impl->Stream->pauseReading(true);
  }
}

void server_connection::respond(const response &Response, bool Close) {
  if (!Impl->Busy) {
    return;
  }
  Impl->Busy = false;
  Impl->StateChangedAt = event::bootTime();
  auto Closing = Close || !Impl->KeepAlive;
  Impl->Stream->send(renderResponse(Response, Impl->Method, Closing));
  if (Closing) {
    Impl->ClosingAfterOutput = true;
    Impl->Stream->closeAfterOutput();
    if (auto Callback = std::move(OnClosed)) {
      Callback();
    }
    return;
  }
  Impl->Stream->pauseReading(false);
  if (!Impl->Stream->input().empty()) {
    readRequests();
  }
}

auto server_connection::isBusy() const -> bool { return Impl->Busy; }

auto server_connection::isReading() const -> bool {
  return Impl->ReadingBody || (!Impl->Busy && !Impl->Stream->input().empty());
}

auto server_connection::stateChangedAt() const -> steady_time {
  return Impl->StateChangedAt;
}

void server_connection::close() { Impl->Stream->close(); }

} // namespace sycamorelb::http
