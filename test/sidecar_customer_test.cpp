/** @file sidecar_customer_test.cpp Tests of customers' keys in a mesh. */
#include "sidecar_sim.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace sycamorelb;
using namespace sycamorelb::sim;

/** Time in which the nodes find each other and their targets. */
static constexpr auto StartTime = micros(9'000'000);
/** Time after which a configuration must be in force on every node. */
static constexpr auto ApplyBound = micros(2'000'000);

/** @return all values of a header, one a line. */
static auto valuesOf(const proxy::header_list &Headers, std::string_view Name)
    -> std::string {
  auto Values = std::string();
  for (const auto &Field : Headers) {
    Values += Field.Name == Name ? Field.Value + "\n" : "";
  }
  return Values;
}

/** @return the headers of the last call that arrived at any target. */
static auto lastArrival(mesh_sim &Mesh) -> proxy::header_list {
  auto Last = target_arrival();
  for (auto Node = 0; Node < Mesh.nodeCount(); ++Node) {
    for (const auto &Arrival : Mesh.target(Node).Arrivals) {
      Last = Arrival.At >= Last.At ? Arrival : Last;
    }
  }
  return Last.Headers;
}

static auto callWith(mesh_sim &Mesh, int Node, int Version,
                     proxy::header_list Headers) -> int {
  Mesh.CallerHeaders = std::move(Headers);
  return Mesh.call(Node, Version);
}

static auto bearer(const std::string &Key) -> proxy::header_list {
  return {{"authorization", "bearer " + Key}, {"Tenant-Name", "forged"}};
}

// Guards against a key or a forged name that reaches a target, on the entry
// node's own target and on that of another node, and against calls without a
// valid key that are run.
Test(sidecar_customer, only_customers_are_served) {
  auto Mesh = mesh_sim(1, 2);
  Mesh.Customers = {{"pulo", {"key1", "key2"}}};
  auto Closed = Mesh.publishConfig();
  Mesh.startTarget(1);
  Mesh.run(StartTime);
  for (auto Node : {0, 1}) {
    cr_assert_eq(callWith(Mesh, Node, Closed, bearer("key2")), 200);
    auto Headers = lastArrival(Mesh);
    cr_assert_eq(valuesOf(Headers, "Tenant-Name"), "pulo\n");
    cr_assert_eq(valuesOf(Headers, "authorization"), "");
    auto Arrivals = Mesh.target(1).Arrivals.size();
    cr_assert_eq(callWith(Mesh, Node, Closed, {}), 401);
    cr_assert_eq(callWith(Mesh, Node, Closed, bearer("key3")), 401);
    cr_assert_eq(callWith(Mesh, Node, Closed, {{"Authorization", ""}}), 401);
    cr_assert_eq(callWith(Mesh, Node, Closed + 1, bearer("key3")), 404);
    cr_assert_eq(Mesh.target(1).Arrivals.size(), Arrivals);
  }
  Mesh.AllowAnonymous = true;
  auto Open = Mesh.publishConfig();
  Mesh.run(ApplyBound);
  for (auto Node : {0, 1}) {
    cr_assert_eq(callWith(Mesh, Node, Open, {{"Tenant-Name", "forged"}}), 200);
    cr_assert_eq(valuesOf(lastArrival(Mesh), "Tenant-Name"), "");
    cr_assert_eq(callWith(Mesh, Node, Open, bearer("key3")), 401);
  }
}

// Guards against a deployment without customers that loses these headers.
Test(sidecar_customer, without_customers_nothing_changes) {
  auto Mesh = mesh_sim(1, 2);
  Mesh.startTarget(1);
  Mesh.run(StartTime);
  cr_assert_eq(callWith(Mesh, 0, 1, bearer("any")), 200);
  auto Headers = lastArrival(Mesh);
  cr_assert_eq(valuesOf(Headers, "authorization"), "bearer any\n");
  cr_assert_eq(valuesOf(Headers, "Tenant-Name"), "forged\n");
}

// Guards against a node that accepts a removed key, or refuses an added one,
// after the time in which a configuration must be in force.
Test(sidecar_customer, key_changes_are_in_force_in_time) {
  auto Mesh = mesh_sim(2, 3);
  Mesh.Customers = {{"pulo", {"old"}}};
  Mesh.publishConfig();
  Mesh.startTargets();
  Mesh.run(StartTime);
  Mesh.Customers = {{"pulo", {"new"}}};
  auto Version = Mesh.publishConfig();
  Mesh.run(ApplyBound);
  for (auto Node = 0; Node < Mesh.nodeCount(); ++Node) {
    cr_assert_eq(callWith(Mesh, Node, Version, bearer("old")), 401);
    cr_assert_eq(callWith(Mesh, Node, Version, bearer("new")), 200);
  }
}
