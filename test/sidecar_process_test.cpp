/** @file sidecar_process_test.cpp Tests of nodes that learn while they run that
 * a previous process had a greater incarnation, as its clock was ahead. */
#include "sidecar_sim.h"

#include <criterion/criterion.h>

using namespace sycamorelb;
using namespace sycamorelb::sim;

/** Time in which a mesh starts and its targets become ready. */
static constexpr auto StartTime = micros(6'000'000);
/** Incarnation of the previous process; nodes of a simulation have 1. */
static constexpr auto PreviousIncarnation = std::uint64_t{5};

namespace {

/** A mesh in which some nodes have a target, which runs calls for 300 ms. */
struct process_run {
  mesh_sim Mesh{1, 3};
  int Version = 0;

  process_run(const std::string &Kind, const std::vector<int> &Targets) {
    Mesh.RouteKind = Kind;
    Mesh.RouteTimeout = "2s";
    Mesh.CallerPatience = micros(3'000'000);
    Version = Mesh.publishConfig();
    for (auto Node : Targets) {
      Mesh.target(Node).RunTime = micros(300'000);
      Mesh.startTarget(Node);
    }
    Mesh.run(StartTime);
    // Opens the connections between the nodes.
    for (auto Count = 0; Count < 4; ++Count) {
      cr_assert_eq(Mesh.call(0, Version), 200);
    }
  }

  auto arrivals() -> std::size_t {
    return Mesh.target(1).Arrivals.size() + Mesh.target(2).Arrivals.size();
  }
};

} // namespace

// Regression test (review/1): a call that isn't idempotent ran on a second
// target, as its node asked for the outcome under another name of its process
// than the one under which it had sent the call.
Test(sidecar_process, call_runs_once_if_the_incarnation_rises_meanwhile) {
  auto Run = process_run("non_idempotent", {1, 2});
  auto Before = Run.arrivals();
  auto Statuses = std::vector<int>();
  for (auto Count = 0; Count < 6; ++Count) {
    Run.Mesh.startCall(0, Run.Version,
                       [&](int Status) { Statuses.push_back(Status); });
    Run.Mesh.run(micros(5'000));
  }
  Run.Mesh.tellPreviousRecord(0, PreviousIncarnation);
  cr_assert_geq(Run.Mesh.state(0)["hosts"]["node-1"]["incarnation"],
                PreviousIncarnation);
  // The other target stays reachable, for a second run.
  Run.Mesh.resetConnections(1);
  Run.Mesh.run(micros(1'500'000));
  cr_assert_eq(Run.arrivals() - Before, 6U, "%zu runs of 6 calls",
               Run.arrivals() - Before);
  cr_assert(Statuses == std::vector<int>(6, 200));
}

// Guards against targets that go on with calls whose callers have left: the
// cancellation named the process in another way than the call.
Test(sidecar_process, local_call_is_cancelled_if_the_incarnation_rises) {
  auto Run = process_run("idempotent", {1});
  Run.Mesh.CallerPatience = micros(100'000);
  Run.Mesh.startCall(1, Run.Version, [](int) {});
  Run.Mesh.run(micros(20'000));
  cr_assert_eq(Run.Mesh.state(1)["target"]["running"], 1);
  Run.Mesh.tellPreviousRecord(1, PreviousIncarnation);
  Run.Mesh.run(micros(120'000));
  cr_assert_eq(Run.Mesh.state(1)["target"]["running"], 0);
}
