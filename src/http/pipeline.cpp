/** @file pipeline.cpp Order of requests and responses on one connection. */
#include "sycamorelb/http/pipeline_func.h"

#include <algorithm>
#include <utility>

namespace sycamorelb::http {

/** @return the memory that a response takes, without small constant parts. */
static auto sizeOf(const response &Response) -> std::size_t {
  auto Size = Response.Body.size();
  for (const auto &[Name, Value] : Response.Headers) {
    Size += Name.size() + Value.size();
  }
  return Size;
}

static auto hasLoneExchange(const pipeline &Pipeline) -> bool {
  // Such a request begins only while no other is in progress.
  return !Pipeline.Exchanges.empty() && Pipeline.Exchanges.front().RunsAlone;
}

auto mayReadNext(const pipeline &Pipeline, const pipeline_limits &Limits,
                 const pipeline_budget &Budget) -> bool {
  if (Pipeline.Ending) {
    return false;
  }
  return Pipeline.Exchanges.empty() ||
         (!hasLoneExchange(Pipeline) &&
          Pipeline.Exchanges.size() < Limits.MaxRequests &&
          Pipeline.HeldBytes < Limits.MaxHeldBytes &&
          Budget.HeldBytes < Budget.MaxHeldBytes);
}

auto mayBegin(const pipeline &Pipeline, bool RunsAlone) -> bool {
  return !Pipeline.Ending && (Pipeline.Exchanges.empty() ||
                              (!RunsAlone && !hasLoneExchange(Pipeline)));
}

auto beginExchange(pipeline &Pipeline, pipeline_budget &Budget,
                   std::string Method, bool RunsAlone, bool IsLast)
    -> exchange_number {
  Budget.Pipelined += Pipeline.Exchanges.empty() ? 0 : 1;
  Pipeline.Last = {Pipeline.Last.Value + 1};
  Pipeline.Exchanges.push_back(
      {Pipeline.Last, std::move(Method), RunsAlone, std::nullopt});
  Pipeline.Ending = Pipeline.Ending || IsLast;
  return Pipeline.Last;
}

void completeExchange(pipeline &Pipeline, pipeline_budget &Budget,
                      exchange_number Number, response Response, bool Close) {
  auto Found = std::find_if(
      Pipeline.Exchanges.begin(), Pipeline.Exchanges.end(),
      [&](const auto &Exchange) { return Exchange.Number == Number; });
  if (Found == Pipeline.Exchanges.end() || Found->Response) {
    return;
  }
  Pipeline.Ending = Pipeline.Ending || Close;
  if (Found != Pipeline.Exchanges.begin()) {
    ++Budget.HeldResponses;
  }
  auto Size = sizeOf(Response);
  Pipeline.HeldBytes += Size;
  Budget.HeldBytes += Size;
  Found->Response = std::move(Response);
}

auto takeReady(pipeline &Pipeline, pipeline_budget &Budget)
    -> std::vector<ready_response> {
  auto Ready = std::vector<ready_response>();
  auto &Exchanges = Pipeline.Exchanges;
  while (!Exchanges.empty() && Exchanges.front().Response) {
    auto &First = Exchanges.front();
    auto Size = sizeOf(*First.Response);
    Pipeline.HeldBytes -= Size;
    Budget.HeldBytes -= Size;
    Ready.push_back({std::move(*First.Response), std::move(First.Method),
                     Pipeline.Ending && Exchanges.size() == 1});
    Exchanges.pop_front();
  }
  return Ready;
}

void clearPipeline(pipeline &Pipeline, pipeline_budget &Budget) {
  Budget.HeldBytes -= Pipeline.HeldBytes;
  Pipeline.HeldBytes = 0;
  Pipeline.Exchanges.clear();
  Pipeline.Ending = true;
}

} // namespace sycamorelb::http
