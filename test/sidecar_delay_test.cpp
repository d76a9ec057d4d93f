/** @file sidecar_delay_test.cpp Tests of messages that a paused process or a
 * link delivers seconds late. */
#include "sidecar_sim.h"

#include <criterion/criterion.h>

using namespace sycamorelb;
using namespace sycamorelb::sim;

/** Time in which a mesh starts and its targets become ready. */
static constexpr auto StartTime = micros(6'000'000);
/** Interval of the calls. */
static constexpr auto CallGap = micros(5'000);
/** Time limit of the routes. */
static constexpr auto CallTimeout = micros(500'000);
/** Error of the estimated transit time: the fastest message took no time. */
static constexpr auto TransitError = micros(20'000);

/** Sends calls to node 1 for a while. */
static void playCalls(mesh_sim &Mesh, micros Length) {
  for (auto End = Mesh.now() + Length; Mesh.now() < End;) {
    Mesh.startCall(0, 1, [](int) {});
    Mesh.run(CallGap);
  }
}

// Guards against a node that runs a call whose deadline passed while the
// message was held up: neither the clock of the sender nor the time left in the
// message tells how long that took.
Test(sidecar_delay, call_that_arrives_after_its_deadline_does_not_run) {
  auto Mesh = mesh_sim(1, 2);
  Mesh.startTargets();
  Mesh.run(StartTime);
  // One target alone is too slow for all calls.
  Mesh.target(0).RunTime = micros(100'000);
  Mesh.target(1).RunTime = micros(100'000);
  playCalls(Mesh, micros(2'000'000));
  auto Before = Mesh.target(1).Arrivals.size();
  cr_assert_gt(Before, 20U, "%zu calls went to the other node", Before);
  for (auto Hold : {micros(300'000), micros(700'000), micros(1'000'000)}) {
    Mesh.setCut(0, 1, true);
    playCalls(Mesh, Hold);
    Mesh.setCut(0, 1, false);
    playCalls(Mesh, micros(2'000'000));
  }
  cr_assert_gt(Mesh.target(1).Arrivals.size(), Before);
  for (const auto &Arrival : Mesh.target(1).Arrivals) {
    auto Age = Arrival.At - Arrival.SentAt;
    cr_assert_leq(Age.count(), (CallTimeout + TransitError).count(),
                  "a call ran %lld us after it was sent",
                  static_cast<long long>(Age.count()));
  }
}
