/** @file node_ops_test.cpp Ops endpoints and gossip of complete nodes. */
#include "node_fixture.h"
#include "telemetry/table/metric_table.h"

#include <atomic>
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <thread>

using namespace sycamorelb;
using namespace sycamorelb::node_test;

// Guards against a node that reports ready without a configuration or after it
// lost contact with all peers and the log service.
Test(node_ops, readiness_follows_configuration_and_contact) {
  auto Mesh = mesh(1);
  cr_assert(Mesh.ops(0, "GET", "/healthz").Status == 200);
  cr_assert(Mesh.ops(0, "GET", "/readyz").Status == 503);
  Mesh.configure(0);
  cr_assert(
      eventually([&] { return Mesh.ops(0, "GET", "/readyz").Status == 200; }));
  Mesh.Log.setFaults({.Down = true});
  cr_assert(
      eventually([&] { return Mesh.ops(0, "GET", "/readyz").Status == 503; }));
  cr_assert(Mesh.ops(0, "GET", "/healthz").Status == 200);
}

// Guards against a metric that is declared but missing from the endpoint.
Test(node_ops, metrics_endpoint_lists_every_metric) {
  auto Mesh = mesh(1);
  auto Answer = Mesh.ops(0, "GET", "/metrics");
  cr_assert(Answer.Status == 200);
  for (const auto &Metric : telemetry::MetricTable) {
    cr_assert(Answer.Body.find(Metric.Name) != std::string::npos, "%s missing",
              Metric.Name);
  }
}

// Guards against malformed announcements that crash the process.
Test(node_ops, malformed_announcements_are_rejected) {
  auto Mesh = mesh(1);
  for (
      const auto *Body :
      {"", "[]", "{}", R"({"service":1,"address":2})",
       R"({"service":"s","version":"v1","address":7,"slots":1,"connections":1})",
       R"({"service":"s","version":"v1","address":"a","slots":-1,"connections":1})"}) {
    cr_assert(Mesh.ops(0, "PUT", "/announce", Body).Status == 400, "%s", Body);
    cr_assert(Mesh.ops(0, "DELETE", "/announce", Body).Status == 400 ||
                  std::string_view(Body).find("slots") !=
                      std::string_view::npos,
              "%s", Body);
  }
  cr_assert(Mesh.ops(0, "GET", "/healthz").Status == 200);
}

// Guards against a delayed announcement that reactivates a withdrawn upstream.
Test(node_ops, delayed_announcement_does_not_undo_a_withdrawal) {
  auto Mesh = mesh(1);
  const auto *Body = R"({"service":"s","version":"v1","address":"127.0.0.1:1",
                         "slots":4,"connections":8,"instance":"i1"})";
  auto State = [&Mesh] {
    auto Dump = nlohmann::json::parse(Mesh.ops(0, "GET", "/dump").Body);
    return Dump.at("local_upstreams").at(0).at("state").get<std::string>();
  };
  cr_assert(Mesh.ops(0, "PUT", "/announce", Body).Status == 204);
  cr_assert(State() == "cold");
  cr_assert(Mesh.ops(0, "DELETE", "/announce", Body).Status == 204);
  cr_assert(State() == "draining");
  cr_assert(Mesh.ops(0, "PUT", "/announce", Body).Status == 204);
  cr_assert(State() == "draining");
}

/** @return the sum of the samples of a metric in Prometheus text format. */
static auto sumOfSamples(const std::string &Text, const std::string &Name)
    -> double {
  auto Sum = 0.0;
  for (auto At = Text.find("\n" + Name); At != std::string::npos;
       At = Text.find("\n" + Name, At + 1)) {
    auto End = Text.find('\n', At + 1);
    Sum += std::stod(Text.substr(Text.rfind(' ', End) + 1));
  }
  return Sum;
}

// Guards against datagrams signed with an unknown key: they must be counted and
// must not change the members.
Test(node_ops, datagrams_without_key_are_counted_and_change_nothing) {
  auto Mesh = mesh(1);
  Mesh.configure(0);
  auto Foreign = mesh(0);
  Foreign.Settings = {Mesh.Settings[0]};
  auto &Settings = Foreign.Settings[0];
  choosePorts(Settings);
  Settings.Id = {"stranger"};
  Settings.InnerKeys[0].Secret = "another-key-of-16-bytes-or-more";
  Foreign.Nodes.resize(1);
  Foreign.start(0);
  cr_assert(eventually([&] {
    return sumOfSamples(Mesh.ops(0, "GET", "/metrics").Body,
                        "sycamorelb_datagrams_dropped") > 0;
  }));
  auto Status = Mesh.admin(0)->readStatus();
  cr_assert(isOk(Status));
  cr_assert(valueOf(Status).Nodes.size() == 1);
}

// Guards against use-after-free: handlers of the RPC loop must not use parts of
// a node that have been destroyed.
Test(node_ops, node_is_destroyed_during_operator_requests) {
  auto Mesh = mesh(2);
  auto Stopped = std::atomic<bool>{false};
  auto Threads = std::vector<std::thread>();
  for (auto Count = 0; Count < 3; ++Count) {
    Threads.emplace_back([&] {
      while (!Stopped) {
        auto Client = admin::admin_client::connect(
            "127.0.0.1:" + std::to_string(Mesh.Settings[0].Listen.AdminPort),
            {{Mesh.Settings[0].AdminKeys[0].Id,
              Mesh.Settings[0].AdminKeys[0].Secret}},
            millis(2000));
        while (!Stopped && isOk(Client) &&
               isOk(valueOf(Client)->findOutcome({"none"})) &&
               isOk(valueOf(Client)->dump())) {
        }
      }
    });
  }
  for (auto Round = 0; Round < 8; ++Round) {
    Mesh.destroy(0);
    Mesh.start(0);
    std::this_thread::sleep_for(millis(50));
  }
  Stopped = true;
  for (auto &Thread : Threads) {
    Thread.join();
  }
  cr_assert(Mesh.ops(0, "GET", "/healthz").Status == 200);
}

// Guards against two processes that serve with the same node id: the older one,
// on another host, must refuse calls when it learns of the newer one.
Test(node_ops, superseded_node_stops_serving) {
  auto Mesh = mesh(2);
  Mesh.addUpstream(1);
  Mesh.configure(1);
  cr_assert(Mesh.read(0).Status == 200);
  // For 10 s after its start, a node takes such a record for one of its own
  // previous process.
  std::this_thread::sleep_for(millis(10'500));
  Mesh.Settings.push_back(Mesh.Settings[0]);
  choosePorts(Mesh.Settings.back());
  Mesh.Nodes.emplace_back();
  Mesh.start(2);
  cr_assert(eventually([&] { return Mesh.Nodes[0]->drainRequested(); }));
  auto Answer = Mesh.read(0);
  cr_assert(Answer.Status == 0 || Answer.Outcome == "not-run");
  cr_assert(Mesh.ops(0, "GET", "/readyz").Status == 503);
  cr_assert(!Mesh.Nodes[2]->drainRequested());
}
