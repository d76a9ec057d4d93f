/** @file message_intake.h Decides which large messages of other nodes are
 * received.
 *
 * Addresses large calls that several nodes send to one target at once: each
 * sender is within its own limits, but the messages meet at one node. Pure. */
#pragma once

#include "sycamorelb/event/memory_budget.h"
#include "sycamorelb/inner/mesh_message_type.h"

#include <cstddef>

namespace sycamorelb::sidecar {

/** Smallest message that needs memory of its own; smaller ones are always
 * received. In bytes. */
inline constexpr auto LargeMessageBytes = std::size_t{64} * 1024;

/** State of the large message at the front of a connection's input. */
struct message_intake {
  std::size_t AdmittedBytes = 0; ///< Its size, once it may be received; or 0.
  std::size_t SkippedBytes = 0;  ///< Rest of a refused one, to be dropped.
};

/** @return whether a message may be received. It needs memory for the bytes
 * that are missing, and for its decoded copy.
 * @param LeavesReserve whether it must leave a part of the memory to calls
 * that are under way: for new work, which can run elsewhere. */
auto mayReceive(const event::memory_budget &Budget, std::size_t Size,
                std::size_t MissingBytes, bool LeavesReserve) -> bool;

/** Drops the answer in a reply that there is no memory for: the target has run
 * the call, but its caller can't get the result. */
void dropAnswer(inner::reply_message &Reply);

} // namespace sycamorelb::sidecar
