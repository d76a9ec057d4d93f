/** @file sidecar_stop_test.cpp Tests of the graceful shutdown of a node. */
#include "sidecar_sim.h"

#include <criterion/criterion.h>
#include <map>

using namespace sycamorelb;
using namespace sycamorelb::sim;

/** Time in which a mesh starts and its targets become ready. */
static constexpr auto StartTime = micros(6'000'000);
/** Interval of the calls to each node. */
static constexpr auto CallGap = micros(400'000);
/** Time after a stop signal until which callers send calls. */
static constexpr auto SendTime = micros(5'500'000);
/** More than the grace period. */
static constexpr auto PlayTime = micros(8'000'000);

// Guards against calls that a node takes late in its grace period and that are
// cut when its process ends, of its own callers and of other nodes.
Test(sidecar_stop, no_call_that_was_taken_is_cut) {
  auto Mesh = mesh_sim(1, 2);
  Mesh.RouteTimeout = "4s";
  Mesh.CallerPatience = micros(5'000'000);
  Mesh.startTargets();
  auto Version = Mesh.publishConfig();
  Mesh.run(StartTime);
  Mesh.target(0).RunTime = micros(3'200'000);
  Mesh.target(1).RunTime = micros(3'200'000);
  auto Open = 0;
  auto Statuses = std::map<int, int>();
  auto Stopped = false;
  auto CutCalls = 0;
  auto CutRuns = 0;
  Mesh.stopNode(0, [&] {
    Stopped = true;
    CutCalls = Open;
    CutRuns = Mesh.target(0).Running;
  });
  auto StopAt = Mesh.now();
  while (!Stopped && Mesh.now() < StopAt + PlayTime) {
    if (Mesh.now() < StopAt + SendTime) {
      ++Open;
      Mesh.startCall(0, Version, [&](int Status) {
        --Open;
        ++Statuses[Status];
      });
      Mesh.startCall(1, Version, [](int) {});
    }
    Mesh.run(CallGap);
  }
  cr_assert(Stopped, "the node does not stop");
  cr_assert_eq(CutCalls, 0, "%d calls are not answered", CutCalls);
  cr_assert_eq(CutRuns, 0, "%d calls are still at the target", CutRuns);
  cr_assert_geq(Statuses[200], 4, "early calls are not served");
  cr_assert_geq(Statuses[503], 5, "late calls are not refused");
  cr_assert_eq(Statuses.size(), 2U, "calls end in another way");
}

// Guards against an answer that is cut in the middle because its caller reads
// slowly and the process ends before all bytes are written.
Test(sidecar_stop, answers_are_written_to_the_end) {
  auto Mesh = mesh_sim(1, 2);
  Mesh.RouteTimeout = "4s";
  Mesh.startTargets();
  auto Version = Mesh.publishConfig();
  Mesh.run(StartTime);
  // More than the kernel holds for a connection.
  auto AnswerBytes = std::size_t{24} << 20U;
  Mesh.target(0).AnswerBytes = AnswerBytes;
  Mesh.target(1).AnswerBytes = AnswerBytes;
  auto Caller =
      event::stream::connect(Mesh.loop(), Mesh.callerAddress(0), millis(1000));
  auto Got = std::size_t{0};
  auto Closed = false;
  Caller->OnData = [&] {
    Got += Caller->input().size();
    Caller->consume(Caller->input().size());
    Caller->pauseReading(true);
  };
  Caller->OnClosed = [&](event::close_reason) { Closed = true; };
  Caller->send("GET /v" + std::to_string(Version) +
               "/x HTTP/1.1\r\nHost: sim\r\nRequest-Id: 0-1\r\n\r\n");
  Mesh.run(micros(500'000));
  cr_assert_gt(Got, 0U);
  cr_assert_lt(Got, AnswerBytes);
  auto Stopped = false;
  Mesh.stopNode(0, [&] { Stopped = true; });
  Mesh.run(micros(4'000'000));
  cr_assert_not(Stopped, "the process ends with an answer half written");
  cr_assert_not(Closed, "the connection is closed with an answer half written");
  Caller->pauseReading(false);
  Caller->OnData = [&] {
    Got += Caller->input().size();
    Caller->consume(Caller->input().size());
  };
  Mesh.run(micros(1'500'000));
  cr_assert(Stopped);
  cr_assert_gt(Got, AnswerBytes);
}
