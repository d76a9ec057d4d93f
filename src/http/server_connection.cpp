/** @file server_connection.cpp Reads requests, writes responses. */
#include "sycamorelb/http/server_connection.h"

#include "proxy/body_decoder.h"
#include "proxy/message_head.h"
#include "sycamorelb/http/pipeline_func.h"

#include <algorithm>
#include <utility>

namespace sycamorelb::http {

/** Unread input of a busy connection above which it stops reading. */
static constexpr auto MaxPipelinedBytes = std::size_t{64} * 1024;

/** Largest body of a refused request that is read and dropped, so that its
 * connection stays usable. A longer one costs more than a new connection. */
static constexpr auto MaxSkippedBodyBytes = std::uint64_t{64} * 1024;
/** Unsent output above which no further request begins: a caller that does not
 * read its answers gets no more of them. */
static constexpr auto MaxUnsentBytes = std::size_t{256} * 1024;
/** Size from which a body yields to others under memory pressure; most requests
 * are smaller. */
static constexpr auto LargeBodyBytes = std::size_t{64} * 1024;
/** Capacity from which a body of unknown length grows by BodyGrowth: its
 * memory is then mapped and takes no room until it is written. */
static constexpr auto MappedBodyBytes = std::size_t{256} * 1024;
/** Factor of the growth; the copy adds 1 / BodyGrowth for a moment. */
static constexpr auto BodyGrowth = std::size_t{4};
/** Copies of a body that the process holds at times, at least: one to repeat
 * the call, and one that is being sent. */
static constexpr auto MinBodyCopies = std::size_t{2};
/** Heads of the largest size that fit into the memory for callers. */
static constexpr auto HeadsInMemory = std::size_t{64};
/** Largest body whose memory is reserved when its length is announced. Memory
 * that isn't written yet takes no room, but the announced length may be any. */
static constexpr auto MaxReservedBytes = std::size_t{256} << 20U;
/** Bytes beyond a body up to the next word, for its encoding in place. */
static constexpr auto WordBytes = std::size_t{8};

struct server_connection::implementation {
  /** What has been received of the next request. */
  enum class read_stage : std::uint8_t { None, Head, Body, Complete };

  std::shared_ptr<event::stream> Stream;
  server_options Options;
  request_handler Handler;
  pipeline Pipeline;
  read_stage Stage = read_stage::None;
  request Next;
  bool NextKeepsAlive = true;
  bool NextAwaitsContinue = false;
  bool InReadLoop = false;
  bool SkipsBody = false;         // Next was refused.
  bool HasSkippedRequest = false; // Its body has ended.
  proxy::body_decoder Decoder;
  std::size_t BodyLength = 0; // Of the next request, at most.
  bool IsLengthKnown = false; // BodyLength is exact.
  steady_time StateChangedAt = event::bootTime();

  void setStage(read_stage Reached) {
    if (Stage != Reached) {
      Stage = Reached;
      StateChangedAt = event::bootTime();
    }
  }

  /** Decodes input into the body of the next request. */
  void readBody() {
    while (!Decoder.isComplete() && !Decoder.isInvalid()) {
      auto Step = Decoder.decode(Stream->input());
      if (Step.Consumed == 0) {
        return;
      }
      if (!SkipsBody) {
        appendBody(Step.Data);
      }
      Stream->consume(Step.Consumed);
    }
  }

  void appendBody(std::string_view Bytes) {
    auto &Body = Next.Body;
    auto Size = Body.size() + Bytes.size();
    if (Size > Body.capacity() && Size > MappedBodyBytes) {
      Body.reserve(std::min(Options.Limits.MaxBodyBytes, BodyGrowth * Size) +
                   WordBytes);
    }
    Body.append(Bytes);
    if (Options.Memory && Size > Next.Charge.bytes()) {
      Next.Charge.resize(Size);
    }
    if (Options.Memory && Size >= LargeBodyBytes) {
      Stream->yieldToPressure(true);
    }
  }

