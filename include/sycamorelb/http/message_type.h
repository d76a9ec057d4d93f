/** @file message_type.h Complete HTTP/1.1 messages. */
#pragma once

#include "sycamorelb/event/memory_budget.h"
#include "sycamorelb/proxy/call_type.h"

#include <string>
#include <string_view>
#include <utility>

namespace sycamorelb::http {

/** A request with its complete body. */
struct request {
  std::string Method;         ///< Method, case-sensitive.
  std::string Target;         ///< Path and query.
  std::string Path;           ///< Target without the query.
  proxy::header_list Headers; ///< All header fields.
  std::string Body;           ///< Body without transfer coding.
  bool HasBody = false;       ///< The message has a body, maybe an empty one.
  event::memory_charge Charge{}; ///< For the memory of Body.
};

/** A response with its complete body. */
struct response {
  int Status = 0;                ///< HTTP status.
  std::string Reason;            ///< Reason phrase; empty for the standard one.
  proxy::header_list Headers;    ///< Header fields; framing fields are ignored.
  std::string Body;              ///< Body without transfer coding.
  event::memory_charge Charge{}; ///< For the memory of Body.
};

/** Empties a request or response and frees its memory. Assigning an empty one
 * would release the charge, but keep the buffer of the body. */
template <class Message> void discard(Message &Discarded) {
  static_cast<void>(std::exchange(Discarded, Message()));
}

/** @return the serialized request, framed by Content-Length. */
auto renderRequest(const request &Request) -> std::string;

/** @return the start line and headers of that, and the empty line. */
auto renderRequestHead(const request &Request) -> std::string;

/** @return whether the response to this method carries a body. */
auto hasBody(const response &Response, std::string_view Method) -> bool;

/** @return the start line and headers of a response, and the empty line. */
auto renderResponseHead(const response &Response, bool Close) -> std::string;

/** @return the serialized response, framed by Content-Length.
 * @param Method method of the request; a response to HEAD has no body.
 * @param Close whether the connection closes after the response. */
auto renderResponse(const response &Response, std::string_view Method,
                    bool Close) -> std::string;

} // namespace sycamorelb::http
