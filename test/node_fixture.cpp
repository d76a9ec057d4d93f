/** @file node_fixture.cpp Nodes, a log service and upstreams in one
 * process for tests. */
#include "node_fixture.h"

#include "sycamorelb/core/clock_func.h"

#include <criterion/criterion.h>
#include <httplib.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace sycamorelb::node_test {

static const auto InnerKeys =
    std::vector<settings::secret_key>{{1, "inner-key-of-the-node-tests"}};
static const auto AdminKeys =
    std::vector<settings::secret_key>{{1, "admin-key-of-the-node-tests"}};

/** @return whether Port is free for the given socket type. */
static auto isFree(std::uint16_t Port, int Type) -> bool {
  auto Fd = socket(AF_INET, Type, 0);
  auto Address = sockaddr_in();
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto Bound = bind(Fd, reinterpret_cast<const sockaddr *>(&Address),
                    sizeof Address) == 0;
  close(Fd);
  return Bound;
}

/** @return a free port. Test processes run in parallel, so each starts at a
 * different port; the range is below the ephemeral ports of the kernel. */
static auto nextPort() -> std::uint16_t {
  static auto Next = 20'000U + static_cast<unsigned>(getpid()) % 300U * 40U;
  for (;;) {
    auto Port = static_cast<std::uint16_t>(Next++);
    if (isFree(Port, SOCK_STREAM) && isFree(Port, SOCK_DGRAM)) {
      return Port;
    }
  }
}

void choosePorts(settings::node_settings &Settings) {
  auto &Listen = Settings.Listen;
  for (auto *Port : {&Listen.CallerPort, &Listen.PeerPort, &Listen.InnerPort,
                     &Listen.AdminPort, &Listen.OpsPort}) {
    *Port = nextPort();
  }
}

static auto addressOf(std::uint16_t Port) -> std::string {
  return "127.0.0.1:" + std::to_string(Port);
}

auto eventually(const std::function<bool()> &Condition) -> bool {
  auto Deadline = steadyNow() + micros(20'000'000);
  while (!Condition()) {
    if (steadyNow() > Deadline) {
      return false;
    }
    std::this_thread::sleep_for(millis(20));
  }
  return true;
}

auto declarationText(int Timeout) -> std::string {
  auto Route = [Timeout](const char *Name, const char *Method,
                         bool Idempotent) {
    return nlohmann::json{{"name", Name},
                          {"service", "s"},
                          {"path_prefix", std::string("/") + Name},
                          {"methods", {Method}},
                          {"timeout_ms", Timeout},
                          {"idempotent", Idempotent},
                          {"max_attempts", 3},
                          {"retry_budget_percent", 100}};
  };
  auto Text = nlohmann::json{
      {"zones", {{"z0", {{"region", "r"}}}, {"z1", {{"region", "r"}}}}},
      {"services",
       {{"s", {{"versions", {"v1", "v2"}}, {"active_version", "v1"}}}}},
      {"routes", {Route("read", "GET", true), Route("write", "POST", false)}},
      {"moves", nlohmann::json::array()}};
  return Text.dump();
}

auto callPort(std::uint16_t Port, const std::string &Method,
              const std::string &Path, const call_headers &Headers,
              const std::string &Body) -> call_answer {
  auto Client = httplib::Client("127.0.0.1", Port);
  Client.set_read_timeout(20, 0);
  auto Request = httplib::Request();
  Request.method = Method;
  Request.path = Path;
  Request.body = Body;
  for (const auto &[Name, Value] : Headers) {
    Request.headers.emplace(Name, Value);
  }
  auto Result = Client.send(Request);
  if (!Result) {
    return {};
  }
  return {Result->status, Result->get_header_value("x-sycamore-outcome"),
          Result->body};
}

