/** @file sidecar_start_test.cpp Tests of many nodes that start at once: they
 * find each other, and the store gets few calls from each. */
#include "sidecar_sim.h"

#include <criterion/criterion.h>

using namespace sycamorelb;
using namespace sycamorelb::sim;

/** Time from the start of the nodes to that of the traffic. */
static constexpr auto LeadTime = micros(8'000'000);
/** Time after its acknowledgement at which a configuration must be in force. */
static constexpr auto ApplyBound = micros(2'000'000);

/** Checks that each node knows all nodes and follows the configuration. */
static void expectCompleteMesh(mesh_sim &Mesh) {
  for (auto Node = 0; Node < Mesh.nodeCount(); ++Node) {
    auto State = Mesh.state(Node);
    cr_assert_eq(State["hosts"].size(),
                 static_cast<std::size_t>(Mesh.nodeCount()),
                 "node %d knows %zu hosts", Node + 1, State["hosts"].size());
    for (const auto &[Name, Host] : State["hosts"].items()) {
      cr_assert_eq(Host["service"].get<std::string>().empty(), false);
    }
  }
  auto Version = Mesh.publishConfig();
  Mesh.run(ApplyBound);
  for (auto Node = 0; Node < Mesh.nodeCount(); ++Node) {
    cr_assert_eq(Mesh.call(Node, Version), 200, "node %d", Node + 1);
  }
}

// Guards against calls to the store that grow faster than the fleet. Each node
// appends its record and lists the topic once; besides, the operator's records
// are listed by the first nodes of each zone, and later by its readers.
Test(sidecar_start, fleet_makes_two_calls_a_node) {
  auto Mesh = mesh_sim(4, 10, true);
  Mesh.startTargets();
  Mesh.run(LeadTime);
  auto &Calls = Mesh.store().Calls;
  auto PerStart = Calls["/log-append"] + Calls["/log-newest"];
  cr_assert_eq(Calls["/log-append"], Mesh.nodeCount());
  cr_assert_leq(PerStart, 2 * Mesh.nodeCount() + 8 * 4, "%d calls", PerStart);
  expectCompleteMesh(Mesh);
}

// Guards against nodes that stay alone if the store was away while all started.
Test(sidecar_start, fleet_starts_while_the_store_is_away) {
  auto Mesh = mesh_sim(2, 4, true);
  for (auto Node = 0; Node < Mesh.nodeCount(); ++Node) {
    Mesh.store().setAccess(Node, Node % 2 == 0 ? store_access::Refused
                                               : store_access::Silent);
  }
  Mesh.startTargets();
  Mesh.run(LeadTime);
  for (auto Node = 0; Node < Mesh.nodeCount(); ++Node) {
    Mesh.store().setAccess(Node, store_access::Served);
  }
  Mesh.run(LeadTime);
  expectCompleteMesh(Mesh);
}
