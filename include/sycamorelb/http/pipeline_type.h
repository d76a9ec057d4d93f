/** @file pipeline_type.h Requests in progress on one HTTP/1.1 connection. */
#pragma once

#include "sycamorelb/http/message_type.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace sycamorelb::http {

/** Number of a request on its connection; the first is 1. */
struct exchange_number {
  std::uint64_t Value = 0; ///< Number.
  auto operator<=>(const exchange_number &) const = default;
};

/** Limits on the pipelined requests of one connection. At a limit, no further
 * request is read until a response was sent. */
struct pipeline_limits {
  std::size_t MaxRequests = 16;                     ///< In progress at once.
  std::size_t MaxHeldBytes = std::size_t{1} << 20U; ///< Responses on hold.
};

/** Responses on hold on all connections of a process. At the limit, connections
 * read their next request only after a response was sent. */
struct pipeline_budget {
  std::size_t MaxHeldBytes = std::size_t{16} << 20U; ///< Limit on HeldBytes.
  std::size_t HeldBytes = 0;       ///< Size of the responses on hold now.
  std::uint64_t HeldResponses = 0; ///< Responses ever put on hold.
  std::uint64_t Pipelined = 0;     ///< Requests begun beside earlier ones.
};

/** A request in progress, or answered while an earlier one is in progress. */
struct pipelined_exchange {
  exchange_number Number;           ///< Number on the connection.
  std::string Method;               ///< Method of the request.
  bool RunsAlone = false;           ///< Nothing runs beside it.
  std::optional<response> Response; ///< On hold for earlier responses.
};

/** The requests of one connection whose responses were not sent yet. */
struct pipeline {
  std::deque<pipelined_exchange> Exchanges; ///< In the order of arrival.
  exchange_number Last;                     ///< Number of the last request.
  std::size_t HeldBytes = 0;                ///< Size of responses on hold.
  bool Ending = false; ///< No further request begins; the connection closes
                       ///< after the last response.
};

/** A response that can be sent now. */
struct ready_response {
  response Response;  ///< The response.
  std::string Method; ///< Method of its request.
  bool Close = false; ///< The connection closes after it.
};

} // namespace sycamorelb::http
