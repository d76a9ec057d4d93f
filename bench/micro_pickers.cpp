/** @file micro_pickers.cpp Compares pickers in a deterministic queueing model.
 *
 * Measures no execution time; the latencies of the simulated calls are reported
 * as counters. Several entry nodes call one service with Poisson arrivals. Each
 * upstream has slots and a FIFO queue. One upstream turns cold: until it has
 * finished a number of calls, the service time grows with the calls that run on
 * it. */
#include "sycamorelb/limits/outcome_type.h"
#include "sycamorelb/routing/pick_func.h"
#include "sycamorelb/routing/stats_func.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <cmath>
#include <deque>
#include <queue>
#include <vector>

using namespace sycamorelb;
using namespace sycamorelb::routing;

namespace {

enum picker : std::uint8_t { RandomPick, LeastInFlight, TwoChoices, ColdAware };

constexpr auto Upstreams = std::size_t{12};
constexpr auto EntryNodes = std::size_t{12};
constexpr auto Slots = 10U;
constexpr auto MeanServiceUs = 10'000.0;
constexpr auto ColdFactor = 5.0;   ///< Service time factor per running call.
constexpr auto CallsToWarm = 300U; ///< Calls until it is warm.
constexpr auto TurnsColdAfter = micros{5'000'000};
constexpr auto SimulatedTime = micros{30'000'000};
constexpr auto Origin = steady_time{micros{1'000'000'000}};

struct request {
  std::size_t Entry = 0;    ///< Entry node.
  std::size_t Upstream = 0; ///< Picked upstream.
  steady_time SentAt{};     ///< Time of the pick.
};

struct event {
  steady_time At{};     ///< Time.
  std::uint64_t Id = 0; ///< Orders events at the same time.
  bool Arrival = false; ///< Whether a request arrives or finishes.
  request Request;      ///< Request that finishes.
  auto operator<(const event &Other) const -> bool {
    return At != Other.At ? At > Other.At : Id > Other.Id;
  }
};

struct server {
  std::deque<request> Waiting;      ///< Queue.
  std::uint32_t Running = 0;        ///< Slots in use.
  std::uint32_t CallsUntilWarm = 0; ///< Calls left until it is warm.
};

/** State of one simulation. */
struct model {
  picker Picker;
  random_source Random;
  double RatePerUs; ///< Rate of arrivals at all entry nodes.
  std::vector<server> Servers = std::vector<server>(Upstreams);
  std::vector<std::vector<upstream_stats>> Stats =
      std::vector<std::vector<upstream_stats>>(
          EntryNodes, std::vector<upstream_stats>(Upstreams));
  std::vector<candidate> Candidates = std::vector<candidate>(Upstreams);
  std::priority_queue<event> Events{};
  std::uint64_t LastId = 0;
  steady_time Now = Origin;
  std::vector<double> LatenciesMs{};
  std::uint64_t ColdOverload = 0; ///< Arrivals at a cold, busy upstream.
  std::uint64_t ColdCalls = 0;    ///< Arrivals at a cold upstream.

  auto exponential(double Mean) -> micros {
    return micros{std::llround(-Mean * std::log(1 - randomUnit(Random)))};
  }

  void schedule(micros Delay, bool Arrival, const request &Request) {
    Events.push({Now + Delay, ++LastId, Arrival, Request});
  }

  auto pickRandom() -> std::size_t { return randomBelow(Random, Upstreams); }

  auto pickLeastInFlight(std::size_t Entry) -> std::size_t {
    auto First = pickRandom(); // Breaks ties at random.
    auto Best = First;
    for (auto Step = std::size_t{1}; Step < Upstreams; ++Step) {
      auto Index = (First + Step) % Upstreams;
      if (Stats[Entry][Index].InFlight < Stats[Entry][Best].InFlight)
        Best = Index;
    }
    return Best;
  }

  auto pickWithRouting(std::size_t Entry) -> std::size_t {
    for (auto Index = std::size_t{0}; Index < Upstreams; ++Index)
      Candidates[Index].Stats = &Stats[Entry][Index];
    auto Config = pick_config{};
    Config.ColdAware = Picker == ColdAware;
    auto Result = pickUpstream(Candidates, pick_request{}, Config, Random, Now);
    return std::get<picked_upstream>(Result).Index;
  }

  auto pick(std::size_t Entry) -> std::size_t {
    switch (Picker) {
    case RandomPick:
      return pickRandom();
    case LeastInFlight:
      return pickLeastInFlight(Entry);
    case TwoChoices:
    case ColdAware:
      return pickWithRouting(Entry);
    }
    return 0;
  }

  void start(server &Server, const request &Request) {
    ++Server.Running;
    auto Mean = MeanServiceUs;
    if (Server.CallsUntilWarm > 0)
      Mean *= ColdFactor * Server.Running;
    schedule(exponential(Mean), false, Request);
  }

  void arrive(request Request) {
    Request.Entry = randomBelow(Random, EntryNodes);
    Request.SentAt = Now;
    Request.Upstream = pick(Request.Entry);
    onStart(Stats[Request.Entry][Request.Upstream]);
    auto &Server = Servers[Request.Upstream];
    if (Server.CallsUntilWarm > 0) {
      ++ColdCalls;
      ColdOverload += Server.Running + Server.Waiting.size() >= 1 ? 1 : 0;
    }
    if (Server.Running < Slots)
      start(Server, Request);
    else
      Server.Waiting.push_back(Request);
    schedule(exponential(1 / RatePerUs), true, {});
  }

  void finish(const request &Request) {
    auto &Server = Servers[Request.Upstream];
    --Server.Running;
    Server.CallsUntilWarm -= Server.CallsUntilWarm > 0 ? 1 : 0;
    auto Latency = Now - Request.SentAt;
    LatenciesMs.push_back(static_cast<double>(Latency.count()) / 1000);
    auto &Observed = Stats[Request.Entry][Request.Upstream];
    onFinish(Observed, limits::call_outcome::Success, Latency, Slots, Now);
    auto Load =
        Server.Running + static_cast<std::uint32_t>(Server.Waiting.size());
    // Only the cold-aware picker receives the load reports of the admission
    // node.
    if (Picker == ColdAware)
      onReport(Observed,
               {Server.CallsUntilWarm > 0 ? 1 : Slots, Load,
                Server.CallsUntilWarm > 0},
               Now);
    if (Server.Waiting.empty())
      return;
    start(Server, Server.Waiting.front());
    Server.Waiting.pop_front();
  }

  void run() {
    for (auto &Candidate : Candidates)
      Candidate.Slots = Slots;
    schedule(micros{0}, true, {});
    auto TurnedCold = false;
    while (Now < Origin + SimulatedTime) {
      auto Event = Events.top();
      Events.pop();
      Now = Event.At;
      if (!TurnedCold && Now >= Origin + TurnsColdAfter) {
        TurnedCold = true;
        Servers[0].CallsUntilWarm = CallsToWarm;
      }
      if (Event.Arrival)
        arrive(Event.Request);
      else
        finish(Event.Request);
    }
  }
};

/** Simulates five seeds and reports the distribution of all latencies. */
void comparePickers(benchmark::State &State) {
  auto Picker = static_cast<picker>(State.range(0));
  auto Rate = static_cast<double>(State.range(1)) / 100 * Upstreams * Slots /
              MeanServiceUs;
  auto Latencies = std::vector<double>{};
  auto ColdCalls = 0.0;
  auto Overload = 0.0;
  for ([[maybe_unused]] auto Iteration : State)
    for (auto Seed = std::uint64_t{1}; Seed <= 5; ++Seed) {
      auto Model = model{Picker, random_source{Seed}, Rate};
      Model.run();
      Latencies.insert(Latencies.end(), Model.LatenciesMs.begin(),
                       Model.LatenciesMs.end());
      ColdCalls += static_cast<double>(Model.ColdCalls);
      Overload += static_cast<double>(Model.ColdOverload);
    }
  std::ranges::sort(Latencies);
  auto Percentile = [&](double Ratio) {
    return Latencies[static_cast<std::size_t>(
        Ratio * static_cast<double>(Latencies.size() - 1))];
  };
  State.counters["p50_ms"] = Percentile(0.5);
  State.counters["p99_ms"] = Percentile(0.99);
  State.counters["p999_ms"] = Percentile(0.999);
  State.counters["cold_calls"] = ColdCalls;
  State.counters["cold_overload"] = Overload;
}
BENCHMARK(comparePickers)
    ->ArgNames({"picker", "load_percent"})
    ->ArgsProduct({{RandomPick, LeastInFlight, TwoChoices, ColdAware},
                   {30, 60, 85}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace
