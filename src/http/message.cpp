/** @file message.cpp Serializes complete messages. */
#include "sycamorelb/http/message_type.h"

#include "proxy/message_head.h"

namespace sycamorelb::http {

static void appendHeaders(std::string &Out, const proxy::header_list &Headers) {
  for (const auto &[Name, Value] : Headers) {
    proxy::appendHeader(Out, Name, Value);
  }
}

/** Appends everything before the body of a request. */
static void appendRequestHead(std::string &Out, const request &Request) {
  Out.append(Request.Method).append(" ").append(Request.Target);
  Out.append(" HTTP/1.1\r\n");
  appendHeaders(Out, Request.Headers);
  if (Request.HasBody || !Request.Body.empty()) {
    proxy::appendHeader(Out, "Content-Length",
                        std::to_string(Request.Body.size()));
  }
  Out.append("\r\n");
}

auto renderRequestHead(const request &Request) -> std::string {
  auto Out = std::string();
  appendRequestHead(Out, Request);
  return Out;
}

auto renderRequest(const request &Request) -> std::string {
  auto Out = std::string();
  Out.reserve(512 + Request.Body.size());
  appendRequestHead(Out, Request);
  Out.append(Request.Body);
  return Out;
}

static auto mayHaveBody(const response &Response) -> bool {
  return Response.Status != 204 && Response.Status != 304;
}

auto hasBody(const response &Response, std::string_view Method) -> bool {
  return mayHaveBody(Response) && Method != "HEAD";
}

/** Appends everything before the body of a response. */
static void appendResponseHead(std::string &Out, const response &Response,
                               bool Close) {
  Out.append("HTTP/1.1 ").append(std::to_string(Response.Status)).append(" ");
  Out.append(Response.Reason.empty() ? proxy::reasonPhrase(Response.Status)
                                     : std::string_view(Response.Reason));
  Out.append("\r\n");
  appendHeaders(Out, Response.Headers);
  if (mayHaveBody(Response)) {
    proxy::appendHeader(Out, "Content-Length",
                        std::to_string(Response.Body.size()));
  }
  if (Close) {
    proxy::appendHeader(Out, "Connection", "close");
  }
  Out.append("\r\n");
}

auto renderResponseHead(const response &Response, bool Close) -> std::string {
  auto Out = std::string();
  appendResponseHead(Out, Response, Close);
  return Out;
}

auto renderResponse(const response &Response, std::string_view Method,
                    bool Close) -> std::string {
  auto Out = std::string();
  Out.reserve(512 + Response.Body.size());
  appendResponseHead(Out, Response, Close);
  if (hasBody(Response, Method)) {
    Out.append(Response.Body);
  }
  return Out;
}

} // namespace sycamorelb::http
