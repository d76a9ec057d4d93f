/** @file pipeline_func.h Order of requests and responses on one HTTP/1.1
 * connection (pipelining, RFC 9112, section 9.3.2). */
#pragma once

#include "sycamorelb/http/pipeline_type.h"

#include <vector>

namespace sycamorelb::http {

/** @return whether the next request may be read while those in progress are not
 * answered yet. */
auto mayReadNext(const pipeline &Pipeline, const pipeline_limits &Limits,
                 const pipeline_budget &Budget) -> bool;

/** @return whether a request may begin now: it runs beside others only if none
 * of them must run alone.
 * @param RunsAlone the request must not run beside others. */
auto mayBegin(const pipeline &Pipeline, bool RunsAlone) -> bool;

/** Begins a request.
 * @param IsLast the client sends no further request.
 * @return its number. */
auto beginExchange(pipeline &Pipeline, pipeline_budget &Budget,
                   std::string Method, bool RunsAlone, bool IsLast)
    -> exchange_number;

/** Stores the response to a request. Does nothing if the request is unknown or
 * has a response already.
 * @param Close the connection closes after the requests that have begun. */
void completeExchange(pipeline &Pipeline, pipeline_budget &Budget,
                      exchange_number Number, response Response, bool Close);

/** Removes and returns the responses that can be sent, in order. A connection
 * never closes before all requests that have begun were answered. */
auto takeReady(pipeline &Pipeline, pipeline_budget &Budget)
    -> std::vector<ready_response>;

/** Forgets all requests and returns their share of the budget. */
void clearPipeline(pipeline &Pipeline, pipeline_budget &Budget);

} // namespace sycamorelb::http
