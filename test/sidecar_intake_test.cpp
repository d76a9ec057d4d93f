/** @file sidecar_intake_test.cpp Tests of large messages of several nodes that
 * meet at one node. */
#include "admission_fixture.h"
#include "sidecar/message_reader.h"

#include <criterion/criterion.h>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <sys/socket.h>
#include <vector>

using namespace sycamorelb;
using namespace sycamorelb::sidecar;
using namespace sycamorelb::inner;

static constexpr auto MiB = std::size_t{1} << 20U;
static constexpr auto LimitBytes = 20 * MiB;
static constexpr auto BodyBytes = 4 * MiB;
static constexpr auto Senders = std::uint64_t{8};

static auto settings() -> node_settings {
  auto Settings = node_settings();
  Settings.Node = {"node-1"};
  return Settings;
}

static auto largeCall(std::uint64_t Number) -> std::string {
  auto Forward = forward_message();
  Forward.Call = {Number};
  Forward.Request.Body = std::string(BodyBytes, 'b');
  return encodeMeshMessage(Forward, steady_time());
}

namespace {

struct unsent_bytes {
  std::string Bytes;
  std::size_t Offset = 0;
};

/** A node that reads the messages of some others and keeps what it received. */
struct intake_run {
  event::loop Loop;
  node_state State{Loop, settings(), 1};
  std::vector<std::shared_ptr<event::stream>> Streams;
  std::vector<std::shared_ptr<event::stream>> Others;
  std::vector<std::unique_ptr<message_intake>> Intakes;
  std::vector<forward_message> Received;
  std::set<std::uint64_t> Refused;
  int Pings = 0;
  int Ended = 0;

  intake_run() { Loop.memory()->LimitBytes = LimitBytes; }

  /** Opens a connection on which a node sends these bytes. */
  void send(std::string Bytes) {
    int Ends[2] = {-1, -1};
    cr_assert_eq(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, Ends), 0);
    auto Stream = event::stream::adopt(Loop, Ends[0]);
    Intakes.push_back(std::make_unique<message_intake>());
    Stream->OnData = [this, Raw = Stream.get(), &Intake = *Intakes.back()] {
      read(*Raw, Intake);
    };
    Streams.push_back(Stream);
    // In blocks, so that what is still to be written isn't charged here.
    auto Other = event::stream::adopt(Loop, Ends[1]);
    auto Rest = std::make_shared<unsent_bytes>();
    Rest->Bytes = std::move(Bytes);
    Other->OnOutputWritten = [Raw = Other.get(), Rest] {
      sendBlocks(*Raw, *Rest);
    };
    sendBlocks(*Other, *Rest);
    Others.push_back(std::move(Other));
  }

  static void sendBlocks(event::stream &Other, unsent_bytes &Rest) {
    while (Rest.Offset < Rest.Bytes.size() && Other.pendingOutput() == 0) {
      Other.send(std::string_view(Rest.Bytes).substr(Rest.Offset, 1024));
      Rest.Offset += 1024;
    }
  }

  void read(event::stream &Stream, message_intake &Intake) {
    auto Refuse = call_refusal{
        true, [this](call_number Call) { Refused.insert(Call.Value); }};
    auto End =
        readMessages(State, Stream, Intake, Refuse, [this](auto Decoded) {
          if (auto *Forward = std::get_if<forward_message>(&Decoded.Message)) {
            Received.push_back(std::move(*Forward));
          } else if (std::holds_alternative<ping_message>(Decoded.Message)) {
            ++Pings;
          }
          return true;
        });
    Ended += End == read_end::Open ? 0 : 1;
  }

  void run() { Loop.runUntil(event::bootTime() + millis(1000)); }
};

} // namespace

