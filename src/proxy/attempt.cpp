/** @file attempt.cpp One attempt: a request sent to one peer, and its answer.
 */
#include "proxy/attempt.h"

#include "proxy/call_header.h"

#include "sycamorelb/core/clock_func.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace sycamorelb::proxy {

static constexpr auto MaxAnswerHead = std::size_t{64} * 1024;
// An answer that is not passed on is read only if it is small; otherwise a new
// connection is cheaper.
static constexpr auto MaxDiscard = std::uint64_t{16} * 1024;

attempt::attempt(proxy_core &Core, exchange &Exchange, call_body &Body,
                 attempt_plan Plan)
    : Core(Core), Exchange(Exchange), Body(Body), Plan(std::move(Plan)),
      Started(steadyNow()) {
  Outcome.Peer = this->Plan.Address;
}

auto attempt::fd() const -> int {
  return Pooled.Connection == nullptr ? -1 : Pooled.Connection->fd();
}

auto attempt::limits() const -> wait_limits {
  auto Progress = steadyNow() + Core.Options.ProgressTimeout;
  return {.Deadline = std::min(Plan.Deadline, Progress),
          .CallerFd = Exchange.callerFd()};
}

auto attempt::fail(io_status Status, const char *Step) -> bool {
  Pooled.Connection.reset();
  Outcome.Step = Step;
  Outcome.Reason = statusName(Status);
  Outcome.Latency = steadyNow() - Started;
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
  Outcome.Latency = steadyNow() - Started;
}

auto attempt::connect(bool MayReuse) -> bool {
  Pooled = Core.Pool.take(Plan.Address);
  if (Pooled.Connection != nullptr && MayReuse) {
    ++Core.Counters.Reused;
    return true;
  }
  Pooled.Reused = false;
  auto Limits = limits();
  Limits.Deadline =
      std::min(Limits.Deadline, steadyNow() + Core.Options.ConnectTimeout);
  auto Fd = -1;
  if (auto Status = openSocket(Plan.Address, Limits, Fd);
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
  auto WithBody = !Plan.ExpectContinue && Body.Whole;
  auto Content = WithBody ? std::string_view(Body.Buffered) : "";
  auto Status =
      Pooled.Connection->write(Plan.Head, Content, Limits, Outcome.BytesOut);
  Outcome.Started = Outcome.BytesOut > 0;
  RequestSent = Status == io_status::Ok && Body.Whole;
  return Status;
}

auto attempt::start() -> bool {
  if (!connect(true)) {
    return false;
  }
  auto Status = sendHead();
  if (Status == io_status::Failed && !Outcome.Started && Pooled.Reused) {
    // Nothing was written to a kept connection that the peer had closed, so a
    // new connection is not a second attempt.
    if (!connect(false)) {
      return false;
    }
    Status = sendHead();
  }
  Sent = steadyNow();
  if (Status != io_status::Ok && Status != io_status::Early) {
    return fail(Status, "send_request");
  }
  if (Body.Whole || Status == io_status::Early) {
    return true;
  }
  if (Plan.ExpectContinue) {
    auto Limits = limits();
    Limits.Deadline = Plan.Deadline;
    if (Status = readHead(Limits); Status != io_status::Ok) {
      return fail(Status, "await_continue");
    }
    if (HaveAnswer) {
      return true;
    }
  }
  return streamBody();
}

auto attempt::sendPiece(std::string_view Piece) -> io_status {
  auto Limits = limits();
  Limits.StopOnInput = true;
  auto Prefix = std::string();
  if (Exchange.head().Body.Kind == body_kind::Chunked) {
    auto Size = std::array<char, 20>();
    auto End = std::to_chars(Size.begin(), Size.end(), Piece.size(), 16).ptr;
    Prefix = ChunkOpen ? "\r\n" : "";
    Prefix.append(Size.begin(), End).append("\r\n");
    // The last chunk has size 0 and is followed by an empty trailer.
    Prefix.append(Piece.empty() ? "\r\n" : "");
    ChunkOpen = true;
  }
  return Pooled.Connection->write(Prefix, Piece, Limits, Outcome.BytesOut);
}

auto attempt::streamBody() -> bool {
  auto Status = io_status::Ok;
  if (!Body.Buffered.empty()) {
    Status = sendPiece(Body.Buffered);
  }
  auto Read = body_status::Piece;
  while (Status == io_status::Ok && Read == body_status::Piece) {
    auto Piece = std::string_view();
    Body.Streamed = true;
    Read =
        Exchange.readBody({.Deadline = Plan.Deadline, .AnswerFd = fd()}, Piece);
    if (Read == body_status::Piece) {
      Status = sendPiece(Piece);
    } else if (Read == body_status::End) {
      Status = sendPiece({});
      RequestSent = Status == io_status::Ok;
    }
  }
  Sent = steadyNow();
  if (Status == io_status::TimedOut || Status == io_status::CallerLeft) {
    return fail(Status, "send_body");
  }
  Refusal = refusalOf(Read, Exchange);
  if (Refusal.Status != 0) {
    cancel(Refusal.Reason);
    Outcome.Step = "read_body";
    return false;
  }
  // The peer may have answered early, even if it then refused further bytes.
  return true;
}

auto attempt::readHead(wait_limits Wait) -> io_status {
  for (;;) {
    auto Input = Pooled.Connection->input();
    auto End = findHeadEnd(Input);
    if (!End.Found) {
      if (Input.size() > MaxAnswerHead) {
        return io_status::Failed;
      }
      if (auto Status = Pooled.Connection->fill(Wait);
          Status != io_status::Ok) {
        return Status;
      }
      continue;
    }
    auto Parsed =
        parseResponseHead(Input.substr(0, End.Size), Exchange.head().Method);
    Pooled.Connection->consume(End.Size);
    auto *Head = std::get_if<response_head>(&Parsed);
    // Upgrade is never passed on, so the peer cannot switch protocols.
    if (Head == nullptr || Head->Status == 101) {
      return io_status::Failed;
    }
    if (Head->Status >= 200) {
      Answer = std::move(*Head);
      HaveAnswer = true;
      return io_status::Ok;
    }
    if (Plan.ExpectContinue && !Continued && Head->Status == 100) {
      Continued = true;
      return io_status::Ok;
    }
  }
}

auto attempt::awaitFirstByte() -> io_status {
  auto Wait = limits();
  Wait.Deadline = Plan.Deadline;
  auto Usual = Sent + Plan.FirstByteTimeout;
  if (Plan.FirstByteTimeout.count() > 0 && Usual < Plan.Deadline) {
    Wait.Deadline = Usual;
    auto Status = Pooled.Connection->fill(Wait);
    if (Status != io_status::TimedOut) {
      return Status;
    }
    // All kept connections of the path are suspect at once; waiting for each to
    // time out would cost one deadline per connection.
    ++Core.Counters.Silent;
    Core.Pool.drop(Plan.Address);
    if (Plan.GiveUpOnSilence) {
      return Status;
    }
    Wait.Deadline = Plan.Deadline;
  }
  auto Status = Pooled.Connection->fill(Wait);
  if (Status == io_status::TimedOut && Pooled.Reused) {
    Core.Pool.drop(Plan.Address);
  }
  return Status;
}

auto attempt::awaitHead() -> bool {
  if (HaveAnswer) {
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
  Outcome.FirstByte = steadyNow() - Started;
  Outcome.Status = Answer.Status;
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
      if (!Exchange.writeAnswer(Step.Data, Plan.Deadline)) {
        return io_status::CallerLeft;
      }
    }
    Pooled.Connection->consume(Step.Consumed);
    if (Step.Consumed > 0 || Decoder.isComplete()) {
      continue;
    }
    if (auto Status = fillForAnswer(limits()); Status != io_status::Ok) {
      if (Status == io_status::Closed) {
        Decoder.noteClose();
      }
      if (!Decoder.isComplete()) {
        return Status;
      }
    }
  }
  return io_status::Ok;
}

