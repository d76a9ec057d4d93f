/** @file micro_pipeline.cpp Microbenchmark of a pipelined connection: a caller
 * keeps some requests ahead, each of which takes 2 ms to serve. */
#include "sycamorelb/http/server_connection.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <deque>
#include <sys/socket.h>
#include <vector>

using namespace sycamorelb;
using namespace sycamorelb::http;

namespace {

constexpr auto ServiceTime = micros(2'000);
constexpr auto ResponseBody = std::size_t{400};
constexpr auto RequestsPerRun = 300;

/** Both ends of one connection. */
struct pipelined_caller {
  event::loop Loop;
  std::shared_ptr<event::stream> Client;
  std::shared_ptr<server_connection> Server;
  std::shared_ptr<pipeline_budget> Budget = std::make_shared<pipeline_budget>();
  std::deque<steady_time> SentAt;
  std::vector<std::int64_t> LatencyUs;
  std::size_t MostHeldBytes = 0;
  std::size_t ResponseBytes = 0;
  int Sent = 0;

  explicit pipelined_caller(bool SideBySide) {
    int Ends[2] = {-1, -1};
    if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, Ends) != 0) {
      return;
    }
    auto Options = server_options();
    Options.Budget = Budget;
    if (SideBySide) {
      Options.MayRunBeside = [](const request &) { return true; };
    }
    Server = server_connection::create(
        event::stream::adopt(Loop, Ends[0]), Options,
        [this](const std::shared_ptr<server_connection> &Caller,
               exchange_number Number, const request &) {
          Loop.addTimer(Loop.now() + ServiceTime, [this, Caller, Number] {
            Caller->respond(
                Number, {200, "", {}, std::string(ResponseBody, 'x')}, false);
            MostHeldBytes = std::max(MostHeldBytes, Budget->HeldBytes);
          });
        });
    Client = event::stream::adopt(Loop, Ends[1]);
    Client->OnData = [this] { receive(); };
  }

  void sendNext() {
    ++Sent;
    SentAt.push_back(event::bootTime());
    Client->send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  }

  void receive() {
    if (ResponseBytes == 0) {
      ResponseBytes =
          renderResponse({200, "", {}, std::string(ResponseBody, 'x')}, "GET",
                         false)
              .size();
    }
    while (Client->input().size() >= ResponseBytes) {
      Client->consume(ResponseBytes);
      LatencyUs.push_back((event::bootTime() - SentAt.front()).count());
      SentAt.pop_front();
      if (Sent < RequestsPerRun) {
        sendNext();
      } else if (SentAt.empty()) {
        Loop.stop();
      }
    }
  }
};

/** Arguments: requests ahead; whether they run side by side. */
void pipelinedConnection(benchmark::State &State) {
  auto Latency = std::vector<std::int64_t>();
  auto HeldBytes = std::size_t{0};
  for (auto _ : State) {
    auto Caller = pipelined_caller(State.range(1) != 0);
    for (auto Ahead = 0; Ahead < State.range(0); ++Ahead) {
      Caller.sendNext();
    }
    Caller.Loop.run();
    Latency.insert(Latency.end(), Caller.LatencyUs.begin(),
                   Caller.LatencyUs.end());
    HeldBytes = std::max(HeldBytes, Caller.MostHeldBytes);
  }
  std::sort(Latency.begin(), Latency.end());
  State.SetItemsProcessed(static_cast<std::int64_t>(Latency.size()));
  State.counters["p99_us"] =
      static_cast<double>(Latency.at(Latency.size() * 99 / 100));
  State.counters["held_bytes"] = static_cast<double>(HeldBytes);
}

} // namespace

BENCHMARK(pipelinedConnection)
    ->ArgsProduct({{1, 4, 16}, {0, 1}})
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);
