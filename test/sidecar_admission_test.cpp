/** @file sidecar_admission_test.cpp Tests of call admission and of the outcomes
 * that a node reports. */
#include "admission_fixture.h"
#include "sycamorelb/dispatch/call_queue.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <functional>
#include <memory>
#include <optional>
#include <unistd.h>
#include <vector>

using namespace sycamorelb;
using namespace sycamorelb::sidecar;
using inner::reply_outcome;

static const auto Key = call_key{{"node-2"}, {1}, {7}};

// Guards against running a call after it was reported as not run: a copy that
// was delayed on the lost connection arrives later.
Test(sidecar_admission, late_copy_of_a_call_reported_as_not_run_does_not_run) {
  auto Node = admission_fixture();
  cr_assert(Node.resume(Key, micros(500'000)) == reply_outcome::NotRun);
  cr_assert(Node.submit(Key) == reply_outcome::Unknown);
}

// Guards against a wrong "not run" from a process that started after the call
// was sent: the previous process may have run it.
Test(sidecar_admission, restarted_node_reports_unknown) {
  auto Node = admission_fixture();
  Node.State.StartedAt = Node.Loop.now() - micros(1'200'000);
  cr_assert(Node.resume(Key, micros(400'000)) == reply_outcome::Unknown);
}

// Guards against a wrong "not run" for a call that a previous process may have
// run: the question was held up on a bad connection, so that the process is
// older now than the call was when it was asked.
Test(sidecar_admission, call_of_another_process_is_reported_as_unknown) {
  auto Node = admission_fixture();
  cr_assert(Node.resume(Key, micros(400'000), {4711}) ==
            reply_outcome::Unknown);
}

// Guards against lost calls after a restart: a node that has just started knows
// which calls were sent to itself.
Test(sidecar_admission, new_process_knows_the_calls_sent_to_it) {
  auto Node = admission_fixture();
  Node.State.StartedAt = Node.Loop.now() - micros(1'200'000);
  cr_assert(Node.resume(Key, micros(400'000), Node.State.Own.Process) ==
            reply_outcome::NotRun);
}

// Guards against different outcomes reported for the same call.
Test(sidecar_admission, outcome_is_kept_for_repeated_requests) {
  auto Node = admission_fixture();
  cr_assert(Node.submit(Key) == reply_outcome::NotRun);
  cr_assert(Node.resume(Key, micros(400'000)) == reply_outcome::NotRun);
  cr_assert(Node.submit(Key) == reply_outcome::NotRun);
}

// Guards against a lost reply: the connection that delivered a call ends after
// the call was resumed on a newer one.
Test(sidecar_admission, end_of_the_old_connection_leaves_the_newer_one) {
  auto Node = admission_fixture();
  Node.start();
  auto Forward = admission_fixture::forward(micros(300'000));
  auto Old = 0;
  auto New = 0;
  auto Replies = std::string();
  // Nothing listens at the target's address, so the call fails with a reply.
  Node.State.Settings.TargetAddress = {"127.0.0.1", 1};
  Node.Admission.submit(
      Key, Forward, [&Replies](const auto &) { Replies += "old"; }, &Old);
  Node.Admission.resume(
      Key, {Key.Call, micros(0), {}},
      [&Replies](const auto &) { Replies += "new"; }, &New);
  Node.Admission.handleConnectionLost(&Old);
  Node.Loop.addTimer(Node.Loop.now() + micros(1'000'000),
                     [&Node] { Node.Loop.stop(); });
  Node.Loop.run();
  cr_assert_str_eq(Replies.c_str(), "new");
}

// Guards against a node that sends a target more than the limit that it named,
// because the node has restarted since: other nodes know the limit.
Test(sidecar_admission, restarted_node_learns_the_limit_from_forwarded_calls) {
  auto Node = admission_fixture();
  Node.start();
  Node.State.Settings.TargetAddress = {"127.0.0.1", 1};
  auto Forward = admission_fixture::forward(micros(300'000));
  Forward.TimeToLatestStart = micros(200'000);
  Forward.Notice = {{"i-1"}, 1, 2.0, false};
  auto Reply = std::optional<inner::reply_message>();
  Node.Admission.submit(Key, Forward,
                        [&Reply](const auto &Got) { Reply = Got; });
  // The next start is half a second away.
  cr_assert(Reply && Reply->Outcome == reply_outcome::NotRun);
  cr_assert_eq(Reply->Notice.CallsPerSecond.value_or(0), 2.0);
  cr_assert(Node.Admission.load().StartGap >= micros(400'000));
}

// Guards against an old limit that a node tells after another told a newer one.
Test(sidecar_admission, strictest_told_limit_is_adopted) {
  auto Node = admission_fixture();
  Node.start();
  auto Forward = admission_fixture::forward(micros(300'000));
  for (auto Limit : {5.0, 2.0, 20.0}) {
    Forward.Notice = {{"i-1"}, 1, Limit, false};
    Forward.Call.Value += 1;
    Node.Admission.submit({{"node-2"}, {1}, Forward.Call}, Forward,
                          [](const auto &) {});
  }
  cr_assert(Node.Admission.load().StartGap == micros(500'000));
}

// Guards against a limit of a previous start of the target.
Test(sidecar_admission, limit_of_another_start_is_not_adopted) {
  auto Node = admission_fixture();
  Node.start();
  Node.State.Settings.TargetAddress = {"127.0.0.1", 1};
  auto Forward = admission_fixture::forward(micros(300'000));
  Forward.Notice = {{"i-1"}, 2, 2.0, false};
  Node.Admission.submit(Key, Forward, [](const auto &) {});
  cr_assert(Node.Admission.load().StartGap == micros(0));
}

// Guards against running out of memory: a target answers many calls of other
// nodes with large bodies, which are kept for nodes that lose the connection.
Test(sidecar_admission, kept_outcomes_are_limited_by_their_size) {
  auto Node = admission_fixture();
  Node.start();
  Node.State.Settings.TargetAddress = targetAddress();
  auto Body = std::string(std::size_t{1} << 20U, 'x');
  auto Streams = std::vector<std::shared_ptr<event::stream>>();
  auto Target = event::listener::open(
      Node.Loop, Node.State.Settings.TargetAddress,
      [&](const std::shared_ptr<event::stream> &Stream) {
        auto *Raw = Stream.get();
        Stream->OnData = [Raw, &Body] {
          Raw->consume(Raw->input().size());
          Raw->send("HTTP/1.1 500 Failed\r\nRequest-Id: r-1\r\n"
                    "Content-Length: " +
                    std::to_string(Body.size()) + "\r\n\r\n" + Body);
        };
        Streams.push_back(Stream);
      });
  cr_assert(isOk(Target));
  constexpr auto Calls = std::uint64_t{40};
  std::function<void(std::uint64_t)> Run = [&](std::uint64_t Number) {
    auto Forward = admission_fixture::forward(micros(5'000'000));
    Forward.TimeToLatestStart = micros(4'000'000);
    Forward.Call = {Number};
    Forward.Request.Method = "POST";
    Forward.Request.Target = "/a/";
    Forward.Request.Headers = {{"Request-Id", "r-1"}};
    Node.Admission.submit(
        {{"node-2"}, {1}, {Number}}, Forward, [&, Number](const auto &Reply) {
          cr_assert(Reply.Outcome == reply_outcome::Answered);
          Node.Loop.defer([&, Number] {
            Number < Calls ? Run(Number + 1) : Node.Loop.stop();
          });
        });
  };
  Run(1);
  Node.Loop.addTimer(Node.Loop.now() + micros(5'000'000),
                     [&Node] { Node.Loop.stop(); });
  Node.Loop.run();
  // The outcome of the first call is gone, that of the last one is kept.
  cr_assert(Node.resume({{"node-2"}, {1}, {1}}, micros(100'000)) ==
            reply_outcome::Unknown);
  cr_assert(Node.resume({{"node-2"}, {1}, {Calls}}, micros(100'000)) ==
            reply_outcome::Answered);
}

// Guards against a wrong "not run": a target wrote an earlier refusal once
// more, and the refusal was taken for the answer to a call that the target
// runs.
Test(sidecar_admission, refusal_without_request_id_is_not_an_answer) {
  auto Node = admission_fixture();
  Node.start();
  Node.State.Settings.TargetAddress = targetAddress();
  auto Streams = std::vector<std::shared_ptr<event::stream>>();
  auto Target = event::listener::open(
      Node.Loop, Node.State.Settings.TargetAddress,
      [&Streams](const std::shared_ptr<event::stream> &Stream) {
        auto *Raw = Stream.get();
        Stream->OnData = [Raw] {
          Raw->send("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
                    "Content-Length: 0\r\n\r\n");
          Raw->send("HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n"
                    "Response-Signature: s\r\nContent-Length: 2\r\n\r\nok");
        };
        Streams.push_back(Stream);
      });
  cr_assert(isOk(Target));
  auto Forward = admission_fixture::forward(micros(3'000'000));
  Forward.Request.Method = "POST";
  Forward.Request.Target = "/a/";
  Forward.Request.Headers = {{"Request-Id", "r-1"}};
  auto Outcome = std::optional<reply_outcome>();
  Node.Admission.submit(Key, Forward, [&](const auto &Reply) {
    Outcome = Reply.Outcome;
    Node.Loop.stop();
  });
  Node.Loop.addTimer(Node.Loop.now() + micros(5'000'000),
                     [&Node] { Node.Loop.stop(); });
  Node.Loop.run();
  cr_assert(Outcome == reply_outcome::Answered);
}

// Regression test (cold-flood): a cold target got the calls of two seconds in
// one, as calls counted from the begin of the loop's iteration, which was long
// before they were sent.
Test(sidecar_admission, calls_to_a_cold_target_count_from_when_they_are_sent) {
  auto Node = admission_fixture();
  auto Server =
      event::listener::open(Node.Loop, targetAddress(),
                            [](const std::shared_ptr<event::stream> &) {});
  cr_assert(isOk(Server));
  Node.State.Settings.TargetAddress = targetAddress();
  Node.start();
  Node.Admission.assumeCold("test");
  auto SentAt = steady_time();
  auto NextCallAt = steady_time();
  Node.Loop.addTimer(Node.Loop.now(), [&Node, &SentAt] {
    ::usleep(400'000);
    SentAt = Node.Loop.clockTime();
    Node.Admission.submit(Key, admission_fixture::forward(micros(900'000)),
                          [](const auto &) {});
  });
  Node.Loop.addTimer(Node.Loop.now() + micros(500'000), [&Node, &NextCallAt] {
    NextCallAt = Node.Loop.now() + Node.Admission.load().Wait;
    Node.Loop.stop();
  });
  Node.Loop.run();
  cr_assert(NextCallAt - SentAt >= micros(1'000'000),
            "the next call starts %ld us after the first one",
            static_cast<long>((NextCallAt - SentAt).count()));
}

// Guards against a new start of unknown cold time that counts as warm, since
// the start before was.
Test(sidecar_admission, new_start_of_unknown_cold_time_is_cold) {
  auto Node = admission_fixture();
  auto Target = Node.target();
  Node.Admission.setTarget(Target, micros(0));
  cr_assert(Node.Admission.coldTimeLeft() == micros(0));
  Target.StartedAtMs += 1;
  Node.Admission.setTarget(Target, std::nullopt);
  cr_assert_not(Node.Admission.coldTimeLeft(), "counts as warm");
}

/** Sends calls to a target one after the other, which reports each of Loads
 * with one answer, then one call that has 10 ms left to start on time.
 * @return how that one ended. */
static auto endOfUrgentCall(admission_fixture &Node,
                            const std::vector<std::string> &Loads,
                            micros TimeToLatestStart) -> std::string {
  Node.start();
  Node.State.Settings.TargetAddress = targetAddress();
  auto Streams = std::vector<std::shared_ptr<event::stream>>();
  auto Answers = std::size_t{0};
  auto Target = event::listener::open(
      Node.Loop, Node.State.Settings.TargetAddress,
      [&](const std::shared_ptr<event::stream> &Stream) {
        auto *Raw = Stream.get();
        Stream->OnData = [&, Raw] {
          Raw->consume(Raw->input().size());
          Node.Loop.addTimer(Node.Loop.now() + micros(20'000), [&, Raw] {
            Raw->send("HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Load: " +
                      Loads[std::min(Answers++, Loads.size() - 1)] +
                      "\r\nResponse-Signature: s\r\nContent-Length: 0\r\n\r\n");
          });
        };
        Streams.push_back(Stream);
      });
  cr_assert(isOk(Target));
  auto End = std::string("none");
  std::function<void(std::uint64_t)> Run = [&](std::uint64_t Number) {
    auto IsUrgent = Number > Loads.size();
    auto Forward = admission_fixture::forward(micros(3'000'000));
    Forward.TimeToStartOnTime = micros(IsUrgent ? 10'000 : 2'000'000);
    Forward.TimeToLatestStart =
        IsUrgent ? TimeToLatestStart : Forward.TimeToStartOnTime;
    Forward.Call = {Number};
    Forward.Request.Method = "POST";
    Forward.Request.Target = "/a/";
    Forward.Request.Headers = {{"Request-Id", "r-1"}};
    Node.Admission.submit({{"node-2"}, {1}, {Number}}, Forward,
                          [&, Number, IsUrgent](const auto &Reply) {
                            End = Reply.Outcome == reply_outcome::Answered
                                      ? "answered"
                                      : Reply.Reason;
                            Node.Loop.defer([&, Number, IsUrgent] {
                              IsUrgent ? Node.Loop.stop() : Run(Number + 1);
                            });
                          });
  };
  Run(1);
  Node.Loop.addTimer(Node.Loop.now() + micros(5'000'000),
                     [&Node] { Node.Loop.stop(); });
  Node.Loop.run();
  return End;
}

// Guards against a call that is late because it runs on a machine that is slow
// at this moment while others are not, and against one that is refused
// everywhere although it could still meet its deadline.
Test(sidecar_admission, call_that_would_be_late_now_is_refused) {
  auto Loads = std::vector<std::string>(10, "1,0,1,100");
  Loads.insert(Loads.end(), 3, "1,0,1,250");
  auto Slow = admission_fixture();
  cr_assert_str_eq(
      endOfUrgentCall(Slow, Loads, dispatch::MinTimeToStart).c_str(),
      "target slow now");
  cr_assert_eq(Slow.Admission.load().Concurrency, 1U);
  cr_assert_gt(Slow.Admission.load().WorkPercent, 100U);
  auto LastAttempt = admission_fixture();
  cr_assert_str_eq(
      endOfUrgentCall(LastAttempt, Loads, micros(1'000'000)).c_str(),
      "answered");
}

// Guards against another behaviour where targets report no or malformed work
// figures.
Test(sidecar_admission, target_without_work_figures_is_used_as_before) {
  for (const auto *Load : {"1,0,1", "1,0,1,0", "1,0,1,250,1", "1,0,1,1e400"}) {
    auto Node = admission_fixture();
    auto Loads = std::vector<std::string>(4, Load);
    cr_assert_str_eq(
        endOfUrgentCall(Node, Loads, dispatch::MinTimeToStart).c_str(),
        "answered");
    cr_assert_eq(Node.Admission.load().Concurrency, 0U);
    cr_assert_eq(Node.Admission.load().WorkPercent, 0U);
    cr_assert_eq(Node.State.Counters.BadInput["target"],
                 std::string_view(Load) == "1,0,1" ? 0U : 5U);
  }
}