auto attempt::fillForAnswer(wait_limits Wait) -> io_status {
  // What was collected leaves before a wait, so that the caller is never behind
  // by more than what is on the way.
  auto Status = Pooled.Connection->fillNow();
  if (Status != io_status::TimedOut) {
    return Status;
  }
  if (!Exchange.flush(Plan.Deadline)) {
    return io_status::CallerLeft;
  }
  return Pooled.Connection->fill(Wait);
}

/** @return the headers of an answer to pass on. The length of a body that is
 * not sent belongs to the answer to HEAD and to 304. */
static auto answerHeaders(const response_head &Answer) -> header_list {
  auto Headers = withoutHopHeaders(Answer.Headers);
  auto Length = findHeader(Answer.Headers, "content-length");
  if (Answer.Body.Kind == body_kind::None && Length && Answer.Status != 204) {
    Headers.push_back({"Content-Length", std::string(*Length)});
  }
  return Headers;
}

auto attempt::relay() -> bool {
  auto Decoder = body_decoder(Answer.Body);
  Exchange.beginAnswer(Answer.Status, Answer.Reason, answerHeaders(Answer),
                       Answer.Body);
  auto Status = relayBody(Decoder);
  if (Status == io_status::Ok && !Exchange.finishAnswer(Plan.Deadline)) {
    Status = io_status::CallerLeft;
  }
  if (Status == io_status::Ok) {
    Outcome.Kind = classifyAnswer(Answer);
    Outcome.Step = "relay_answer";
    Outcome.Latency = steadyNow() - Started;
    keepConnection(Decoder);
    return true;
  }
  if (Status != io_status::CallerLeft) {
    ++Core.Counters.Truncated;
  }
  if (Exchange.isAnswerSent()) {
    Exchange.abort();
  } else {
    Exchange.discardAnswer();
  }
  return fail(Status, "relay_answer");
}

void attempt::discard() {
  Outcome.Kind = classifyAnswer(Answer);
  Outcome.Step = "discard_answer";
  auto Decoder = body_decoder(Answer.Body, MaxDiscard);
  Outcome.Latency = steadyNow() - Started;
  auto Size = std::uint64_t{0};
  while (!Decoder.isComplete()) {
    auto Step = Decoder.decode(Pooled.Connection->input());
    Pooled.Connection->consume(Step.Consumed);
    Size += Step.Consumed;
    if (Decoder.isComplete() || Step.Consumed > 0) {
      continue;
    }
    if (Decoder.isInvalid() || Size > MaxDiscard ||
        Pooled.Connection->fillNow() != io_status::Ok) {
      Pooled.Connection.reset();
      return;
    }
  }
  keepConnection(Decoder);
}

void attempt::keepConnection(const body_decoder &Decoder) {
  if (Answer.KeepAlive && RequestSent && Decoder.isComplete() &&
      Pooled.Connection->input().empty()) {
    Core.Pool.give(Plan.Address, std::move(Pooled));
  }
  Pooled.Connection.reset();
}

} // namespace sycamorelb::proxy
