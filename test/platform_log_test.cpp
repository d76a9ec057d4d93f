/** @file platform_log_test.cpp Tests of the log client against the stand-in. */
#include "../standin/log_service.h"
#include "sycamorelb/platform/log_client.h"

#include <criterion/criterion.h>
#include <future>
#include <thread>

using namespace sycamorelb;
using namespace sycamorelb::platform;
using namespace sycamorelb::standin;

/** Stand-in of the log service and a client connected to it. */
struct service_and_client {
  log_service Service{{}};
  log_client Client;

  service_and_client() : Client(settings(Service.port())) {}
  static auto settings(std::uint16_t Port) -> log_client_settings {
    auto Settings = log_client_settings();
    Settings.Port = Port;
    Settings.ReadMargin = millis(300);
    return Settings;
  }
  auto append(const std::string &Bytes) -> append_result {
    return Client.append("config", Bytes, millis(300));
  }
  auto read(std::uint64_t From, millis Wait = millis(0)) -> read_result {
    return Client.read("config", {From}, 100, Wait);
  }
};

template <class T, class V> static auto is(const V &Value) -> bool {
  return std::holds_alternative<T>(Value);
}

// Guards against altered records and wrong offsets.
Test(platform_log, appended_records_are_read_back) {
  auto Setup = service_and_client();
  auto Bytes = std::string("\0\xff{\"a\"}\n", 8);
  for (auto Offset = std::uint64_t{1}; Offset <= 3; ++Offset) {
    auto Result = Setup.append(Bytes);
    cr_assert(is<append_done>(Result));
    cr_assert_eq(std::get<append_done>(Result).Offset.Value, Offset);
  }
  auto Result = Setup.read(2);
  cr_assert(is<read_batch>(Result));
  const auto &Batch = std::get<read_batch>(Result);
  cr_assert_eq(Batch.Next.Value, 4U);
  cr_assert_eq(Batch.Records.size(), 2U);
  cr_assert(Batch.Records[0] == (config::raw_record{{2}, Bytes}));
}

// Guards against long polls that delay appends or miss the appended records.
Test(platform_log, a_long_poll_returns_when_a_record_arrives) {
  auto Setup = service_and_client();
  auto Poll = std::async(std::launch::async,
                         [&Setup] { return Setup.read(1, millis(20'000)); });
  std::this_thread::sleep_for(millis(50));
  cr_assert(is<append_done>(Setup.append("x")));
  cr_assert(Poll.wait_for(millis(5000)) == std::future_status::ready);
  cr_assert_eq(std::get<read_batch>(Poll.get()).Records.size(), 1U);
}

// Guards against reporting "refused" for a record that was appended.
Test(platform_log, a_lost_answer_is_unknown) {
  auto Setup = service_and_client();
  Setup.append("warm the connection");
  Setup.Service.setFaults({.LoseAnswers = true});
  cr_assert(is<append_unknown>(Setup.append("x")));
  cr_assert_eq(Setup.Service.records("config").size(), 2U);
}

// Guards against reporting an unknown outcome as refused: a stalled service may
// still append the record.
Test(platform_log, a_stalled_or_down_service_leaves_the_outcome_unknown) {
  auto Setup = service_and_client();
  Setup.Service.setFaults({.Stall = millis(1500)});
  cr_assert(is<append_unknown>(Setup.append("x")));
  cr_assert(std::get<error>(Setup.read(1)).Code == error_code::Timeout);
  Setup.Service.setFaults({.Down = true});
  cr_assert(is<append_unknown>(Setup.append("x")));
  cr_assert(is<error>(Setup.read(1)));
  Setup.Service.setFaults({});
  cr_assert(is<append_done>(Setup.append("x")));
}

// Guards against reporting "unknown" to operators when nothing was appended.
Test(platform_log, refusals_are_certain) {
  auto Setup = service_and_client();
  Setup.Service.setFaults({.RefuseAppends = true});
  cr_assert(is<append_refused>(Setup.append("x")));
  Setup.Service.setFaults({.AppendsPerSecond = 2});
  cr_assert(is<append_done>(Setup.append("x")));
  cr_assert(is<append_done>(Setup.append("x")));
  cr_assert(is<append_refused>(Setup.append("x")));
  Setup.Service.setFaults({});
  cr_assert(is<append_refused>(Setup.append(std::string(2 << 20, 'x'))));
  cr_assert_eq(Setup.Service.records("config").size(), 2U);
  Setup.Service.stop();
  cr_assert(is<append_refused>(Setup.append("x")));
  cr_assert(std::get<error>(Setup.read(1)).Code == error_code::Unreachable);
}

// Guards against returning records before the requested offset, and against
// reporting expired records as an empty stream.
Test(platform_log, old_and_expired_records_are_told_apart) {
  auto Setup = service_and_client();
  for (auto Index = 0; Index < 10; ++Index) {
    Setup.append("x");
  }
  Setup.Service.setFaults({.OldRecords = true, .ExpireBefore = 4});
  auto Batch = Setup.read(8);
  cr_assert_eq(std::get<read_batch>(Batch).Records.size(), 3U);
  cr_assert_eq(std::get<read_batch>(Batch).Records[0].Offset.Value, 8U);
  auto Expired = Setup.read(2);
  cr_assert(is<read_expired>(Expired));
  cr_assert_eq(std::get<read_expired>(Expired).First.Value, 4U);
}

// Guards against stop() waiting for long polls to time out.
Test(platform_log, stop_ends_long_polls) {
  auto Setup = service_and_client();
  auto Poll = std::async(std::launch::async,
                         [&Setup] { return Setup.read(1, millis(50'000)); });
  std::this_thread::sleep_for(millis(50));
  Setup.Client.stop();
  cr_assert(Poll.wait_for(millis(5000)) == std::future_status::ready);
  cr_assert(is<error>(Poll.get()));
  cr_assert(is<append_refused>(Setup.append("x")));
}

// Guards against sending invalid requests and returning default values for
// them.
Test(platform_log, invalid_requests_are_refused_before_sending) {
  auto Setup = service_and_client();
  cr_assert(
      is<append_refused>(Setup.Client.append("../config", "x", millis(300))));
  cr_assert(std::get<error>(Setup.read(0)).Code == error_code::InvalidArgument);
}
