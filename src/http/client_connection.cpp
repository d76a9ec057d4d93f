/** @file client_connection.cpp Sends requests, reads responses. */
#include "sycamorelb/http/client_connection.h"

#include "proxy/body_decoder.h"
#include "proxy/message_head.h"
#include "sycamorelb/core/number_func.h"

#include <algorithm>
#include <utility>

namespace sycamorelb::http {

/** Longest response head, in bytes. */
static constexpr auto MaxHeadBytes = std::size_t{64} * 1024;

/** Most bytes of interim responses and of responses to other requests that are
 * ignored in one exchange: several late responses of usual size. */
static constexpr auto MaxIgnoredBytes = std::size_t{1024} * 1024;

/** Size from which a request body is written separately from its head. */
static constexpr auto SeparateBodyBytes = std::size_t{64} * 1024;

/** Size from which a response body needs room in the memory budget before it is
 * read; smaller ones are always read. */
static constexpr auto LargeBodyBytes = std::size_t{64} * 1024;

/** Factor by which the memory of a body of unknown length grows. */
static constexpr auto BodyGrowth = std::size_t{2};

struct client_connection::implementation {
  implementation(event::loop &Loop, client_options Options)
      : Loop(Loop), Options(std::move(Options)) {}

  event::loop &Loop;
  client_options Options;
  std::shared_ptr<event::stream> Stream;
  result_handler Handler;
  std::function<void()> OnSent; // Of the request in progress.
  std::string Method;
  std::function<bool(const proxy::header_list &)> MatchesRequest;
  bool Established = false;
  bool ReadingBody = false;
  bool SkippingBody = false;
  bool Unusable = false;
  proxy::response_head Head;
  std::string Body;
  event::memory_charge BodyCharge{Loop.memory(), 0};
  std::size_t IgnoredBytes = 0; // In this exchange.
  std::size_t BudgetBytes = 0;  // Of Body, counted in Options.Budget.
  proxy::body_decoder Decoder;
  steady_time IdleSince{};
  std::optional<millis> IdleTimeout;

  void parseIdleTimeout() {
    auto Value = proxy::findHeader(Head.Headers, "keep-alive");
    auto ParameterStart =
        Value ? Value->find("timeout=") : std::string_view::npos;
    if (ParameterStart == std::string_view::npos) {
      return;
    }
    auto Digits = Value->substr(ParameterStart + 8);
    Digits = Digits.substr(0, Digits.find_first_not_of("0123456789"));
    if (auto Seconds = proxy::parseDecimal(Digits)) {
      IdleTimeout = std::chrono::duration_cast<millis>(
          saturatedMicros(static_cast<double>(*Seconds) * 1e6));
    }
  }

  /** Makes Body large enough for Size bytes; Failure is set if there is no
   * memory for them. */
  void reserveBody(std::size_t Size, std::string &Failure) {
    if (Size <= Body.capacity()) {
      return;
    }
    if (Size >= LargeBodyBytes && !event::hasRoom(*Loop.memory(), Size)) {
      Failure = "no memory for the response";
      return;
    }
    Body.reserve(Size);
    BodyCharge.resize(Body.capacity());
  }

  /** Adds bytes to Body; Failure is set if they exceed a limit. */
  void appendBody(std::string_view Bytes, std::string &Failure) {
    auto Size = Body.size() + Bytes.size();
    if (Size > Body.capacity()) {
      reserveBody(std::max(Size, BodyGrowth * Body.capacity()), Failure);
    }
    if (!Failure.empty()) {
      return;
    }
    Body.append(Bytes);
    if (Options.Budget) {
      BudgetBytes += Bytes.size();
      Options.Budget->UsedBytes += Bytes.size();
      if (Options.Budget->UsedBytes > Options.Budget->MaxBytes) {
        Failure = "responses too large in total";
      }
    }
  }

  /** @return the response that was read. */
  auto takeResponse() -> response {
    return {Head.Status, std::move(Head.Reason), std::move(Head.Headers),
            std::move(Body),
            std::exchange(BodyCharge, event::memory_charge(Loop.memory(), 0))};
  }

  /** Returns the bytes of Body to the budget. */
  void releaseBudget() {
    if (Options.Budget) {
      Options.Budget->UsedBytes -= std::exchange(BudgetBytes, 0);
    }
  }

