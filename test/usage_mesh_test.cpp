/** @file usage_mesh_test.cpp Usage reports of a whole mesh in simulated time.
 */
#include "sidecar_sim.h"

#include <criterion/criterion.h>
#include <unistd.h>

using namespace sycamorelb;
using namespace sycamorelb::sim;

static constexpr auto Second = micros(1'000'000);
static constexpr auto UsageTopic = "keyed.sycamorelb-usage";
static constexpr auto Customers = 8;

namespace {

/** Stand-in of the platform that takes reports. */
struct platform_stand_in {
  using connection = std::shared_ptr<http::server_connection>;
  std::unique_ptr<event::listener> Listener;
  std::set<connection> Connections;
  std::vector<http::request> Requests;
  int Status = 200;

  void listen(event::loop &Loop, const event::endpoint &Address) {
    auto Opened = event::listener::open(
        Loop, Address, [this](std::shared_ptr<event::stream> Stream) {
          auto Connection = http::server_connection::create(
              std::move(Stream), http::server_options(),
              [this](const connection &Caller, http::exchange_number Exchange,
                     const http::request &Request) {
                Requests.push_back(Request);
                Caller->respond(Exchange, {Status, "", {}, ""}, false);
              });
          Connection->OnClosed = [this, Weak = std::weak_ptr(Connection)] {
            Connections.erase(Weak.lock());
          };
          Connections.insert(Connection);
        });
    cr_assert(isOk(Opened), "the platform can't listen");
    Listener = std::move(valueOf(Opened));
  }
  /** @return the calls of all reports since the given one. */
  auto calls(std::size_t From) const -> int {
    auto Sum = 0;
    for (auto Index = From; Index < Requests.size(); ++Index) {
      auto Json = nlohmann::json::parse(Requests[Index].Body);
      for (const auto &[Customer, Calls] : Json["counts"].items()) {
        Sum += Calls.get<int>();
      }
    }
    return Sum;
  }
};

/** Address of the platform; tests run in processes of their own. */
auto platformAddress() -> event::endpoint {
  auto Process = static_cast<unsigned>(::getpid());
  return {"127." + std::to_string(1 + Process / 250 % 250) + "." +
              std::to_string(Process % 250) + ".230",
          7300};
}

auto usageSettings() -> sidecar::usage_settings {
  auto Usage = sidecar::usage_settings();
  Usage.Window = millis(5000);
  Usage.Address = platformAddress();
  return Usage;
}

/** A mesh of two zones with targets, and the platform. */
struct usage_run {
  mesh_sim Mesh{2, 3, true, usageSettings()};
  platform_stand_in Platform;
  std::vector<std::shared_ptr<event::stream>> Links;
  std::uint64_t NextCall = 1;

