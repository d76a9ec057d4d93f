/** @file node_call_test.cpp Calls through complete nodes during failures. */
#include "node_fixture.h"
#include "proxy_fixture.h"

#include "sycamorelb/core/clock_func.h"

#include <atomic>
#include <criterion/criterion.h>
#include <thread>

using namespace sycamorelb;
using namespace sycamorelb::node_test;
using admin::outcome_kind;

/** Required time limit after which a zone out of service or a withdrawn
 * upstream receives no new work. */
static constexpr auto NoNewWorkAfter = millis(3000);

/** Runs Call repeatedly on Count threads until it is stopped or destroyed. */
class load_generator {
public:
  load_generator(std::size_t Count,
                 const std::function<void(std::size_t)> &Call) {
    for (auto Index = std::size_t{0}; Index < Count; ++Index) {
      Threads.emplace_back([this, Index, Call] {
        while (!Stopped) {
          Call(Index);
          ++Calls;
        }
      });
    }
  }
  ~load_generator() { stop(); }
  load_generator(const load_generator &) = delete;
  auto operator=(const load_generator &) -> load_generator & = delete;
  void stop() {
    Stopped = true;
    for (auto &Thread : Threads) {
      Thread.join();
    }
    Threads.clear();
  }
  auto calls() const -> std::size_t { return Calls; }

private:
  std::atomic<bool> Stopped{false};
  std::atomic<std::size_t> Calls{0};
  std::vector<std::thread> Threads;
};

// Guards against calls to a zone that was taken out of service when the log
// service fails right after it accepted the change (I6).
Test(node_call, zone_out_of_service_gets_no_new_calls_while_log_is_down) {
  auto Mesh = mesh(3);
  auto &InRemovedZone = Mesh.addUpstream(1);
  auto &InOtherZone = Mesh.addUpstream(2);
  Mesh.configure(2);
  auto Load =
      load_generator(4, [&](std::size_t Index) { Mesh.read(Index % 3); });
  cr_assert(eventually([&] { return InRemovedZone.counters().Started > 0; }));
  auto Outcome = Mesh.admin(0)->setZone({"out"}, {"z1"}, false);
  Mesh.Log.setFaults({.Down = true});
  cr_assert(isOk(Outcome));
  cr_assert(valueOf(Outcome).Kind == outcome_kind::Accepted);
  std::this_thread::sleep_for(NoNewWorkAfter);
  auto Started = InRemovedZone.counters().Started;
  auto Other = InOtherZone.counters().Started;
  cr_assert(eventually(
      [&] { return InOtherZone.counters().Started >= Other + 100; }));
  cr_assert(InRemovedZone.counters().Started == Started);
}

