/** @file sidecar_state_test.cpp Tests of what operators' records change. */
#include "sidecar/node_state.h"

#include <criterion/criterion.h>

using namespace sycamorelb;
using namespace sycamorelb::sidecar;

static auto settings() -> node_settings {
  auto Settings = node_settings();
  Settings.Node = {"node-1"};
  Settings.Zone = {"zone-1"};
  Settings.Service = {"svc"};
  Settings.Peer = {"127.0.0.1", 7620};
  return Settings;
}

static void write(node_state &State, const std::string &Key,
                  std::uint64_t Offset, const std::string &Value) {
  auto Record = mesh::operator_record();
  Record.Key = Key;
  Record.Offset = {Offset};
  Record.Dropped = Value.empty();
  Record.Value = Value;
  State.Operator.merge(Record);
  applyOperatorKeys(State, {Key});
}

/** @return a configuration with one route to the given service. */
static auto config(int Version, const std::string &Service) -> std::string {
  return R"({"version":"r)" + std::to_string(Version) +
         R"(","resources":[{"resourceType":"services","metadata":{"name":"svc"},)"
         R"("specification":{"healthCheckPath":"/health","connectionLimit":9,)"
         R"("warmup":"3s","coldPerS":12.0}},)"
         R"({"resourceType":"routes","metadata":{"name":"r"},"specification":)"
         R"({"host":"h.example","pathPrefix":"/a/","kind":"idempotent",)"
         R"("timeout":"1200ms","targetLatency":"500ms","priority":1,)"
         R"("service":")" +
         Service + R"(","attempts":2}}]})";
}

// Guards against a version that is applied in part, or that goes back.
Test(sidecar_state, faulty_and_older_configurations_change_nothing) {
  auto Loop = event::loop();
  auto State = node_state(Loop, settings(), 1);
  write(State, "config", 0, config(4, "svc"));
  cr_assert_eq(State.Routes->config().Version.Value, 4U);
  auto Held = State.Routes;
  write(State, "config", 1, config(5, "unknown"));
  cr_assert_eq(State.Routes.get(), Held.get());
  write(State, "config", 2, "{\"version\":\"r6\",\"resources\":[{]}");
  cr_assert_eq(State.Routes.get(), Held.get());
  write(State, "config", 3, config(3, "svc"));
  cr_assert_eq(State.Routes.get(), Held.get());
  write(State, "config", 4, config(7, "svc"));
  cr_assert_eq(State.Routes->config().Version.Value, 7U);
  cr_assert_eq(State.Counters.BadInput["operator"], 2U);
}

// Guards against a zone that stays evacuated after the order was removed.
Test(sidecar_state, evacuation_ends_with_its_record) {
  auto Loop = event::loop();
  auto State = node_state(Loop, settings(), 1);
  write(State, "evacuate/zone-1", 3, "{}");
  cr_assert(State.Evacuated.contains({"zone-1"}));
  write(State, "evacuate/zone-1", 4, "");
  cr_assert(State.Evacuated.empty());
}

// Guards against what the incident inc-333a of dhaar-sewa showed: nodes that
// started after a completed move learned that it was completed before they
// learned of the order, forgot it, and gave the only version left a share of
// 4 in 100 for ten seconds.
Test(sidecar_state, progress_told_before_the_order_counts) {
  auto Loop = event::loop();
  auto State = node_state(Loop, settings(), 1);
  auto Told = rollout::rollout_state();
  Told.Order.Service = {"svc"};
  Told.Order.Version = {"v2"};
  Told.OrderOffset = {6};
  Told.Stage = rollout::rollout_stage::Completed;
  State.ToldProgress[{"svc"}] = Told;
  const auto Order =
      R"({"service":"svc","targetVersion":"v2","duration":"14s"})";
  write(State, "rollout/svc", 6, Order);
  cr_assert(State.Rollouts[{"svc"}].Stage == rollout::rollout_stage::Completed);
  cr_assert_eq(State.Rollouts[{"svc"}].Order.Duration.count(), 14'000);
  // A later order of the same version starts anew.
  write(State, "rollout/svc", 9, Order);
  cr_assert(State.Rollouts[{"svc"}].Stage == rollout::rollout_stage::Testing);
}

// Guards against an order without readable content that stops another one.
Test(sidecar_state, unreadable_order_changes_nothing) {
  auto Loop = event::loop();
  auto State = node_state(Loop, settings(), 1);
  write(State, "rollout/svc", 6, R"({"service":"svc","targetVersion":7})");
  cr_assert(State.Rollouts.empty());
}
