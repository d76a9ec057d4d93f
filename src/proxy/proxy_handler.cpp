/** @file proxy_handler.cpp Call handlers for the caller port and the peer port.
 */
#include "sycamorelb/proxy/proxy_handler.h"

#include "proxy/entry.h"

#include <utility>

namespace sycamorelb::proxy {

struct proxy_handler::implementation {
  implementation(proxy_options Options, entry_hooks Entry,
                 admission_hooks Admission)
      : Core(Options, std::move(Entry), std::move(Admission)) {}

  proxy_core Core;
};

proxy_handler::proxy_handler(proxy_options Options, entry_hooks Entry,
                             admission_hooks Admission)
    : Impl(std::make_unique<implementation>(Options, std::move(Entry),
                                            std::move(Admission))) {}

proxy_handler::~proxy_handler() = default;

auto proxy_handler::entry() -> call_handler {
  return [this](exchange &Exchange) { handleEntry(Impl->Core, Exchange); };
}

auto proxy_handler::admission() -> call_handler {
  return [this](exchange &Exchange) { handleAdmission(Impl->Core, Exchange); };
}

void proxy_handler::dropConnections(const std::string &Address) {
  Impl->Core.Pool.drop(Address);
}

auto proxy_handler::stats() const -> proxy_stats {
  const auto &Counters = Impl->Core.Counters;
  return {Counters.Opened,  Counters.Reused,   Impl->Core.Pool.dropped(),
          Counters.Retries, Counters.Hedges,   Counters.Cancelled,
          Counters.Silent,  Counters.Truncated};
}

} // namespace sycamorelb::proxy
