/** @file call_body.h Request body of a call, buffered if it is small. */
#pragma once

#include "proxy/exchange.h"

#include <string>

namespace sycamorelb::proxy {

/** Request body, or its buffered beginning. */
struct call_body {
  std::string Buffered;        ///< Content read before the first attempt.
  bool Complete = false;       ///< Buffered holds the whole body.
  bool PartlyStreamed = false; ///< An attempt has read content beyond Buffered.

  /** @return whether another attempt can still send the whole body. */
  auto isReplayable() const -> bool { return Complete || !PartlyStreamed; }
};

/** Error while reading a body. */
struct body_refusal {
  int Status = 0; ///< HTTP status to respond with; 0 for no error, -1 if the
                  ///< caller disconnected.
  std::string Reason; ///< Human-readable cause.
};

/**
 * Reads a small body completely, so that it can be sent again and fits into one
 * segment with the head. A chunked body, whose size is unknown, is read up to
 * about MaxBytes. A body with a larger Content-Length is not read, nor is a
 * chunked one that the caller withholds until it gets 100 Continue.
 */
auto bufferBody(exchange &Exchange, std::size_t MaxBytes, steady_time Deadline,
                call_body &Body) -> body_refusal;

/** @return the refusal that corresponds to a failed read of the body. */
auto bodyRefusalFor(body_status Status, const exchange &Exchange)
    -> body_refusal;

} // namespace sycamorelb::proxy
