/** @file sidecar_target_test.cpp Tests of what targets say of themselves in
 * their answers: a limit of calls per second, and that they leave. */
#include "sidecar_sim.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace sycamorelb;
using namespace sycamorelb::sim;

/** Time in which a mesh starts and its targets become ready. */
static constexpr auto StartTime = micros(6'000'000);
/** Length of the span in which calls for a limited target are counted. */
static constexpr auto LimitWindow = micros(4'000'000);
/** Time after which a caller's node is bound by an answer that it passed on. */
static constexpr auto ToldDelay = micros(500'000);
/** Time after a notice of leaving at which no new call may reach a target. */
static constexpr auto DrainTime = micros(2'000'000);

/** Sends calls to all nodes in turn, CallsPerSecond in all. */
static void playCalls(mesh_sim &Mesh, int CallsPerSecond, micros Length) {
  auto Gap = micros(1'000'000 / CallsPerSecond);
  auto End = Mesh.now() + Length;
  for (auto Call = 0; Mesh.now() < End; ++Call) {
    Mesh.startCall(Call % Mesh.nodeCount(), 1, [](int) {});
    Mesh.run(Gap);
  }
}

/** @return the most calls that a target got in LimitWindow from nodes that had
 * passed on an answer ToldDelay before. */
static auto mostCallsInWindow(const target_stand_in &Target) -> std::size_t {
  auto Times = std::vector<steady_time>();
  for (const auto &Arrival : Target.Arrivals) {
    auto Told = Target.ToldAt.find(Arrival.Origin);
    if (Told != Target.ToldAt.end() &&
        Arrival.SentAt >= Told->second + ToldDelay) {
      Times.push_back(Arrival.At);
    }
  }
  auto Most = std::size_t{0};
  for (auto First = Times.begin(); First != Times.end(); ++First) {
    auto Last = std::lower_bound(First, Times.end(), *First + LimitWindow);
    Most = std::max(Most, static_cast<std::size_t>(Last - First));
  }
  return Most;
}

// Regression test (incident target-limit): a target that named a limit got
// several times as many calls.
Test(sidecar_target, limit_named_in_answers_is_kept) {
  auto Mesh = mesh_sim(1, 3);
  Mesh.startTargets();
  Mesh.run(StartTime);
  playCalls(Mesh, 60, micros(2'000'000));
  Mesh.target(0).Headers = {{"Server-Limit", "5.5"}};
  playCalls(Mesh, 60, micros(12'000'000));
  auto Most = mostCallsInWindow(Mesh.target(0));
  // One and a half times the limit, and 5 calls.
  cr_assert_leq(Most, 38U, "%zu calls in 4 s", Most);
  cr_assert_geq(Most, 15U, "the limit is not used: %zu calls in 4 s", Most);
  // An answer without a limit ends it.
  Mesh.target(0).Headers = {};
  playCalls(Mesh, 60, micros(6'000'000));
  auto Before = Mesh.target(0).Arrivals.size();
  playCalls(Mesh, 60, micros(4'000'000));
  cr_assert_geq(Mesh.target(0).Arrivals.size() - Before, 50U);
}

// Regression test (incident target-limit): a target that said in its answers
// that it leaves got new calls as long as its heartbeats said that it is ready.
Test(sidecar_target, target_that_says_it_leaves_gets_no_new_calls) {
  auto Mesh = mesh_sim(1, 3);
  Mesh.startTargets();
  Mesh.run(StartTime);
  playCalls(Mesh, 60, micros(2'000'000));
  auto &Target = Mesh.target(0);
  Target.Headers = {{"Server-Leaving", "1"}};
  playCalls(Mesh, 60, micros(8'000'000));
  auto Late = std::count_if(Target.Arrivals.begin(), Target.Arrivals.end(),
                            [&Target](const target_arrival &Arrival) {
                              auto Told = Target.ToldAt.find(Arrival.Origin);
                              return Told != Target.ToldAt.end() &&
                                     Arrival.SentAt > Told->second + DrainTime;
                            });
  cr_assert_eq(Late, 0, "%d late calls", static_cast<int>(Late));
  cr_assert(!Target.ToldAt.empty(), "the target got no call at all");
}
