/** @file message_intake.cpp Decides which large messages of other nodes are
 * received. */
#include "sidecar/message_intake.h"

namespace sycamorelb::sidecar {

/** Part of the memory that new work leaves to calls that are under way. */
static constexpr auto ReserveShare = std::size_t{10};

auto mayReceive(const event::memory_budget &Budget, std::size_t Size,
                std::size_t MissingBytes, bool LeavesReserve) -> bool {
  // The received bytes are freed once they are decoded.
  return event::hasRoom(Budget, MissingBytes + Size) &&
         (!LeavesReserve ||
          event::hasRoom(Budget,
                         MissingBytes + Budget.LimitBytes / ReserveShare));
}

void dropAnswer(inner::reply_message &Reply) {
  Reply.Outcome = inner::reply_outcome::Unknown;
  http::discard(Reply.Response);
  Reply.Reason = "no memory for the answer";
}

} // namespace sycamorelb::sidecar