  /** Counts bytes that are no answer to the request. */
  void ignoreBytes(std::size_t Count, std::string &Failure) {
    IgnoredBytes += Count;
    if (IgnoredBytes > MaxIgnoredBytes) {
      Failure = "too many bytes that are no answer";
    }
  }

  /** @return whether a whole response was read; Failure is set on error. */
  auto parseInput(std::string &Failure) -> bool;
  auto readHead(std::string &Failure) -> bool;
};

client_connection::client_connection(std::unique_ptr<implementation> Impl)
    : Impl(std::move(Impl)) {}

client_connection::~client_connection() {
  Impl->releaseBudget();
  Impl->Stream->close();
}

auto client_connection::open(event::loop &Loop, const event::endpoint &Server,
                             client_options Options)
    -> std::shared_ptr<client_connection> {
  auto Timeout = Options.ConnectTimeout;
  auto Connection = std::shared_ptr<client_connection>(new client_connection(
      std::make_unique<implementation>(Loop, std::move(Options))));
  auto Weak = Connection->weak_from_this();
  auto &Stream = Connection->Impl->Stream;
  Stream = event::stream::connect(Loop, Server, Timeout);
  if (Connection->Impl->Options.SameHost) {
    Stream->excludeFromLinkTraffic();
  }
  Stream->OnConnected = [Weak] {
    if (auto Self = Weak.lock()) {
      Self->Impl->Established = true;
      if (auto Callback = std::exchange(Self->Impl->Options.OnConnected, {})) {
        Callback();
      }
    }
  };
  Stream->OnOutputWritten = [Weak] {
    if (auto Self = Weak.lock()) {
      Self->reportSent();
    }
  };
  Stream->OnData = [Weak] {
    if (auto Self = Weak.lock()) {
      Self->readResponse();
    }
  };
  Stream->OnClosed = [Weak](event::close_reason Reason) {
    if (auto Self = Weak.lock()) {
      Self->handleClosed(Reason);
    }
  };
  return Connection;
}

void client_connection::setResponseMatcher(
    std::function<bool(const proxy::header_list &)> MatchesRequest) {
  Impl->MatchesRequest = std::move(MatchesRequest);
}

void client_connection::reportSent() {
  if (auto Callback = std::exchange(Impl->OnSent, nullptr)) {
    Callback();
  }
}

void client_connection::exchange(request Request, result_handler Handler,
                                 std::function<void()> OnSent) {
  Impl->Handler = std::move(Handler);
  Impl->OnSent = std::move(OnSent);
  Impl->Method = Request.Method;
  Impl->ReadingBody = false;
  Impl->Body.clear();
  Impl->IgnoredBytes = 0;
  // A large body follows the head without a copy; a small one goes with it.
  auto Body = std::string();
  if (Request.Body.size() >= SeparateBodyBytes) {
    Impl->Stream->send(renderRequestHead(Request));
    Body = std::move(Request.Body);
    Request.Charge = event::memory_charge();
    Impl->Stream->sendOwned(std::move(Body));
  } else {
    Impl->Stream->sendOwned(renderRequest(Request));
  }
  if (Impl->Stream->isOpen() && Impl->Stream->pendingOutput() == 0) {
    reportSent();
  }
}

auto client_connection::implementation::readHead(std::string &Failure) -> bool {
  auto Input = Stream->input();
  auto End = proxy::findHeadEnd(Input);
  if (!End.Found) {
    if (Input.size() > MaxHeadBytes) {
      Failure = "response head too large";
    }
    return false;
  }
  auto Parsed = proxy::parseResponseHead(Input.substr(0, End.Size), Method);
  if (auto *Error = std::get_if<proxy::framing_error>(&Parsed)) {
    Failure = Error->Reason;
    return false;
  }
  Stream->consume(End.Size);
  Head = std::move(std::get<proxy::response_head>(Parsed));
  // Interim responses such as 100 Continue precede the final one.
  if (Head.Status < 200) {
    ignoreBytes(End.Size, Failure);
    return Failure.empty();
  }
  SkippingBody = MatchesRequest && !MatchesRequest(Head.Headers);
  if (SkippingBody && Head.Body.Kind == proxy::body_kind::UntilClose) {
    Failure = "response of another request without length";
    return false;
  }
  if (SkippingBody) {
    ignoreBytes(End.Size, Failure);
  }
  Decoder = proxy::body_decoder(Head.Body, Options.MaxBodyBytes);
  ReadingBody = true;
  Body.clear();
  if (Head.Body.Kind == proxy::body_kind::Length && !SkippingBody) {
    // Exact, as the body is kept in this buffer until it is delivered.
    reserveBody(static_cast<std::size_t>(std::min<std::uint64_t>(
                    Head.Body.Length, Options.MaxBodyBytes)),
                Failure);
  }
  return Failure.empty();
}

auto client_connection::implementation::parseInput(std::string &Failure)
    -> bool {
  while (Failure.empty()) {
    if (!ReadingBody) {
      if (!readHead(Failure)) {
        return false;
      }
      continue;
    }
    while (!Decoder.isComplete() && !Decoder.isInvalid()) {
      auto Step = Decoder.decode(Stream->input());
      if (Step.Consumed == 0) {
        break;
      }
      if (SkippingBody) {
        ignoreBytes(Step.Consumed, Failure);
      } else {
        appendBody(Step.Data, Failure);
      }
      Stream->consume(Step.Consumed);
      if (!Failure.empty()) {
        return false;
      }
    }
    if (Decoder.isInvalid() || Body.size() > Options.MaxBodyBytes) {
      Failure = "malformed or too long response body";
    }
    if (!Decoder.isComplete()) {
      return false;
    }
    ReadingBody = false;
    if (!SkippingBody) {
      return true;
    }
  }
  return false;
}

void client_connection::readResponse() {
  if (!Impl->Handler) {
    // No request is in progress.
    Impl->Unusable = true;
    Impl->Stream->close();
    return;
  }
  auto Failure = std::string();
  if (Impl->parseInput(Failure)) {
    Impl->parseIdleTimeout();
    auto Response = Impl->takeResponse();
    // If the server responds before it has read the whole request, it still
    // expects the remainder, so the connection cannot carry another request.
    auto Reusable = Impl->Head.KeepAlive && Impl->Stream->input().empty() &&
                    Impl->Stream->pendingOutput() == 0;
    finish(std::move(Response), Reusable);
  } else if (!Failure.empty()) {
    finish(exchange_failure{true, true, Failure}, false);
  }
}

void client_connection::finish(exchange_result Result, bool Reusable) {
  auto Self = shared_from_this();
  auto Handler = std::exchange(Impl->Handler, nullptr);
  Impl->OnSent = nullptr;
  Impl->releaseBudget();
  // Assigning an empty string would keep the memory.
  std::string().swap(Impl->Body);
  Impl->BodyCharge.resize(0);
  Impl->IdleSince = Impl->Loop.now();
  if (!Reusable) {
    Impl->Unusable = true;
    Impl->Stream->close();
  }
  if (Handler) {
    Handler(std::move(Result));
  }
}

void client_connection::handleClosed(event::close_reason Reason) {
  Impl->Unusable = true;
  if (!Impl->Handler) {
    return;
  }
  // A server that closes while the request is still being written may also have
  // reset the connection, which shows only later. The end of the connection
  // then doesn't prove the end of the body.
  auto RequestSent = Impl->Stream->pendingOutput() == 0;
  if (Reason == event::close_reason::EndOfStream && RequestSent &&
      Impl->ReadingBody && !Impl->SkippingBody) {
    Impl->Decoder.handleClose();
    if (Impl->Decoder.isComplete()) {
      return finish(Impl->takeResponse(), false);
    }
  }
  auto ResponseStarted = Impl->ReadingBody || !Impl->Stream->input().empty();
  auto Cause =
      Reason == event::close_reason::ConnectFailed
          ? "connect failed"
          : (Reason == event::close_reason::Reset ? "reset" : "closed");
  finish(exchange_failure{Impl->Established, ResponseStarted, Cause}, false);
}

auto client_connection::isReusable() const -> bool {
  return Impl->Stream->isOpen() && !Impl->Unusable && !Impl->Handler;
}

auto client_connection::idleSince() const -> steady_time {
  return Impl->IdleSince;
}

auto client_connection::announcedIdleTimeout() const -> std::optional<millis> {
  return Impl->IdleTimeout;
}

void client_connection::close() {
  Impl->releaseBudget();
  Impl->Handler = nullptr;
  Impl->OnSent = nullptr;
  Impl->Unusable = true;
  Impl->Stream->close();
}

} // namespace sycamorelb::http
