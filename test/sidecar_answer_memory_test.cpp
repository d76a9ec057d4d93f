/** @file sidecar_answer_memory_test.cpp Tests of large answers of the target to
 * calls of other nodes. */
#include "sidecar/admission.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

using namespace sycamorelb;
using namespace sycamorelb::sidecar;
using inner::reply_outcome;

static constexpr auto MiB = std::size_t{1} << 20U;
static constexpr auto AnswerBytes = 8 * MiB;

namespace {

/** A node beside a target that answers each call with a large body. */
struct answer_run {
  event::loop Loop;
  node_state State{Loop, settings(), 1};
  admission Admission{State, {[] {}, [] {}, [] {}}};
  std::vector<std::shared_ptr<event::stream>> Streams;
  std::unique_ptr<event::listener> Target;
  std::map<std::uint64_t, reply_outcome> Outcomes;

  explicit answer_run(std::size_t Limit) {
    Loop.memory()->LimitBytes = Limit;
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
    auto Record = mesh::target_record();
    Record.Id = {"i-1"};
    Record.StartedAtMs = 1;
    Record.Service = {"svc"};
    Record.Slots = 1;
    Record.State = mesh::target_state::Ready;
    State.Own.Target = Record;
    State.Hosts.merge(State.Own);
    Admission.setTarget(Record, micros(0));
  }

  static auto settings() -> node_settings {
    // Tests run in processes of their own, in parallel.
    auto Process = static_cast<unsigned>(::getpid());
    auto Settings = node_settings();
    Settings.Node = {"node-1"};
    Settings.Service = {"svc"};
    Settings.TargetAddress = {"127.2." + std::to_string(Process % 250) + "." +
                                  std::to_string(Process / 250 % 250),
                              28'391};
    return Settings;
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
    auto Forward = inner::forward_message();
    Forward.Call = {Number};
    Forward.Service = {"svc"};
    Forward.TimeLeft = Forward.TimeToLatestStart = micros(4'000'000);
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

  auto resume(std::uint64_t Number) -> reply_outcome {
    auto Outcome = reply_outcome::NotRun;
    Admission.resume({{"node-2"}, {1}, {Number}},
                     {{Number}, micros(1000), State.Own.Process},
                     [&](auto &Reply) { Outcome = Reply.Outcome; });
    return Outcome;
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
