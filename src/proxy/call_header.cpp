/** @file call_header.cpp HTTP headers that nodes add, read and remove. */
#include "proxy/call_header.h"

#include <algorithm>
#include <array>

namespace sycamorelb::proxy {

static auto isNodeHeader(std::string_view Name) -> bool {
  constexpr auto Names = std::array<std::string_view, 9>{
      DeadlineHeader, AttemptsHeader, OutcomeHeader, ReasonHeader,  AuthHeader,
      ServiceHeader,  VersionHeader,  RouteHeader,   PriorityHeader};
  return std::any_of(Names.begin(), Names.end(), [&](auto Candidate) {
    return equalNames(Name, Candidate);
  });
}

auto writeRequestHead(const request_head &Head, const call_body &Body,
                      const outgoing_head &Outgoing) -> std::string {
  auto Text = std::string();
  Text.reserve(1024);
  Text.append(Head.Method).append(" ").append(Head.Target);
  Text += " HTTP/1.1\r\n";
  if (!findHeader(Head.Headers, "host")) {
    Text += "Host: unknown\r\n";
  }
  for (const auto &[Name, Value] : withoutHopHeaders(Head.Headers)) {
    if (!isNodeHeader(Name)) {
      appendHeader(Text, Name, Value);
    }
  }
  for (const auto &[Name, Value] : Outgoing.Added) {
    appendHeader(Text, Name, Value);
  }
  appendHeader(Text, DeadlineHeader,
               std::to_string(Outgoing.Remaining.count()));
  appendHeader(Text, AttemptsHeader, std::to_string(Outgoing.Attempts));
  if (Head.Body.Kind == body_kind::Length) {
    appendHeader(Text, "Content-Length", std::to_string(Head.Body.Length));
  } else if (Head.Body.Kind == body_kind::Chunked && Body.Complete) {
    appendHeader(Text, "Content-Length", std::to_string(Body.Buffered.size()));
  } else if (Head.Body.Kind == body_kind::Chunked) {
    appendHeader(Text, "Transfer-Encoding", "chunked");
  }
  if (Outgoing.ExpectContinue) {
    appendHeader(Text, "Expect", "100-continue");
  }
  return Text + "\r\n";
}

auto remainingTime(const header_list &Headers, millis Limit) -> millis {
  auto Value = findHeader(Headers, DeadlineHeader);
  auto Carried = Value ? parseDecimal(*Value) : std::nullopt;
  if (!Carried || *Carried > static_cast<std::uint64_t>(Limit.count())) {
    return Limit;
  }
  return millis(static_cast<std::int64_t>(*Carried));
}

auto allowedAttempts(const header_list &Headers, std::uint32_t Default)
    -> std::uint32_t {
  auto Value = findHeader(Headers, AttemptsHeader);
  auto Carried = Value ? parseDecimal(*Value) : std::nullopt;
  if (!Carried) {
    return Default;
  }
  return static_cast<std::uint32_t>(
      std::clamp<std::uint64_t>(*Carried, 1, Default));
}

auto attemptShare(std::uint32_t Allowance, std::uint32_t OwnAttempts,
                  std::uint32_t Attempt) -> std::uint32_t {
  if (Attempt > 1 || OwnAttempts >= Allowance) {
    return 1;
  }
  return Allowance - (OwnAttempts - 1);
}

auto classifyResponse(const response_head &Head) -> outcome_kind {
  auto OutcomeValue = findHeader(Head.Headers, OutcomeHeader);
  if (!OutcomeValue || Head.Status < 400) {
    return outcome_kind::Answered;
  }
  if (*OutcomeValue == "not-run") {
    return outcome_kind::NotRun;
  }
  auto IsGateway = Head.Status == 502 || Head.Status == 504;
  return *OutcomeValue == "unknown" && IsGateway ? outcome_kind::Unknown
                                                 : outcome_kind::Answered;
}

void respondWithFailure(exchange &Exchange, const call_outcome &Outcome) {
  auto NotRun = Outcome.Kind == outcome_kind::NotRun;
  auto TimedOut = Outcome.Reason == statusName(io_status::TimedOut);
  auto OutcomeValue = std::string(NotRun ? "not-run" : "unknown");
  auto Cause = Outcome.Step + " " + Outcome.Peer + ": " + Outcome.Reason;
  auto GatewayStatus = TimedOut ? 504 : 502;
  Exchange.respond(NotRun ? 503 : GatewayStatus,
                   {{std::string(OutcomeHeader), OutcomeValue},
                    {std::string(ReasonHeader), Cause}},
                   OutcomeValue + ": " + Cause + "\n");
}

} // namespace sycamorelb::proxy
