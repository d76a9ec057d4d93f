/** @file call_body.cpp Request body of a call, buffered if it is small. */
#include "proxy/call_body.h"

namespace sycamorelb::proxy {

auto bodyRefusalFor(body_status Status, const exchange &Exchange)
    -> body_refusal {
  switch (Status) {
  case body_status::TimedOut:
    return {408, "the body did not arrive in time"};
  case body_status::Invalid:
    return {Exchange.invalidBodyStatus(), "malformed or too large body"};
  case body_status::CallerLeft:
    return {-1, "caller left"};
  case body_status::Piece:
  case body_status::End:
  case body_status::EarlyResponse:
    break;
  }
  return {};
}

auto bufferBody(exchange &Exchange, std::size_t MaxBytes, steady_time Deadline,
                call_body &Body) -> body_refusal {
  const auto &Head = Exchange.head();
  auto IsChunked = Head.Body.Kind == body_kind::Chunked;
  if ((IsChunked && Head.ExpectContinue) || Head.Body.Length > MaxBytes) {
    return {};
  }
  auto Piece = std::string_view();
  while (!IsChunked || Body.Buffered.size() < MaxBytes) {
    auto Status = Exchange.readBody({.Deadline = Deadline}, Piece);
    if (Status == body_status::End) {
      Body.Complete = true;
      return {};
    }
    if (Status != body_status::Piece) {
      return bodyRefusalFor(Status, Exchange);
    }
    Body.Buffered.append(Piece);
  }
  return {};
}

} // namespace sycamorelb::proxy
