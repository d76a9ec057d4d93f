/** @file sidecar_answer_memory_test.cpp Tests of large answers of the target to
 * calls of other nodes. */
#include "admission_fixture.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace sycamorelb;
using namespace sycamorelb::sidecar;
using inner::reply_outcome;

static constexpr auto MiB = std::size_t{1} << 20U;
static constexpr auto AnswerBytes = 8 * MiB;

namespace {

/** A node beside a target that answers each call with a large body. */
struct answer_run : admission_fixture {
  std::vector<std::shared_ptr<event::stream>> Streams;
  std::unique_ptr<event::listener> Target;
  std::map<std::uint64_t, reply_outcome> Outcomes;

  explicit answer_run(std::size_t Limit) {
    Loop.memory()->LimitBytes = Limit;
    State.Settings.TargetAddress = targetAddress();
    auto Listening = event::listener::open(
        Loop, State.Settings.TargetAddress, [this](const auto &Stream) {
          Stream->OnData = [Raw = Stream.get()] {
            Raw->consume(Raw->input().size());
            Raw->send("HTTP/1.1 500 Failed\r\nContent-Length: " +
                      std::to_string(AnswerBytes) + "\r\n\r\n");
            sendBody(*Raw, AnswerBytes);
          };
          Streams.push_back(Stream);
        });
    cr_assert(isOk(Listening));
    Target = std::move(valueOf(Listening));
    start();
  }

  /** Writes in blocks, as the output of the target is charged here too. */
  static void sendBody(event::stream &Stream, std::size_t Rest) {
    Stream.OnOutputWritten = nullptr;
    while (Rest > 0 && Stream.pendingOutput() == 0) {
      auto Size = std::min(Rest, std::size_t{4096});
      Stream.send(std::string(Size, 'x'));
      Rest -= Size;
    }
    if (Rest > 0) {
      Stream.OnOutputWritten = [&Stream, Rest] { sendBody(Stream, Rest); };
    }
  }

  /** Runs a call of another node to its outcome. */
  void call(std::uint64_t Number) {
    auto Forward = forward(micros(4'000'000));
    Forward.Call = {Number};
    Forward.TimeToLatestStart = Forward.TimeLeft;
    Forward.Request.Method = "GET";
    Forward.Request.Target = "/a/";
    Admission.submit(
        {{"node-2"}, {1}, {Number}}, Forward, [this, Number](auto &Reply) {
          Outcomes[Number] = Reply.Outcome;
          // The frame that carries the reply.
          auto Frame =
              event::memory_charge(Loop.memory(), Reply.Response.Body.size());
        });
    auto Until = event::bootTime() + millis(4000);
    while (!Outcomes.contains(Number) && event::bootTime() < Until) {
      Loop.runUntil(event::bootTime() + millis(20));
    }
  }

  auto resume(std::uint64_t Number) -> std::optional<reply_outcome> {
    return admission_fixture::resume({{"node-2"}, {1}, {Number}}, micros(1000));
  }
};

} // namespace

// Guards against answers that are kept for nodes that may ask again, while the
// one that is sent has no memory.
Test(sidecar_answer_memory, kept_answers_give_way_to_the_one_that_is_sent) {
  auto Run = answer_run(96 * MiB);
  Run.call(1);
  cr_assert(Run.resume(1) == reply_outcome::Answered);
  auto Others = event::memory_charge(Run.Loop.memory(),
                                     84 * MiB - Run.Loop.memory()->UsedBytes);
  Run.call(2);
  cr_assert(Run.Outcomes.at(2) == reply_outcome::Answered);
  cr_assert(Run.resume(1) == reply_outcome::Unknown);
  cr_assert_leq(Run.Loop.memory()->PeakBytes, 96 * MiB);
}

// Guards against an answer that is copied for its sender although there is no
// memory for it.
Test(sidecar_answer_memory, answer_without_room_for_its_frame_is_dropped) {
  auto Run = answer_run(96 * MiB);
  auto Others = event::memory_charge(Run.Loop.memory(), 84 * MiB);
  Run.call(1);
  cr_assert(Run.Outcomes.at(1) == reply_outcome::Unknown);
  cr_assert_eq(Run.State.Counters.RepliesDropped, 1U);
  cr_assert_leq(Run.Loop.memory()->PeakBytes, 96 * MiB);
}

// Guards against an answer of the target that is read although there is no
// memory for it.
Test(sidecar_answer_memory, answer_of_the_target_without_room_is_not_read) {
  auto Run = answer_run(32 * MiB);
  // Less than the share above which no call starts.
  auto Others = event::memory_charge(Run.Loop.memory(), 28 * MiB + MiB / 2);
  Run.call(1);
  cr_assert(Run.Outcomes.at(1) == reply_outcome::Unknown);
  cr_assert_eq(Run.State.Counters.Admissions["failed: no memory for the "
                                             "response"],
               1U);
  cr_assert_leq(Run.Loop.memory()->PeakBytes, 32 * MiB);
}
