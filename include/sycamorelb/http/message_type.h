/** @file message_type.h Whole HTTP/1.1 messages. */
#pragma once

#include "sycamorelb/proxy/call_type.h"

#include <string>
#include <string_view>

namespace sycamorelb::http {

/** A request with its whole body. */
struct request {
  std::string Method;         ///< Method, case-sensitive.
  std::string Target;         ///< Path and query.
  std::string Path;           ///< Target without the query.
  proxy::header_list Headers; ///< All header fields.
  std::string Body;           ///< Body without transfer coding.
  bool HasBody = false;       ///< A body was framed, even an empty one.
};

/** A response with its whole body. */
struct response {
  int Status = 0;             ///< HTTP status.
  std::string Reason;         ///< Reason phrase; empty for the usual one.
  proxy::header_list Headers; ///< Fields; those on framing are ignored.
  std::string Body;           ///< Body without transfer coding.
};

/** @return the request as bytes, framed by Content-Length. */
auto renderRequest(const request &Request) -> std::string;

/** @return the response as bytes, framed by Content-Length.
 * @param Method of the request; an answer to HEAD carries no body.
 * @param Close whether the connection closes after it. */
auto renderResponse(const response &Response, std::string_view Method,
                    bool Close) -> std::string;

} // namespace sycamorelb::http
