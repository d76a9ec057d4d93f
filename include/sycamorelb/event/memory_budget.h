/** @file memory_budget.h Account of the memory that bytes from outside take.
 *
 * Addresses callers that send many large bodies, or don't read their answers:
 * each buffer alone is within its limit, but all of them together exceed the
 * memory of the host. */
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace sycamorelb::event {

/** Memory of all buffers of a process that bytes from outside can grow. */
struct memory_budget {
  std::size_t LimitBytes = 0; ///< Most bytes to use; 0 for no limit.
  std::size_t UsedBytes = 0;  ///< Bytes charged now.
  std::size_t PeakBytes = 0;  ///< Most bytes ever charged at once.
  bool Watched = false;       ///< OnPressure was called; its owner watches on.
  std::function<void()> OnPressure; ///< Called when pressure begins.
};

/** How close a budget is to its limit. */
enum class memory_pressure : unsigned char {
  None,  ///< All reading goes on.
  Large, ///< Connections that already hold much pause reading.
  Full,  ///< All connections of callers pause reading.
};

/** @return the pressure on a budget. */
auto pressureOn(const memory_budget &Budget) -> memory_pressure;

/** @return whether Bytes more are within the limit. */
auto hasRoom(const memory_budget &Budget, std::size_t Bytes) -> bool;

/** @return whether calls that begin now must be refused: nearly all memory is
 * used, without the OwnBytes of the call itself. */
auto refusesCalls(const memory_budget &Budget, std::size_t OwnBytes) -> bool;

/** @return the limit of the buffers of a process on a host with this memory;
 * 0 (no limit) if it is 0. */
auto bufferLimit(std::size_t HostMemoryMb) -> std::size_t;

/** Bytes charged to a budget until it is destroyed. A copy is charged as well,
 * like the buffer that is copied with it. */
class memory_charge {
public:
  memory_charge() = default;
  memory_charge(std::shared_ptr<memory_budget> Budget, std::size_t Bytes);
  memory_charge(const memory_charge &Other);
  memory_charge(memory_charge &&Other) noexcept;
  auto operator=(const memory_charge &Other) -> memory_charge &;
  auto operator=(memory_charge &&Other) noexcept -> memory_charge &;
  ~memory_charge();

  /** Changes the number of bytes that are charged. */
  void resize(std::size_t NewBytes);
  /** @return the number of bytes that are charged. */
  auto bytes() const -> std::size_t { return Bytes; }

private:
  std::shared_ptr<memory_budget> Budget;
  std::size_t Bytes = 0;
};

} // namespace sycamorelb::event
