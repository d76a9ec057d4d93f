/** @file count.cpp Counts of calls by window and customer. */
#include "sycamorelb/usage/count.h"

#include <algorithm>

namespace sycamorelb::usage {

/** Windows that a process keeps; a window is sent within the next one. */
static constexpr auto KeptOwnWindows = std::size_t{4};
/** Windows before the current one that a candidate keeps: a report is due two
 * windows after the end of its own with the usual settings. */
static constexpr auto KeptLedgerWindows = std::int64_t{8};
/** Windows after the current one that a candidate accepts; true times of hosts
 * differ by less. */
static constexpr auto MaxWindowsAhead = std::int64_t{2};
/** Most processes by window and customers by process; bound memory. */
static constexpr auto MaxProcesses = std::size_t{2048};
static constexpr auto MaxCustomers = std::size_t{4096};
/** Time after the end of a window at which its counts are sent: true times of
 * hosts differ by some milliseconds. */
static constexpr auto SendDelay = millis(100);

static auto total(const inner::usage_counts &Counts) -> std::uint64_t {
  auto Sum = std::uint64_t{0};
  for (const auto &[Customer, Calls] : Counts.Counts) {
    Sum += Calls;
  }
  return Sum;
}

void countStart(usage_counter &Counter, const customer_id &Customer,
                std::int64_t Window) {
  if (Customer.Value.empty()) {
    return;
  }
  auto &Entry = Counter.Windows[Window];
  if (Entry.Counts.size() >= MaxCustomers && !Entry.Counts.contains(Customer)) {
    return;
  }
  ++Entry.Counts[Customer];
  ++Entry.Total;
  while (Counter.Windows.size() > KeptOwnWindows) {
    Counter.Windows.erase(Counter.Windows.begin());
  }
}

void removeStart(usage_counter &Counter, const customer_id &Customer,
                 std::int64_t Window) {
  auto Found = Counter.Windows.find(Window);
  if (Found == Counter.Windows.end()) {
    return;
  }
  auto &Entry = Found->second;
  auto Count = Entry.Counts.find(Customer);
  if (Count != Entry.Counts.end() && Count->second > 0) {
    --Count->second;
    --Entry.Total;
  }
}

auto takeDueCounts(usage_counter &Counter, std::int64_t TrueMillis,
                   millis Length, bool Stopping)
    -> std::vector<std::pair<std::int64_t, bool>> {
  auto Due = std::vector<std::pair<std::int64_t, bool>>();
  for (auto &[Window, Entry] : Counter.Windows) {
    auto End = Window * Length.count() + Length.count();
    auto IsOver = TrueMillis >= End + SendDelay.count();
    auto IsMiddle =
        !Entry.MiddlePassed && TrueMillis >= End - Length.count() / 2;
    if (!IsOver && !IsMiddle && !Stopping) {
      continue;
    }
    Entry.MiddlePassed = true;
    if (Entry.Total != Entry.TotalAtSend) {
      Entry.TotalAtSend = Entry.Total;
      Due.emplace_back(Window, IsOver);
    }
  }
  return Due;
}

auto timeToNextCounts(std::int64_t TrueMillis, millis Length) -> millis {
  auto InWindow =
      millis((TrueMillis % Length.count() + Length.count()) % Length.count());
  for (auto At : {SendDelay, Length / 2, Length + SendDelay}) {
    if (At > InWindow) {
      return At - InWindow;
    }
  }
  return SendDelay;
}

void recordCounts(usage_ledger &Ledger, const inner::usage_counts &Counts,
                  std::int64_t Current) {
  auto &Windows = Ledger.Windows;
  while (!Windows.empty() &&
         Windows.begin()->first < Current - KeptLedgerWindows) {
    Windows.erase(Windows.begin());
  }
  if (Counts.Window < Current - KeptLedgerWindows ||
      Counts.Window > Current + MaxWindowsAhead ||
      Counts.Counts.size() > MaxCustomers) {
    return;
  }
  auto &Window = Windows[Counts.Window];
  auto Key = std::pair(Counts.Node, Counts.Process);
  auto Found = Window.find(Key);
  if (Found != Window.end()) {
    // Messages may overtake each other on different connections.
    if (Counts.Final || total(Counts) >= total(Found->second)) {
      Found->second = Counts;
    }
  } else if (Window.size() < MaxProcesses) {
    Window.emplace(Key, Counts);
  }
}

auto sumCounts(const usage_ledger &Ledger, std::int64_t Window)
    -> customer_counts {
  auto Sum = customer_counts();
  auto Found = Ledger.Windows.find(Window);
  if (Found != Ledger.Windows.end()) {
    for (const auto &[Process, Counts] : Found->second) {
      for (const auto &[Customer, Calls] : Counts.Counts) {
        Sum[Customer] += Calls;
      }
    }
  }
  return Sum;
}

} // namespace sycamorelb::usage
