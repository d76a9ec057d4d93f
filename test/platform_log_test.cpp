/** @file platform_log_test.cpp Tests of the log client against the stand-in. */
#include "../standin/log_service.h"
#include "sycamorelb/platform/log_client.h"

#include <criterion/criterion.h>
#include <future>
#include <thread>

using namespace sycamorelb;
using namespace sycamorelb::platform;
using namespace sycamorelb::standin;

/** A stand-in with a client. */
struct pair_of {
  log_service Service{{}};
  log_client Client;

  pair_of() : Client(settings(Service.port())) {}
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

// Guards against records that change on their way and wrong offsets.
Test(platform_log, appended_records_are_read_back) {
  auto Pair = pair_of();
  auto Bytes = std::string("\0\xff{\"a\"}\n", 8);
  for (auto Offset = std::uint64_t{1}; Offset <= 3; ++Offset) {
    auto Result = Pair.append(Bytes);
    cr_assert(is<append_done>(Result));
    cr_assert_eq(std::get<append_done>(Result).Offset.Value, Offset);
  }
  auto Result = Pair.read(2);
  cr_assert(is<read_batch>(Result));
  const auto &Batch = std::get<read_batch>(Result);
  cr_assert_eq(Batch.Next.Value, 4U);
  cr_assert_eq(Batch.Records.size(), 2U);
  cr_assert(Batch.Records[0] == (config::raw_record{{2}, Bytes}));
}

// Guards against long polls that delay appends or miss them.
Test(platform_log, a_long_poll_returns_when_a_record_arrives) {
  auto Pair = pair_of();
  auto Poll = std::async(std::launch::async,
                         [&Pair] { return Pair.read(1, millis(20'000)); });
  std::this_thread::sleep_for(millis(50));
  cr_assert(is<append_done>(Pair.append("x")));
  cr_assert(Poll.wait_for(millis(5000)) == std::future_status::ready);
  cr_assert_eq(std::get<read_batch>(Poll.get()).Records.size(), 1U);
}

// Guards against a false "refused" when the record was taken.
Test(platform_log, a_lost_answer_is_unknown) {
  auto Pair = pair_of();
  Pair.append("warm the connection");
  Pair.Service.setFaults({.LoseAnswers = true});
  cr_assert(is<append_unknown>(Pair.append("x")));
  cr_assert_eq(Pair.Service.records("config").size(), 2U);
}

// Guards against an unknown outcome that counts as refused: a stalled service
// may still take the record.
Test(platform_log, a_stalled_or_down_service_leaves_the_outcome_unknown) {
  auto Pair = pair_of();
  Pair.Service.setFaults({.Stall = millis(1500)});
  cr_assert(is<append_unknown>(Pair.append("x")));
  cr_assert(std::get<error>(Pair.read(1)).Code == error_code::Timeout);
  Pair.Service.setFaults({.Down = true});
  cr_assert(is<append_unknown>(Pair.append("x")));
  cr_assert(is<error>(Pair.read(1)));
  Pair.Service.setFaults({});
  cr_assert(is<append_done>(Pair.append("x")));
}

// Guards against operators who are told "unknown" although nothing was taken.
Test(platform_log, refusals_are_certain) {
  auto Pair = pair_of();
  Pair.Service.setFaults({.RefuseAppends = true});
  cr_assert(is<append_refused>(Pair.append("x")));
  Pair.Service.setFaults({.AppendsPerSecond = 2});
  cr_assert(is<append_done>(Pair.append("x")));
  cr_assert(is<append_done>(Pair.append("x")));
  cr_assert(is<append_refused>(Pair.append("x")));
  Pair.Service.setFaults({});
  cr_assert(is<append_refused>(Pair.append(std::string(2 << 20, 'x'))));
  cr_assert_eq(Pair.Service.records("config").size(), 2U);
  Pair.Service.stop();
  cr_assert(is<append_refused>(Pair.append("x")));
  cr_assert(std::get<error>(Pair.read(1)).Code == error_code::Unreachable);
}

// Guards against records from before the offset asked for, and expiry that
// looks like an empty stream.
Test(platform_log, old_and_expired_records_are_told_apart) {
  auto Pair = pair_of();
  for (auto Index = 0; Index < 10; ++Index) {
    Pair.append("x");
  }
  Pair.Service.setFaults({.OldRecords = true, .ExpireBefore = 4});
  auto Batch = Pair.read(8);
  cr_assert_eq(std::get<read_batch>(Batch).Records.size(), 3U);
  cr_assert_eq(std::get<read_batch>(Batch).Records[0].Offset.Value, 8U);
  auto Expired = Pair.read(2);
  cr_assert(is<read_expired>(Expired));
  cr_assert_eq(std::get<read_expired>(Expired).First.Value, 4U);
}

// Guards against a stop that waits for long polls to end.
Test(platform_log, stop_ends_long_polls) {
  auto Pair = pair_of();
  auto Poll = std::async(std::launch::async,
                         [&Pair] { return Pair.read(1, millis(50'000)); });
  std::this_thread::sleep_for(millis(50));
  Pair.Client.stop();
  cr_assert(Poll.wait_for(millis(5000)) == std::future_status::ready);
  cr_assert(is<error>(Poll.get()));
  cr_assert(is<append_refused>(Pair.append("x")));
}

// Guards against answers that the service did not give: no default values.
Test(platform_log, invalid_requests_are_refused_before_sending) {
  auto Pair = pair_of();
  cr_assert(
      is<append_refused>(Pair.Client.append("../config", "x", millis(300))));
  cr_assert(std::get<error>(Pair.read(0)).Code == error_code::InvalidArgument);
}