  /** Reserves the memory of the next body, which takes no room before it is
   * written if it is large, and charges its beginning. */
  void reserveBody(const proxy::body_framing &Framing) {
    IsLengthKnown = Framing.Kind == proxy::body_kind::Length;
    if (IsLengthKnown) {
      BodyLength = static_cast<std::size_t>(Framing.Length);
      // A longer one grows as it arrives.
      Next.Body.reserve(std::min(BodyLength, MaxReservedBytes) + WordBytes);
    } else {
      BodyLength = Next.HasBody ? Options.Limits.MaxBodyBytes : 0;
    }
    if (Options.Memory) {
      Next.Charge = event::memory_charge(Options.Memory,
                                         std::min(BodyLength, LargeBodyBytes));
    }
  }

  void setNext(proxy::request_head Head) {
    NextKeepsAlive = Head.KeepAlive;
    NextAwaitsContinue = Head.ExpectContinue;
    discard(Next);
    Next.Method = std::move(Head.Method);
    Next.Target = std::move(Head.Target);
    Next.Path = std::move(Head.Path);
    Next.Headers = std::move(Head.Headers);
    Next.HasBody = Head.Body.Kind != proxy::body_kind::None;
    Decoder = proxy::body_decoder(Head.Body, Options.Limits.MaxBodyBytes);
    setStage(read_stage::Body);
    checkHead(Head.Body);
    if (Stage != read_stage::Body || SkipsBody) {
      BodyLength = 0;
      return;
    }
    if (Options.Memory && Head.Body.Kind == proxy::body_kind::Length &&
        Options.Memory->LimitBytes > 0 &&
        Head.Body.Length > Options.Memory->LimitBytes / MinBodyCopies) {
      BodyLength = 0;
      return reject(413, "body larger than the memory of this host allows");
    }
    reserveBody(Head.Body);
  }

  /** Refuses the next request if its head and the options say so. A small body
   * that has arrived is not worth a second decision. */
  void checkHead(const proxy::body_framing &Body) {
    auto IsSmall = Body.Kind == proxy::body_kind::Length &&
                   Body.Length <= MaxSkippedBodyBytes;
    if (!Options.CheckHead || Body.Kind == proxy::body_kind::None ||
        (IsSmall && Body.Length <= Stream->input().size())) {
      return;
    }
    auto Refusal = Options.CheckHead(Next);
    if (!Refusal) {
      return;
    }
    // A client that awaits 100 Continue may or may not send the body.
    SkipsBody = IsSmall && NextKeepsAlive && !NextAwaitsContinue;
    auto Number = beginExchange(Pipeline, *Options.Budget, Next.Method, false,
                                !SkipsBody);
    completeExchange(Pipeline, *Options.Budget, Number, std::move(*Refusal),
                     !SkipsBody);
    if (!SkipsBody) {
      setStage(read_stage::None);
    }
  }

  /** Answers an invalid request; nothing after it can be read. */
  void reject(int Status, const std::string &Reason) {
    auto Number = beginExchange(Pipeline, *Options.Budget, "GET", false, true);
    completeExchange(Pipeline, *Options.Budget, Number,
                     response{Status, "", {}, Reason + "\n"}, true);
    setStage(read_stage::None);
    discard(Next);
  }

  /** @return the largest head: one takes a small part of the memory only, as
   * all of it is kept until its end. */
  auto maxHeadBytes() const -> std::size_t {
    auto Max = Options.Limits.MaxHeadBytes;
    auto Memory = Options.Memory ? Options.Memory->LimitBytes : 0;
    return Memory > 0 ? std::min(Max, Memory / HeadsInMemory) : Max;
  }

  void readHead() {
    auto Input = Stream->input();
    if (Input.empty()) {
      return;
    }
    setStage(read_stage::Head);
    auto End = proxy::findHeadEnd(Input);
    auto Limits = proxy::head_limits();
    Limits.MaxBytes = maxHeadBytes();
    if (!End.Found && Input.size() <= Limits.MaxBytes) {
      return;
    }
    Limits.MaxBodyBytes = Options.Limits.MaxBodyBytes;
    auto Size = End.Found ? End.Size : Input.size();
    auto Head = proxy::parseRequestHead(Input.substr(0, Size), Limits);
    if (auto *Error = std::get_if<proxy::framing_error>(&Head)) {
      return reject(Error->Status, Error->Reason);
    }
    Stream->consume(Size);
    setNext(std::move(std::get<proxy::request_head>(Head)));
  }

