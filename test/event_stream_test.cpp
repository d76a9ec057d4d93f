/** @file event_stream_test.cpp Tests of buffered connections. */
#include "sycamorelb/event/stream.h"

#include <algorithm>
#include <array>
#include <criterion/criterion.h>
#include <string>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace sycamorelb;

// Regression test (report of other operators): a connection read as long as its
// peer wrote, so that a peer that writes without end, faster than it is read,
// filled the memory before anything looked at the bytes.
Test(event_stream, bytes_are_handed_over_while_more_are_available) {
  constexpr auto MaxBytesAtOnce = std::size_t{128} * 1024;
  auto Loop = event::loop();
  auto Ends = std::array<int, 2>();
  cr_assert_eq(
      ::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, Ends.data()), 0);
  auto Block = std::string(std::size_t{64} * 1024, 'x');
  auto Written = std::size_t{0};
  while (auto Sent =
             ::send(Ends[1], Block.data(), Block.size(), MSG_NOSIGNAL)) {
    if (Sent < 0) {
      break;
    }
    Written += static_cast<std::size_t>(Sent);
  }
  cr_assert_gt(Written, MaxBytesAtOnce, "the kernel holds %zu bytes", Written);
  auto Stream = event::stream::adopt(Loop, Ends[0]);
  auto Read = std::size_t{0};
  auto Most = std::size_t{0};
  Stream->OnData = [&] {
    Most = std::max(Most, Stream->input().size() - Read);
    Read = Stream->input().size();
    if (Read == Written) {
      Loop.stop();
    }
  };
  Loop.addTimer(Loop.now() + micros(5'000'000), [&] { Loop.stop(); });
  Loop.run();
  cr_assert_eq(Read, Written);
  cr_assert_leq(Most, MaxBytesAtOnce, "%zu bytes at once", Most);
  Stream->OnData = nullptr;
  ::close(Ends[1]);
}

// Guards against a write that is reported before the last byte is with the
// kernel: the peer reads late.
Test(event_stream, output_is_reported_as_written_when_all_of_it_is) {
  auto Loop = event::loop();
  auto Ends = std::array<int, 2>();
  cr_assert_eq(
      ::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, Ends.data()), 0);
  auto Stream = event::stream::adopt(Loop, Ends[0]);
  auto Reports = 0;
  auto Read = std::size_t{0};
  Stream->OnOutputWritten = [&] {
    ++Reports;
    cr_assert_gt(Read, std::size_t{0}, "reported before the peer has read");
    cr_assert_eq(Stream->pendingOutput(), std::size_t{0});
    Loop.stop();
  };
  Stream->send(std::string(std::size_t{4} * 1024 * 1024, 'x'));
  cr_assert_gt(Stream->pendingOutput(), std::size_t{0});
  auto Buffer = std::array<char, 4096>();
  Loop.watch(Ends[1], EPOLLIN, [&](std::uint32_t) {
    auto Got = ::recv(Ends[1], Buffer.data(), Buffer.size(), 0);
    Read += Got > 0 ? static_cast<std::size_t>(Got) : 0;
  });
  Loop.addTimer(Loop.now() + micros(5'000'000), [&] { Loop.stop(); });
  Loop.run();
  cr_assert_eq(Reports, 1);
  Loop.unwatch(Ends[1]);
  ::close(Ends[1]);
}

// Guards against a large message that is copied into a larger buffer as a small
// one follows it: the copy was held beside the account of the memory budget.
Test(event_stream, small_output_behind_large_one_copies_nothing) {
  constexpr auto LargeBytes = std::size_t{4} * 1024 * 1024;
  constexpr auto SmallBytes = std::size_t{64} * 1024;
  auto Loop = event::loop();
  auto Ends = std::array<int, 2>();
  cr_assert_eq(
      ::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, Ends.data()), 0);
  auto Stream = event::stream::adopt(Loop, Ends[0]);
  for (auto Count = std::size_t{1}; Count <= 2; ++Count) {
    Stream->sendOwned(std::string(LargeBytes, 'x'));
    Stream->send("small");
    cr_assert_leq(Stream->heldBytes(), Count * LargeBytes + SmallBytes);
  }
  ::close(Ends[1]);
}

// Guards against bytes that wait in the kernel beside the account: the host
// counts them as memory of the process.
Test(event_stream, unread_bytes_of_a_stopped_connection_are_charged) {
  constexpr auto SentBytes = std::size_t{10'000};
  auto Loop = event::loop();
  auto Ends = std::array<int, 2>();
  cr_assert_eq(
      ::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, Ends.data()), 0);
  Loop.memory()->LimitBytes = std::size_t{1} << 20U;
  auto Others = event::memory_charge(Loop.memory(), Loop.memory()->LimitBytes);
  auto Stream = event::stream::adopt(Loop, Ends[0]);
  Stream->yieldToPressure(false);
  auto Bytes = std::string(SentBytes, 'x');
  cr_assert_eq(::send(Ends[1], Bytes.data(), SentBytes, 0),
               static_cast<ssize_t>(SentBytes));
  Loop.runUntil(event::bootTime() + millis(50));
  cr_assert(Stream->heldBackSince().has_value());
  cr_assert_geq(Stream->heldBytes(), SentBytes);
  ::send(Ends[1], Bytes.data(), SentBytes, 0);
  Stream->chargeUnread();
  cr_assert_geq(Stream->heldBytes(), 2 * SentBytes);
  Others.resize(0);
  Stream->readOn(0);
  Loop.runUntil(event::bootTime() + millis(50));
  cr_assert_eq(Stream->input().size(), 2 * SentBytes);
  Stream->consume(2 * SentBytes);
  cr_assert_lt(Stream->heldBytes(), SentBytes);
  ::close(Ends[1]);
}

// Guards against bytes that are charged once more after they were read: as if
// they still waited in the kernel.
Test(event_stream, charge_of_unread_bytes_ends_when_reading_goes_on) {
  constexpr auto SentBytes = std::size_t{10'000};
  auto Loop = event::loop();
  auto Ends = std::array<int, 2>();
  cr_assert_eq(
      ::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, Ends.data()), 0);
  auto Stream = event::stream::adopt(Loop, Ends[0]);
  auto Bytes = std::string(SentBytes, 'x');
  cr_assert_eq(::send(Ends[1], Bytes.data(), SentBytes, 0),
               static_cast<ssize_t>(SentBytes));
  Stream->pauseReading(true);
  cr_assert_geq(Stream->heldBytes(), SentBytes);
  Stream->pauseReading(false);
  Loop.runUntil(event::bootTime() + millis(50));
  cr_assert_eq(Stream->input().size(), SentBytes);
  Stream->consume(SentBytes);
  cr_assert_lt(Stream->heldBytes(), SentBytes);
  ::close(Ends[1]);
}