// Guards against large calls that are each within the limits of their sender,
// but together exceed the memory of the node that they meet at: also those that
// were admitted were not charged before they were held.
Test(sidecar_intake, calls_that_meet_stay_within_the_budget) {
  auto Run = intake_run();
  for (auto Number = std::uint64_t{1}; Number <= Senders; ++Number) {
    Run.send(largeCall(Number));
  }
  Run.run();
  cr_assert_leq(Run.Loop.memory()->PeakBytes, LimitBytes, "%zu bytes",
                Run.Loop.memory()->PeakBytes);
  cr_assert_gt(Run.Received.size(), 0U);
  cr_assert_eq(Run.Received.size() + Run.Refused.size(), Senders);
  for (const auto &Forward : Run.Received) {
    cr_assert_eq(Run.Refused.count(Forward.Call.Value), 0U);
    cr_assert_eq(Forward.Request.Body.size(), BodyBytes);
  }
}

// Guards against a refused call that ends its connection, or whose rest is
// taken for the next message.
Test(sidecar_intake, connection_goes_on_after_a_refused_call) {
  auto Run = intake_run();
  auto Others = event::memory_charge(Run.Loop.memory(), LimitBytes);
  Run.send(largeCall(1) + encodeMeshMessage(ping_message(), steady_time()) +
           largeCall(2) + encodeMeshMessage(ping_message(), steady_time()));
  Run.run();
  cr_assert(Run.Refused == std::set<std::uint64_t>({1, 2}));
  cr_assert_eq(Run.Pings, 2);
  cr_assert_eq(Run.Ended, 0);
  cr_assert_lt(Run.Loop.memory()->PeakBytes, LimitBytes + MiB);
}

// Guards against a single call inside the limits that is refused in calm, and
// against answers that are lost while there is memory for them.
Test(sidecar_intake, single_call_has_room_and_answers_use_the_reserve) {
  auto Budget = event::memory_budget();
  Budget.LimitBytes = 136 * MiB;
  auto Largest = 64 * MiB + 4096;
  cr_assert(mayReceive(Budget, Largest, Largest, true));
  Budget.UsedBytes = 120 * MiB;
  cr_assert_not(mayReceive(Budget, 4 * MiB, 4 * MiB, true));
  cr_assert(mayReceive(Budget, 4 * MiB, 4 * MiB, false));
  Budget.UsedBytes = 133 * MiB;
  cr_assert_not(mayReceive(Budget, 4 * MiB, 4 * MiB, false));
}

// Guards against reading the number of a call from bytes that have not arrived.
Test(sidecar_intake, outline_needs_the_beginning_only) {
  auto Bytes = largeCall(7);
  auto Found = std::size_t{0};
  for (auto Size = std::size_t{0}; Size < 20'000 && Found == 0; ++Size) {
    auto Outline = outlineMeshMessage(Bytes.substr(0, Size));
    cr_assert(isOk(Outline));
    if (valueOf(Outline)) {
      cr_assert(valueOf(Outline)->Call == std::optional(call_number{7}));
      Found = Size;
    }
  }
  cr_assert_gt(Found, 0U);
  auto Other =
      outlineMeshMessage(encodeMeshMessage(opened_message(), steady_time()));
  cr_assert(isOk(Other) && valueOf(Other) && !valueOf(Other)->Call);
}

// Guards against a wrong "not run": a copy of a call that was refused before it
// was received arrives later.
Test(sidecar_intake, refused_call_is_not_run_later) {
  auto Node = admission_fixture();
  auto Key = call_key{{"node-2"}, {1}, {7}};
  auto Replies = std::vector<reply_message>();
  auto Reply = [&Replies](const auto &Each) { Replies.push_back(Each); };
  Node.Admission.refuseArrival(Key, Reply, nullptr);
  auto Forward = forward_message();
  Forward.Call = Key.Call;
  Node.Admission.submit(Key, Forward, Reply);
  Node.Admission.resume(Key, {Key.Call, micros(1000), Node.State.Own.Process},
                        Reply);
  cr_assert_eq(Replies.size(), 3U);
  for (const auto &Each : Replies) {
    cr_assert(Each.Outcome == reply_outcome::NotRun);
    cr_assert(Each.Call == Key.Call);
    cr_assert_str_eq(Each.Reason.c_str(), "no memory");
  }
}
