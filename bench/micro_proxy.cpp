/** @file micro_proxy.cpp Latency of direct calls, and of calls through one and
 * two hops.
 *
 * The median and the 99th percentile are reported as counters in µs. The
 * caller, the nodes and the upstream share one process, so their threads
 * compete for the cores. Run with --benchmark_filter=proxy.
 */
#include "../standin/upstream_server.h"
#include "proxy/connection.h"
#include "proxy/message_head.h"
#include "sycamorelb/core/clock_func.h"
#include "sycamorelb/proxy/proxy_handler.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

using namespace sycamorelb;

/** An upstream and two nodes, shared by all cases. */
struct bench_mesh {
  bench_mesh();
  auto makeNode(bool Local) -> std::unique_ptr<proxy::proxy_handler>;

  std::unique_ptr<standin::upstream_server> Upstream;
  std::vector<std::unique_ptr<proxy::proxy_handler>> Nodes;
  std::vector<std::unique_ptr<proxy::http_server>> Servers;
  std::string UpstreamAddress; ///< Address for direct calls.
  std::string OneHop;          ///< Caller port of a node with the upstream.
  std::string TwoHops;         ///< Caller port of a node without it.
  std::string Peer;            ///< Peer port of the admission node.
};

static auto listenOn(bench_mesh &Mesh, proxy::call_handler Handler)
    -> std::string {
  auto Server = std::make_unique<proxy::http_server>(proxy::server_options{});
  Server->handleCalls(std::move(Handler));
  auto Port = valueOf(Server->start());
  Mesh.Servers.push_back(std::move(Server));
  return "127.0.0.1:" + std::to_string(Port);
}

auto bench_mesh::makeNode(bool Local) -> std::unique_ptr<proxy::proxy_handler> {
  auto Entry = proxy::entry_hooks();
  Entry.Resolve = [](auto, auto, const auto &) {
    return std::optional(proxy::route_info());
  };
  Entry.Pick = [this, Local](const auto &, auto, const auto &) {
    auto Target = proxy::call_target();
    Target.Kind = Local ? proxy::target_kind::LocalUpstream
                        : proxy::target_kind::AdmissionNode;
    Target.Address = Peer;
    return std::optional(Target);
  };
  Entry.OnAttemptFinished = [](const auto &, const auto &, const auto &,
                               const auto &) {};
  Entry.MayRetry = [](const auto &) { return false; };
  Entry.MayHedge = Entry.MayRetry;
  auto Admission = proxy::admission_hooks();
  Admission.Admit = [this](const auto &, auto &)
      -> std::variant<proxy::admission_ticket, proxy::admission_refusal> {
    return proxy::admission_ticket{UpstreamAddress, 1, millis(0)};
  };
  Admission.Release = [](const auto &, const auto &, const auto &, auto) {};
  Admission.Authenticate = [](const auto &) { return true; };
  return std::make_unique<proxy::proxy_handler>(proxy::proxy_options(), Entry,
                                                Admission);
}

bench_mesh::bench_mesh() {
  auto Options = standin::upstream_options();
  Options.Behaviour.ServiceMs = 0;
  Options.Behaviour.Slots = 100;
  Options.Behaviour.WarmMs = 0;
  Upstream = std::make_unique<standin::upstream_server>(Options);
  UpstreamAddress = "127.0.0.1:" + std::to_string(valueOf(Upstream->start()));
  Nodes.push_back(makeNode(true));
  Nodes.push_back(makeNode(false));
  OneHop = listenOn(*this, Nodes[0]->entry());
  Peer = listenOn(*this, Nodes[0]->admission());
  TwoHops = listenOn(*this, Nodes[1]->entry());
}

/** Makes Count calls on one connection. @return the latencies in µs; stops at
 * the first failed call, and so returns fewer than Count. */
static auto callMany(const std::string &Address, int Count)
    -> std::vector<std::int64_t> {
  auto Times = std::vector<std::int64_t>();
  auto Limits =
      proxy::wait_limits{.Deadline = steadyNow() + std::chrono::minutes(1)};
  auto Fd = -1;
  if (proxy::openSocket(Address, Limits, Fd) != proxy::io_status::Ok) {
    return Times;
  }
  auto Connection = proxy::connection(Fd);
  for (auto Index = 0; Index < Count; ++Index) {
    auto Begin = steadyNow();
    auto Written = std::uint64_t{0};
    Connection.write("GET /x HTTP/1.1\r\nHost: bench\r\n\r\n", {}, Limits,
                     Written);
    // The answer has a body of two bytes.
    auto Size = std::size_t{0};
    while (Size == 0 || Connection.input().size() < Size) {
      if (Connection.receive(Limits) != proxy::io_status::Ok) {
        return Times;
      }
      auto Head = proxy::findHeadEnd(Connection.input());
      Size = Head.Found ? Head.Size + 2 : 0;
    }
    if (Connection.input().substr(9, 3) != "200") {
      return Times;
    }
    Connection.consume(Size);
    Times.push_back((steadyNow() - Begin).count());
  }
  return Times;
}

static void runCalls(benchmark::State &State,
                     std::string bench_mesh::*Address) {
  static auto *Mesh = new bench_mesh();
  auto Callers = static_cast<int>(State.range(0));
  constexpr auto CallsPerRound = 8192;
  auto All = std::vector<std::int64_t>();
  auto Mutex = std::mutex();
  for (auto _ : State) {
    auto Threads = std::vector<std::thread>();
    for (auto Index = 0; Index < Callers; ++Index) {
      Threads.emplace_back([&] {
        auto Times = callMany(Mesh->*Address, CallsPerRound / Callers);
        auto Lock = std::lock_guard(Mutex);
        All.insert(All.end(), Times.begin(), Times.end());
      });
    }
    for (auto &Thread : Threads) {
      Thread.join();
    }
  }
  auto Expected = static_cast<std::size_t>(State.iterations()) * CallsPerRound;
  if (All.size() != Expected) {
    State.SkipWithError("some calls failed");
    return;
  }
  std::sort(All.begin(), All.end());
  State.counters["p50_us"] = static_cast<double>(All[All.size() / 2]);
  State.counters["p99_us"] = static_cast<double>(All[All.size() * 99 / 100]);
  State.counters["calls"] = benchmark::Counter(static_cast<double>(All.size()),
                                               benchmark::Counter::kIsRate);
}

static void proxyDirect(benchmark::State &State) {
  runCalls(State, &bench_mesh::UpstreamAddress);
}
static void proxyOneHop(benchmark::State &State) {
  runCalls(State, &bench_mesh::OneHop);
}
static void proxyTwoHops(benchmark::State &State) {
  runCalls(State, &bench_mesh::TwoHops);
}
BENCHMARK(proxyDirect)->Arg(1)->Arg(32)->UseRealTime()->Iterations(4);
BENCHMARK(proxyOneHop)->Arg(1)->Arg(32)->UseRealTime()->Iterations(4);
BENCHMARK(proxyTwoHops)->Arg(1)->Arg(32)->UseRealTime()->Iterations(4);
