/** @file usage_count_test.cpp Counts, windows and true time. */
#include "sycamorelb/usage/count.h"
#include "sycamorelb/usage/window.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace sycamorelb;
using namespace sycamorelb::usage;

static constexpr auto Length = millis(5000);

// Guards against messages where nothing new was counted and against counts that
// are never sent: bytes between zones are expensive.
Test(usage_count, sends_in_the_middle_and_after_the_end_only) {
  auto Counter = usage_counter();
  countStart(Counter, {"a"}, 2);
  countStart(Counter, {""}, 2);
  cr_assert(takeDueCounts(Counter, 12'000, Length, false).empty());
  auto Middle = takeDueCounts(Counter, 12'500, Length, false);
  cr_assert_eq(Middle.size(), 1U);
  cr_assert_not(Middle[0].second);
  cr_assert(takeDueCounts(Counter, 14'000, Length, false).empty());
  cr_assert(takeDueCounts(Counter, 15'200, Length, false).empty());
  countStart(Counter, {"b"}, 3);
  countStart(Counter, {"b"}, 3);
  auto Stop = takeDueCounts(Counter, 16'000, Length, true);
  cr_assert_eq(Stop.size(), 1U);
  cr_assert(takeDueCounts(Counter, 20'100, Length, false).empty());
  countStart(Counter, {"c"}, 3);
  auto Late = takeDueCounts(Counter, 20'200, Length, false);
  cr_assert_eq(Late.size(), 1U);
  cr_assert(Late[0].second);
  cr_assert_eq(Counter.Windows.at(2).Counts.size(), 1U);
}

// Guards against a count that is added twice or replaced by an older one.
Test(usage_count, later_message_of_a_process_replaces_earlier) {
  auto Ledger = usage_ledger();
  auto Message = inner::usage_counts{{"n"}, {1}, 10, {{{"a"}, 5}}, false};
  recordCounts(Ledger, Message, 10);
  Message.Counts[{"a"}] = 9;
  recordCounts(Ledger, Message, 10);
  Message.Counts[{"a"}] = 7;
  recordCounts(Ledger, Message, 10);
  Message.Process = {2};
  Message.Counts = {{{"a"}, 1}, {{"b"}, 2}};
  recordCounts(Ledger, Message, 11);
  Message.Window = 1'000'000;
  recordCounts(Ledger, Message, 11);
  cr_assert_eq(sumCounts(Ledger, 10),
               (customer_counts{{{"a"}, 10}, {{"b"}, 2}}));
  cr_assert(sumCounts(Ledger, 1'000'000).empty());
}

// Guards against windows that follow a clock that jumps.
Test(usage_count, true_time_ignores_a_minority_of_wrong_clocks) {
  cr_assert(rc::check([] {
    auto Clocks = clock_samples();
    auto Now = steady_time(micros(77'000'000));
    auto Hosts = *rc::gen::inRange(3, 40);
    auto Wrong = *rc::gen::inRange(0, (Hosts - 1) / 2 + 1);
    for (auto Host = 0; Host < Hosts; ++Host) {
      auto Error = Host < Wrong ? *rc::gen::inRange(-20'000, 20'000)
                                : *rc::gen::inRange(-30, 30);
      recordClock(Clocks, {std::to_string(Host)}, 1'000'000'000'000 + Error,
                  Now);
    }
    auto Time = trueTime(Clocks, Now + micros(2'000'000));
    RC_ASSERT(Time >= 1'000'000'002'000 - 30);
    RC_ASSERT(Time <= 1'000'000'002'000 + 30);
  }));
}

// Guards against windows that overlap or leave gaps.
Test(usage_count, windows_are_contiguous) {
  cr_assert(rc::check([] {
    auto Millis = *rc::gen::inRange<std::int64_t>(-100'000, 2'000'000'000'000);
    auto Window = windowAt(Millis, Length);
    RC_ASSERT(windowEnd(Window, Length) > Millis);
    RC_ASSERT(windowEnd(Window - 1, Length) <= Millis);
  }));
}
