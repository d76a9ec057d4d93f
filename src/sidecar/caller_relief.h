/** @file caller_relief.h Decides which connections of callers give way.
 *
 * Addresses crowds of callers that hold memory or descriptors without making
 * progress, so that the others still get answers. Pure. */
#pragma once

#include "sycamorelb/core/unit_type.h"
#include "sycamorelb/event/memory_budget.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sycamorelb::sidecar {

/** What a connection of a caller does. */
enum class caller_stage : std::uint8_t {
  Idle,        ///< No request; between two, or before the first.
  ReadingHead, ///< A head has arrived in part.
  ReadingBody, ///< A body has arrived in part.
  Running,     ///< Requests are in progress, none arrives.
  Writing,     ///< An answer waits to be read by the caller.
};

/** State of a connection of a caller. */
struct caller_view {
  caller_stage Stage = caller_stage::Idle; ///< What it does.
  std::size_t HeldBytes = 0;               ///< Memory of its buffers.
  std::size_t RemainingBytes = 0; ///< Of the body that it sends, at most.
  std::uint64_t BodyBytes = 0;    ///< Received of this body.
  micros StageAge{0};             ///< Since the stage began.
  micros Silence{0};              ///< Since the last byte in either direction.
  bool HasServed = false;         ///< It has carried a whole request.
  bool ReadsPaused = false;       ///< Waits for memory.
  micros PausedFor{0};            ///< Since it waits for memory.
};

/** Timeouts of callers. */
struct caller_timeouts {
  micros Head{0}; ///< Time to send a head.
  micros Idle{0}; ///< Time without a request.
};

/** What to do with a connection. */
enum class relief_action : std::uint8_t {
  Keep,   ///< Nothing.
  Resume, ///< Read on: there is memory for it.
  Refuse, ///< Answer its unfinished request with 503, then close.
  Close,  ///< Close.
};

/** Decision about one connection. */
struct relief_decision {
  std::size_t Index = 0;                      ///< In the list of callers.
  relief_action Action = relief_action::Keep; ///< What to do.
  const char *Cause = "";                     ///< For log and metrics.
  std::size_t GrantedBytes = 0; ///< Resume: may arrive despite pressure.
};

/** @return the connections that exceed a timeout or make too little progress,
 * whatever memory there is. */
auto findExpired(const std::vector<caller_view> &Callers,
                 const caller_timeouts &Timeouts)
    -> std::vector<relief_decision>;

/** @return the connections that may read on, and those that give way to the
 * others, under the pressure on a budget. */
auto relieveMemory(const std::vector<caller_view> &Callers,
                   const event::memory_budget &Budget)
    -> std::vector<relief_decision>;

/** @return the index of the connection that gives way to a new one, or the
 * number of callers if none can. */
auto chooseForNewCaller(const std::vector<caller_view> &Callers) -> std::size_t;

/** @return the most connections of callers of a process that may open so many
 * descriptors; no limit if that is 0. */
auto maxCallerConnections(std::size_t FileDescriptors) -> std::size_t;

/** @return the most connections of one listener that isn't for callers, of a
 * process that may open so many descriptors: for the platform's requests, or of
 * other nodes before their first message. */
auto maxListenerConnections(std::size_t FileDescriptors) -> std::size_t;

/** @return the connections that a listener with this limit accepts before their
 * input is handled, so that none gives way to a newer one before it could send
 * a request. */
auto acceptsPerEvent(std::size_t MaxConnections) -> std::size_t;

} // namespace sycamorelb::sidecar
