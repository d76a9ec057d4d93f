/** @file call_body.h The request body of a call, buffered if it is small. */
#pragma once

#include "proxy/exchange.h"

#include <string>

namespace sycamorelb::proxy {

/** A request body, or the first part of one. */
struct call_body {
  std::string Buffered;  ///< Content read so far, before any attempt.
  bool Whole = false;    ///< Buffered is the whole body.
  bool Streamed = false; ///< Content beyond Buffered was read by an attempt.

  /** @return whether another attempt can send the same body. */
  auto isReplayable() const -> bool { return Whole || !Streamed; }
};

/** Result of buffering a body. */
struct body_refusal {
  int Status = 0;     ///< Status of the refusal; 0 for success, -1 when the
                      ///< caller left.
  std::string Reason; ///< For people.
};

/**
 * Reads a small body in full, so that it can be sent more than once and leaves
 * with the head in one segment. Of a chunked body of unknown size at most about
 * MaxBytes are read. A larger body is not read, and neither is one that the
 * caller withholds until it gets 100 Continue, unless it is known to be small.
 */
auto bufferBody(exchange &Exchange, std::size_t MaxBytes, steady_time Deadline,
                call_body &Body) -> body_refusal;

/** @return the refusal for a failure to read a body. */
auto refusalOf(body_status Status, const exchange &Exchange) -> body_refusal;

} // namespace sycamorelb::proxy
