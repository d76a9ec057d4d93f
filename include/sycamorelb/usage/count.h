/** @file count.h Counts of calls by window and customer. Addresses the loss of
 * a counting process, which costs half a window at most, and the price of bytes
 * between zones: nothing is sent where nothing new was counted. */
#pragma once

#include "sycamorelb/core/unit_type.h"
#include "sycamorelb/inner/mesh_message_type.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace sycamorelb::usage {

/** Calls by customer. */
using customer_counts = std::map<customer_id, std::uint32_t>;

/** Counts of one window at the process that counts. */
struct window_counts {
  customer_counts Counts;        ///< Calls so far.
  std::uint64_t Total = 0;       ///< Sum of Counts.
  std::uint64_t TotalAtSend = 0; ///< Total in the last message.
  bool MiddlePassed = false;     ///< The message in the middle was considered.
};

/** Counts of this process. */
struct usage_counter {
  std::map<std::int64_t, window_counts> Windows; ///< Newest windows only.
};

/** Counts a call that starts. Calls without a customer aren't counted. */
void countStart(usage_counter &Counter, const customer_id &Customer,
                std::int64_t Window);

/** Removes a call that turned out not to have run. */
void removeStart(usage_counter &Counter, const customer_id &Customer,
                 std::int64_t Window);

/** @return the windows whose counts must be sent now, and whether each is over.
 * A window is due once in its middle and once soon after its end, if it has
 * counts that weren't sent.
 * @param TrueMillis true time in Unix ms.
 * @param Stopping the process ends soon, so that everything is due. */
auto takeDueCounts(usage_counter &Counter, std::int64_t TrueMillis,
                   millis Length, bool Stopping)
    -> std::vector<std::pair<std::int64_t, bool>>;

/** @return the time until takeDueCounts() may have something to return. */
auto timeToNextCounts(std::int64_t TrueMillis, millis Length) -> millis;

/** Counts of all processes, at a candidate for holder. */
struct usage_ledger {
  /** Newest message of each process, by window. */
  std::map<std::int64_t,
           std::map<std::pair<node_id, process_id>, inner::usage_counts>>
      Windows;
};

/** Keeps the counts of a process unless it has later ones.
 * @param Current number of the window in progress; others far from it are
 * ignored. */
void recordCounts(usage_ledger &Ledger, const inner::usage_counts &Counts,
                  std::int64_t Current);

/** @return the sum over all processes for one window. */
auto sumCounts(const usage_ledger &Ledger, std::int64_t Window)
    -> customer_counts;

} // namespace sycamorelb::usage
