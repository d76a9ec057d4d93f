/** @file cancellation.cpp Cancellation of blocking work. */
#include "sycamorelb/proxy/cancellation.h"

#include <utility>

namespace sycamorelb::proxy {

void cancellation::cancel() {
  auto Lock = std::lock_guard(Mutex);
  if (Cancelled.exchange(true)) {
    return;
  }
  for (const auto &[Id, Callback] : Callbacks) {
    Callback();
  }
}

auto cancellation::subscribe(std::function<void()> Callback) -> std::uint64_t {
  auto Lock = std::lock_guard(Mutex);
  if (Cancelled.load()) {
    Callback();
  }
  auto Id = NextId++;
  Callbacks.emplace(Id, std::move(Callback));
  return Id;
}

void cancellation::unsubscribe(std::uint64_t Id) {
  auto Lock = std::lock_guard(Mutex);
  Callbacks.erase(Id);
}

} // namespace sycamorelb::proxy