mesh::mesh(std::size_t Count) : Log(standin::log_service_options()) {
  for (auto Index = std::size_t{0}; Index < Count; ++Index) {
    auto Node = settings::node_settings();
    Node.Id = {"n" + std::to_string(Index)};
    Node.Zone = {"z" + std::to_string(Index % 2)};
    Node.Region = {"r"};
    choosePorts(Node);
    Node.Log.Address = addressOf(Log.port());
    Node.Timing.Heartbeat = millis(250);
    Node.Timing.SuspicionTimeout = millis(1000);
    Node.Timing.FullExchange = millis(2000);
    Node.Proxy.CallerThreads = 16;
    Node.Proxy.PeerThreads = 16;
    Node.InnerKeys = InnerKeys;
    Node.AdminKeys = AdminKeys;
    Settings.push_back(Node);
  }
  for (auto &Node : Settings) {
    for (const auto &Other : Settings) {
      Node.Seeds.push_back(addressOf(Other.Listen.InnerPort));
    }
  }
  Nodes.resize(Count);
  for (auto Index = std::size_t{0}; Index < Count; ++Index) {
    start(Index);
  }
}

void mesh::start(std::size_t Index) {
  auto Started = node::node::start(Settings[Index]);
  cr_assert(isOk(Started), "node did not start");
  Nodes[Index] = std::move(valueOf(Started));
}

auto mesh::addUpstream(std::size_t Index, const std::string &Version,
                       double ServiceMs) -> standin::upstream_server & {
  auto Options = standin::upstream_options();
  Options.Service = "s";
  Options.Version = Version;
  Options.Announce = "http://" + addressOf(Settings[Index].Listen.OpsPort);
  Options.Behaviour.ServiceMs = ServiceMs;
  Options.Behaviour.WarmMs = 0;
  Upstreams.push_back(std::make_unique<standin::upstream_server>(Options));
  cr_assert(isOk(Upstreams.back()->start()));
  return *Upstreams.back();
}

auto mesh::admin(std::size_t Index) const
    -> std::unique_ptr<admin::admin_client> {
  auto Client = admin::admin_client::connect(
      addressOf(Settings[Index].Listen.AdminPort),
      {{AdminKeys[0].Id, AdminKeys[0].Secret}}, millis(15'000));
  cr_assert(isOk(Client), "admin port does not respond");
  return std::move(valueOf(Client));
}

auto mesh::apply(std::size_t Index, const std::string &Request,
                 int Timeout) const -> admin::outcome {
  auto Outcome =
      admin(Index)->apply({Request}, declarationText(Timeout), "test.json");
  cr_assert(isOk(Outcome));
  return valueOf(Outcome);
}

auto mesh::version(std::size_t Index) const -> std::uint64_t {
  auto Status = admin(Index)->readStatus();
  return isOk(Status) ? valueOf(Status).ConfigVersion.Value : 0;
}

auto mesh::waitForVersion(std::size_t Index, std::uint64_t Version) const
    -> bool {
  return eventually([&] { return version(Index) == Version; });
}

auto mesh::waitForUpstreams(std::size_t Index, std::size_t Count) const
    -> bool {
  return eventually([&] {
    auto Status = admin(Index)->readStatus();
    auto Found = std::size_t{0};
    for (const auto &Node : valueOf(Status).Nodes) {
      for (const auto &Upstream : Node.Upstreams) {
        Found += Upstream.State != "draining" ? 1 : 0;
      }
    }
    return Found == Count;
  });
}

void mesh::configure(std::size_t Count) {
  auto Outcome = apply(0, "configure");
  cr_assert(Outcome.Kind == admin::outcome_kind::Accepted);
  for (auto Index = std::size_t{0}; Index < Nodes.size(); ++Index) {
    cr_assert(waitForVersion(Index, Outcome.Version.Value));
    cr_assert(waitForUpstreams(Index, Count));
  }
}

auto mesh::read(std::size_t Index) const -> call_answer {
  return callPort(Settings[Index].Listen.CallerPort, "GET", "/read");
}

auto mesh::write(std::size_t Index, const std::string &Key,
                 const std::string &Token) const -> call_answer {
  auto Headers = call_headers();
  if (!Key.empty()) {
    Headers.emplace("Idempotency-Key", Key);
  }
  if (!Token.empty()) {
    Headers.emplace("x-token", Token);
  }
  return callPort(Settings[Index].Listen.CallerPort, "POST", "/write", Headers,
                  "x");
}

auto mesh::ops(std::size_t Index, const std::string &Method,
               const std::string &Path, const std::string &Body) const
    -> call_answer {
  return callPort(Settings[Index].Listen.OpsPort, Method, Path, {}, Body);
}

} // namespace sycamorelb::node_test