  usage_run() {
    Platform.listen(Mesh.loop(), platformAddress());
    // Without customers in the configuration nothing is reported.
    Mesh.Customers = {{"customer-0", {"key"}}};
    Mesh.publishConfig();
    Mesh.startTargets();
    Mesh.run(25 * Second);
    for (auto Node = 0; Node < Mesh.nodeCount(); ++Node) {
      Links.push_back(event::stream::connect(
          Mesh.loop(), Mesh.peerAddress(Node), millis(1000)));
      auto Opened = inner::opened_message();
      Opened.Sender.Node = {"caller"};
      Opened.Sender.Zone = {"zone-1"};
      Opened.Sender.Peer = {platformAddress().Host, 7301};
      Opened.Sender.Incarnation = 1;
      Opened.Sender.Process = {4711};
      Opened.Sender.Leaving = true;
      Links.back()->send(inner::encodeMeshMessage(Opened, Mesh.now()));
    }
  }
  /** Sends a call of a customer to the target of each node every 100 ms, as an
   * entry node does.
   * @return the number of calls. */
  auto call(micros Time) -> int {
    auto Calls = 0;
    for (auto Until = Mesh.now() + Time; Mesh.now() < Until;) {
      for (const auto &Link : Links) {
        auto Forward = inner::forward_message();
        Forward.Call = {NextCall++};
        Forward.Service = {"svc"};
        Forward.Version = {"v1"};
        Forward.Route = {"v1"};
        Forward.Customer = {"customer-" + std::to_string(Calls % Customers)};
        Forward.Kind = mesh::call_kind::Idempotent;
        Forward.TimeToLatestStart = Forward.TimeLeft = Second;
        Forward.TimeToStartOnTime = Second;
        Forward.Request.Method = "GET";
        Forward.Request.Target = Forward.Request.Path = "/v1/x";
        auto Id = "0-" + std::to_string(Mesh.now().time_since_epoch().count());
        Forward.Request.Headers = {{"Host", "sim"}, {"Request-Id", Id}};
        Link->send(inner::encodeMeshMessage(Forward, Mesh.now()));
        Link->consume(Link->input().size());
        ++Calls;
      }
      Mesh.run(micros(100'000));
    }
    return Calls;
  }
  /** @return the number of calls that reached targets. */
  auto arrivals() -> int {
    auto Sum = std::size_t{0};
    for (auto Node = 0; Node < Mesh.nodeCount(); ++Node) {
      Sum += Mesh.target(Node).Arrivals.size();
    }
    return static_cast<int>(Sum);
  }
};

} // namespace

// Guards against calls that are counted twice or not at all, reports by several
// nodes, reports that weren't recorded before, and needless calls to the store.
Test(usage_mesh, one_holder_reports_every_call_once) {
  auto Run = usage_run();
  auto First = Run.Platform.Requests.size();
  cr_assert_gt(First, 0U, "no report in the first 25 s");
  auto Records = Run.Mesh.store().valuesOf(UsageTopic, "usage").size();
  auto Lists = Run.Mesh.store().Calls["/log-newest"];
  auto Sent = Run.call(20 * Second);
  Run.Mesh.run(10 * Second);
  cr_assert_geq(Run.arrivals(), Sent * 9 / 10, "%d of %d calls arrived",
                Run.arrivals(), Sent);
  cr_assert_eq(Run.Platform.calls(First), Run.arrivals(),
               "%d of %d calls reported", Run.Platform.calls(First),
               Run.arrivals());
  auto Reports = Run.Platform.Requests.size() - First;
  cr_assert_eq(Reports, 6U, "%zu reports in 30 s", Reports);
  cr_assert_eq(Run.Mesh.store().valuesOf(UsageTopic, "usage").size() - Records,
               Reports);
  cr_assert_eq(Run.Mesh.store().Calls["/log-newest"], Lists);
  auto Holders = std::set<std::string>();
  for (const auto &Request : Run.Platform.Requests) {
    cr_assert_eq(Request.Method, "POST");
    cr_assert_eq(Request.Path, "/usage");
    for (const auto &[Name, Value] : Request.Headers) {
      if (Name == "Duty-Holder") {
        Holders.insert(Value);
      }
    }
  }
  cr_assert_eq(Holders.size(), 1U, "%zu holders", Holders.size());
}

// Guards against reports that end with their holder: it stops in good order.
Test(usage_mesh, another_node_takes_over_from_a_stopped_holder) {
  auto Run = usage_run();
  auto Name = Run.Mesh.state(0)["usage"]["holder"].get<std::string>(); // node-N
  auto Stopped = false;
  Run.Mesh.stopNode(std::stoi(Name.substr(5)) - 1,
                    [&Stopped] { Stopped = true; });
  Run.Mesh.run(25 * Second);
  cr_assert(Stopped);
  auto Before = Run.Platform.Requests.size();
  Run.Mesh.run(15 * Second);
  cr_assert_eq(Run.Platform.Requests.size() - Before, 3U);
}

// Guards against reports of a deployment whose settings don't ask for them.
Test(usage_mesh, nothing_is_reported_without_settings) {
  auto Mesh = mesh_sim(1, 3, true);
  Mesh.run(20 * Second);
  cr_assert(Mesh.store().valuesOf(UsageTopic, "usage").empty());
  cr_assert_not(Mesh.state(0).contains("usage"));
}