// Guards against new calls to an upstream that has withdrawn (I10).
Test(node_call, withdrawn_upstream_gets_no_new_calls) {
  auto Mesh = mesh(2);
  auto &Leaving = Mesh.addUpstream(0);
  auto &Staying = Mesh.addUpstream(1);
  Mesh.configure(2);
  auto Failed = std::atomic<int>{0};
  auto Load = load_generator(4, [&](std::size_t Index) {
    Failed += Mesh.read(Index % 2).Status == 200 ? 0 : 1;
  });
  cr_assert(eventually([&] { return Leaving.counters().Started > 0; }));
  auto Stop = std::thread([&] { Leaving.stop(millis(10'000)); });
  std::this_thread::sleep_for(NoNewWorkAfter);
  auto Started = Leaving.counters().Started;
  auto Other = Staying.counters().Started;
  cr_assert(
      eventually([&] { return Staying.counters().Started >= Other + 100; }));
  cr_assert(Leaving.counters().Started == Started);
  Stop.join();
  Load.stop();
  cr_assert(Failed == 0, "%d calls failed", Failed.load());
}

// Guards against calls that are aborted when a node shuts down gracefully
// (I11).
Test(node_call, drain_under_load_aborts_no_call) {
  auto Mesh = mesh(3);
  Mesh.addUpstream(1, "v1", 30);
  Mesh.addUpstream(2, "v1", 30);
  Mesh.configure(2);
  auto Aborted = std::atomic<int>{0};
  auto Completed = std::atomic<int>{0};
  auto Load = load_generator(6, [&](std::size_t Index) {
    auto Answer = Index % 2 == 0 ? Mesh.write(0) : Mesh.write(2);
    Completed += Answer.Status == 200 ? 1 : 0;
    Aborted += Answer.Status == 200 || Answer.Outcome == "not-run" ? 0 : 1;
  });
  cr_assert(eventually([&] { return Completed >= 50; }));
  cr_assert(Mesh.Nodes[1]->drain());
  Mesh.destroy(1);
  auto Before = Completed.load();
  cr_assert(eventually([&] { return Completed >= Before + 50; }));
  Load.stop();
  cr_assert(Aborted == 0, "%d calls were aborted", Aborted.load());
}

// Guards against idempotent calls that fail, and non-idempotent calls that run
// twice or run despite a "not-run" response, when a node fails (I8, I9).
Test(node_call, destroyed_node_loses_no_idempotent_call_and_repeats_none) {
  auto Mesh = mesh(3);
  auto &Lost = Mesh.addUpstream(1, "v1", 20);
  auto &Other = Mesh.addUpstream(2, "v1", 20);
  Mesh.configure(2);
  auto ReadsFailed = std::atomic<int>{0};
  auto WrongOutcomes = std::atomic<int>{0};
  auto Next = std::atomic<int>{0};
  auto Load = load_generator(6, [&](std::size_t Index) {
    if (Index % 2 == 0) {
      ReadsFailed += Mesh.read(0).Status == 200 ? 0 : 1;
      return;
    }
    auto Token = "t" + std::to_string(++Next);
    auto Answer = Mesh.write(0, "", Token);
    auto Runs = Lost.executions(Token) + Other.executions(Token);
    WrongOutcomes += Answer.Outcome == "not-run" && Runs != 0 ? 1 : 0;
    WrongOutcomes += Answer.Status == 200 && Runs != 1 ? 1 : 0;
  });
  cr_assert(eventually([&] { return Load.calls() > 100; }));
  Mesh.destroy(1);
  auto Before = Load.calls();
  cr_assert(eventually([&] { return Load.calls() > Before + 200; }));
  Load.stop();
  cr_assert(ReadsFailed == 0, "%d reads failed", ReadsFailed.load());
  cr_assert(WrongOutcomes == 0);
  cr_assert(Lost.counters().RepeatedTokens + Other.counters().RepeatedTokens ==
            0);
}

/** @return whether a repeated call got one of the documented refusals. */
static auto isRepeatRefused(const call_answer &Answer) -> bool {
  return (Answer.Status == 409 &&
          (Answer.Outcome == "completed" || Answer.Outcome == "unknown")) ||
         (Answer.Status == 503 && Answer.Outcome == "not-run");
}

// Guards against a call with an idempotency key that runs twice: when it is
// sent through two nodes at once, and when it is repeated after one of them
// restarted (I9).
Test(node_call, idempotency_key_runs_at_most_once) {
  auto Mesh = mesh(2);
  auto &First = Mesh.addUpstream(0);
  auto &Second = Mesh.addUpstream(1);
  Mesh.configure(2);
  auto Runs = [&](const std::string &Token) {
    return First.executions(Token) + Second.executions(Token);
  };
  for (auto Round = 0; Round < 8; ++Round) {
    auto Key = "key-" + std::to_string(Round);
    auto Answers = std::vector<call_answer>(2);
    auto Threads = std::vector<std::thread>();
    for (auto Index : {0U, 1U}) {
      Threads.emplace_back(
          [&, Index] { Answers[Index] = Mesh.write(Index, Key, Key); });
    }
    for (auto &Thread : Threads) {
      Thread.join();
    }
    auto Succeeded = 0;
    for (const auto &Answer : Answers) {
      Succeeded += Answer.Status == 200 ? 1 : 0;
      cr_assert(Answer.Status == 200 || isRepeatRefused(Answer));
    }
    cr_assert(Succeeded == static_cast<int>(Runs(Key)));
    // If neither call was granted the claim, a repeated call must still run.
    cr_assert(eventually([&] {
      return Runs(Key) > 0 || Mesh.write(0, Key, Key).Status == 200;
    }));
    cr_assert(Runs(Key) == 1);
  }
  Mesh.destroy(0);
  Mesh.start(0);
  cr_assert(Mesh.waitForVersion(0, Mesh.version(1)));
  cr_assert(Mesh.waitForUpstreams(0, 2));
  for (auto Index : {0U, 1U}) {
    auto Answer = Mesh.write(Index, "key-0", "key-0");
    cr_assert(isRepeatRefused(Answer));
  }
  cr_assert(Runs("key-0") == 1);
  cr_assert(First.counters().RepeatedKeys + Second.counters().RepeatedKeys ==
            0);
}

// Guards against a call with an idempotency key that runs without a recorded
// claim (I8).
Test(node_call, call_with_key_is_refused_as_not_run_while_log_is_down) {
  auto Mesh = mesh(2);
  auto &Upstream = Mesh.addUpstream(0);
  Mesh.configure(1);
  Mesh.Log.setFaults({.Down = true});
  for (auto Index : {0U, 1U}) {
    auto Answer = Mesh.write(Index, "key", "key");
    cr_assert(Answer.Status == 503, "status %d", Answer.Status);
    cr_assert(Answer.Outcome == "not-run");
  }
  cr_assert(Upstream.executions("key") == 0);
  cr_assert(Mesh.write(1).Status == 200);
}

// Guards against an idempotency key that stays held for an hour although its
// call did not start, because the caller disconnected while the claim was being
// appended.
Test(node_call, claim_of_call_that_did_not_start_is_released) {
  auto Mesh = mesh(1);
  auto &Upstream = Mesh.addUpstream(0);
  Mesh.configure(1);
  Mesh.Log.setFaults({.Stall = millis(600)});
  {
    auto Caller = proxy_test::raw_client(Mesh.Settings[0].Listen.CallerPort);
    Caller.send("POST /write HTTP/1.1\r\nHost: test\r\nContent-Length: 0\r\n"
                "Idempotency-Key: key\r\nx-token: key\r\n\r\n");
    std::this_thread::sleep_for(millis(150));
  }
  std::this_thread::sleep_for(millis(300));
  Mesh.Log.setFaults({});
  cr_assert(eventually([&] {
    return Mesh.write(0, "key", "key").Status == 200 ||
           Upstream.executions("key") > 0;
  }));
  cr_assert(Upstream.executions("key") == 1);
}