  /** Reads as much of the next request as was received. */
  void readNext() {
    if (Stage < read_stage::Body) {
      readHead();
    }
    if (Stage != read_stage::Body) {
      return;
    }
    if (NextAwaitsContinue && Pipeline.Exchanges.empty()) {
      // Sent earlier, it would precede the responses to other requests.
      NextAwaitsContinue = false;
      Stream->send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    readBody();
    if (Decoder.isInvalid()) {
      reject(Decoder.isTooLarge() ? 413 : 400, "malformed body");
    } else if (Decoder.isComplete() && SkipsBody) {
      SkipsBody = false;
      HasSkippedRequest = true;
      setStage(read_stage::None);
    } else if (Decoder.isComplete()) {
      setStage(read_stage::Complete);
    }
  }
};

server_connection::server_connection(std::unique_ptr<implementation> Impl)
    : Impl(std::move(Impl)) {}

server_connection::~server_connection() {
  clearPipeline(Impl->Pipeline, *Impl->Options.Budget);
  Impl->Stream->close();
}

auto server_connection::create(std::shared_ptr<event::stream> Stream,
                               server_options Options, request_handler Handler)
    -> std::shared_ptr<server_connection> {
  auto Impl = std::make_unique<implementation>();
  Impl->Stream = std::move(Stream);
  Impl->Options = std::move(Options);
  if (!Impl->Options.Budget) {
    Impl->Options.Budget = std::make_shared<pipeline_budget>();
  }
  Impl->Handler = std::move(Handler);
  auto Connection = std::shared_ptr<server_connection>(
      new server_connection(std::move(Impl)));
  auto Weak = Connection->weak_from_this();
  if (Connection->Impl->Options.Memory) {
    Connection->Impl->Stream->yieldToPressure(false);
  }
  Connection->Impl->Stream->OnOutputWritten = [Weak] {
    if (auto Self = Weak.lock()) {
      Self->readRequests();
    }
  };
  Connection->Impl->Stream->OnData = [Weak] {
    if (auto Self = Weak.lock()) {
      Self->readRequests();
    }
  };
  Connection->Impl->Stream->OnClosed = [Weak](event::close_reason) {
    if (auto Self = Weak.lock()) {
      clearPipeline(Self->Impl->Pipeline, *Self->Impl->Options.Budget);
      if (auto Callback = std::exchange(Self->OnClosed, nullptr)) {
        Callback();
      }
    }
  };
  return Connection;
}

void server_connection::readRequests() {
  auto Self = shared_from_this();
  // The handler below may call respond(), which calls this method again.
  if (Impl->InReadLoop) {
    return;
  }
  Impl->InReadLoop = true;
  auto &Pipeline = Impl->Pipeline;
  auto &Options = Impl->Options;
  while (mayReadNext(Pipeline, Options.Pipeline, *Options.Budget) &&
         Impl->Stream->pendingOutput() <= MaxUnsentBytes) {
    if (Impl->Stage != implementation::read_stage::Complete) {
      Impl->readNext();
    }
    if (std::exchange(Impl->HasSkippedRequest, false)) {
      sendReady();
      continue;
    }
    if (Impl->Stage != implementation::read_stage::Complete) {
      break;
    }
    auto RunsAlone = !Options.MayRunBeside || !Options.MayRunBeside(Impl->Next);
    if (!mayBegin(Pipeline, RunsAlone)) {
      break;
    }
    auto Number = beginExchange(Pipeline, *Options.Budget, Impl->Next.Method,
                                RunsAlone, !Impl->NextKeepsAlive);
    Impl->setStage(implementation::read_stage::None);
    if (Options.Memory) {
      Impl->Stream->yieldToPressure(false);
    }
    Impl->Handler(Self, Number, std::exchange(Impl->Next, request()));
  }
  Impl->InReadLoop = false;
  Impl->Stream->pauseReading(
      (isBusy() || Impl->Stream->pendingOutput() > MaxUnsentBytes) &&
      Impl->Stream->input().size() > MaxPipelinedBytes);
  sendReady();
}

void server_connection::sendReady() {
  for (auto &Ready : takeReady(Impl->Pipeline, *Impl->Options.Budget)) {
    Impl->StateChangedAt = event::bootTime();
    auto Body = std::string();
    if (Ready.Response.Body.size() >= LargeBodyBytes &&
        hasBody(Ready.Response, Ready.Method)) {
      // A large body follows the head without a copy.
      Impl->Stream->send(renderResponseHead(Ready.Response, Ready.Close));
      Body = std::move(Ready.Response.Body);
      Ready.Response.Charge = event::memory_charge();
    } else {
      Body = renderResponse(Ready.Response, Ready.Method, Ready.Close);
    }
    Impl->Stream->sendOwned(std::move(Body));
    if (Ready.Close) {
      Impl->Stream->closeAfterOutput();
      if (auto Callback = std::exchange(OnClosed, nullptr)) {
        Callback();
      }
      return;
    }
  }
}

void server_connection::respond(exchange_number Number, response Response,
                                bool Close) {
  auto Self = shared_from_this();
  completeExchange(Impl->Pipeline, *Impl->Options.Budget, Number,
                   std::move(Response), Close);
  sendReady();
  readRequests();
}

auto server_connection::isBusy() const -> bool {
  return !Impl->Pipeline.Exchanges.empty();
}

auto server_connection::hasUnsentOutput() const -> bool {
  return Impl->Stream->pendingOutput() > 0;
}

auto server_connection::isReading() const -> bool {
  return Impl->Stage != implementation::read_stage::None ||
         !Impl->Stream->input().empty();
}

auto server_connection::stateChangedAt() const -> steady_time {
  return Impl->StateChangedAt;
}

auto server_connection::progress() const -> connection_progress {
  auto Progress = connection_progress();
  const auto &Next = Impl->Next;
  Progress.ReadingBody = Impl->Stage == implementation::read_stage::Body;
  Progress.HeldBytes = Impl->Stream->heldBytes() + Next.Charge.bytes() +
                       Impl->Pipeline.HeldBytes;
  Progress.Requests = Impl->Pipeline.Last.Value;
  Progress.BodyBytes = Next.Body.size();
  if (Progress.ReadingBody) {
    auto Size = Next.Body.size();
    Progress.RemainingBytes =
        Impl->BodyLength - std::min(Impl->BodyLength, Size);
    if (!Impl->IsLengthKnown) {
      // Chunked bodies get memory step by step.
      Progress.RemainingBytes =
          std::min(Progress.RemainingBytes, std::max(MappedBodyBytes, Size));
    }
  }
  Progress.LastActivityAt = Impl->Stream->lastActivityAt();
  Progress.PausedSince = Impl->Stream->heldBackSince();
  return Progress;
}

void server_connection::chargeUnread() { Impl->Stream->chargeUnread(); }

void server_connection::resumeReading(std::size_t Bytes) {
  Impl->Stream->readOn(Bytes);
}

void server_connection::refuseUnfinished(
    const std::function<response(const request &)> &Make) {
  auto Self = shared_from_this();
  if (Impl->Stage == implementation::read_stage::None ||
      Impl->Pipeline.Ending) {
    return;
  }
  auto Number =
      beginExchange(Impl->Pipeline, *Impl->Options.Budget, "POST", false, true);
  auto Response = Make(Impl->Next);
  discard(Impl->Next);
  Impl->setStage(implementation::read_stage::None);
  completeExchange(Impl->Pipeline, *Impl->Options.Budget, Number,
                   std::move(Response), true);
  sendReady();
}

void server_connection::close() {
  clearPipeline(Impl->Pipeline, *Impl->Options.Budget);
  Impl->Stream->close();
}

} // namespace sycamorelb::http
