/** @file memory_budget.cpp Account of the memory that bytes from outside take.
 */
#include "sycamorelb/event/memory_budget.h"

#include <algorithm>

namespace sycamorelb::event {

/** Memory of a process without buffers of callers: code, tables, logs. */
static constexpr auto BaseBytes = std::size_t{24} << 20U;
/** Share of the host's memory left to the base and allocator slack, at most;
 * so that tiny hosts still have a budget. */
static constexpr auto MaxBaseShare = 0.5;
/** Share of the limit above which large transfers pause. */
static constexpr auto LargeShare = 0.75;
/** Share of the limit above which all callers pause. The rest is for calls of
 * other nodes, answers, and reads that are under way. */
static constexpr auto FullShare = 0.9;

static auto shareOf(std::size_t Bytes, double Share) -> std::size_t {
  return static_cast<std::size_t>(static_cast<double>(Bytes) * Share);
}

static auto pressureOf(std::size_t Used, std::size_t Limit) -> memory_pressure {
  if (Limit == 0 || Used <= shareOf(Limit, LargeShare)) {
    return memory_pressure::None;
  }
  return Used <= shareOf(Limit, FullShare) ? memory_pressure::Large
                                           : memory_pressure::Full;
}

auto pressureOn(const memory_budget &Budget) -> memory_pressure {
  return pressureOf(Budget.UsedBytes, Budget.LimitBytes);
}

auto hasRoom(const memory_budget &Budget, std::size_t Bytes) -> bool {
  return Budget.LimitBytes == 0 ||
         Budget.UsedBytes + Bytes <= Budget.LimitBytes;
}

auto refusesCalls(const memory_budget &Budget, std::size_t OwnBytes) -> bool {
  return pressureOf(Budget.UsedBytes - std::min(OwnBytes, Budget.UsedBytes),
                    Budget.LimitBytes) == memory_pressure::Full;
}

auto bufferLimit(std::size_t HostMemoryMb) -> std::size_t {
  auto Host = HostMemoryMb << 20U;
  return Host - std::min(BaseBytes, shareOf(Host, MaxBaseShare));
}

memory_charge::memory_charge(std::shared_ptr<memory_budget> Budget,
                             std::size_t Bytes)
    : Budget(std::move(Budget)) {
  resize(Bytes);
}

memory_charge::memory_charge(const memory_charge &Other)
    : memory_charge(Other.Budget, Other.Bytes) {}

memory_charge::memory_charge(memory_charge &&Other) noexcept
    : Budget(std::move(Other.Budget)), Bytes(std::exchange(Other.Bytes, 0)) {}

auto memory_charge::operator=(const memory_charge &Other) -> memory_charge & {
  return *this = memory_charge(Other);
}

auto memory_charge::operator=(memory_charge &&Other) noexcept
    -> memory_charge & {
  std::swap(Budget, Other.Budget);
  std::swap(Bytes, Other.Bytes);
  return *this;
}

memory_charge::~memory_charge() { resize(0); }

void memory_charge::resize(std::size_t NewBytes) {
  if (!Budget) {
    return;
  }
  Budget->UsedBytes += NewBytes;
  Budget->UsedBytes -= std::exchange(Bytes, NewBytes);
  Budget->PeakBytes = std::max(Budget->PeakBytes, Budget->UsedBytes);
  if (Budget->OnPressure && !Budget->Watched &&
      pressureOn(*Budget) != memory_pressure::None) {
    Budget->Watched = true;
    Budget->OnPressure();
  }
}

} // namespace sycamorelb::event
