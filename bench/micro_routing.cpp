/** @file micro_routing.cpp Microbenchmarks of route matching, subsetting and
 * picking. */
#include "sycamorelb/routing/pick_func.h"
#include "sycamorelb/routing/route_func.h"
#include "sycamorelb/routing/subset_func.h"

#include <benchmark/benchmark.h>
#include <cmath>
#include <map>
#include <vector>

using namespace sycamorelb;
using namespace sycamorelb::routing;

namespace {

constexpr auto ZoneCount = std::size_t{8};
constexpr auto Now = steady_time{micros{1'000'000'000}};

auto zoneOf(std::size_t Index) -> zone_id {
  return zone_id{"zone-" + std::to_string(Index % ZoneCount)};
}

auto idOf(std::size_t Index) -> upstream_id {
  return makeUpstreamId(node_id{"node-" + std::to_string(Index)},
                        "10.0.0.1:8000");
}

auto makeCandidates(std::size_t Count, std::vector<upstream_stats> &Stats)
    -> std::vector<candidate> {
  auto Candidates = std::vector<candidate>{};
  Stats.resize(Count);
  for (auto Index = std::size_t{0}; Index < Count; ++Index) {
    Stats[Index].LatencyUs = 10'000 + 10.0 * static_cast<double>(Index % 7);
    Stats[Index].EarnedLimit = 10;
    Stats[Index].InFlight = static_cast<std::uint32_t>(Index % 5);
    auto Candidate = candidate{};
    Candidate.Id = idOf(Index);
    Candidate.Version = version_id{"v1"};
    Candidate.Zone = zoneOf(Index);
    Candidate.Region = region_id{"r" + std::to_string(Index % ZoneCount / 3)};
    Candidate.Slots = 10;
    Candidate.Stats = &Stats[Index];
    Candidates.push_back(Candidate);
  }
  return Candidates;
}

void pick(benchmark::State &State) {
  auto Stats = std::vector<upstream_stats>{};
  auto Candidates =
      makeCandidates(static_cast<std::size_t>(State.range(0)), Stats);
  auto Random = random_source{42};
  auto Request =
      pick_request{version_id{"v1"}, {zoneOf(0), region_id{"r0"}}, {}};
  for ([[maybe_unused]] auto Iteration : State)
    benchmark::DoNotOptimize(
        pickUpstream(Candidates, Request, pick_config{}, Random, Now));
}
BENCHMARK(pick)->Arg(12)->Arg(16)->Arg(100)->Arg(880)->Arg(5000);

/** Chooses subsets. Reports how evenly the subsets of 1,000 nodes cover the
 * upstreams. */
void subset(benchmark::State &State) {
  auto Members = std::vector<subset_member>{};
  for (auto Index = 0; Index < State.range(0); ++Index)
    Members.push_back({idOf(static_cast<std::size_t>(Index)),
                       zoneOf(static_cast<std::size_t>(Index))});
  auto Self = node_id{"self"};
  for ([[maybe_unused]] auto Iteration : State)
    benchmark::DoNotOptimize(chooseSubset(Self, Members));
  auto Chosen = std::vector<double>(Members.size());
  for (auto Node = 0; Node < 1000; ++Node)
    for (auto Index :
         chooseSubset(node_id{"self-" + std::to_string(Node)}, Members))
      ++Chosen[Index];
  auto Sum = 0.0;
  auto Most = 0.0;
  auto Least = Chosen.front();
  for (auto Count : Chosen) {
    Sum += Count;
    Most = std::max(Most, Count);
    Least = std::min(Least, Count);
  }
  auto Mean = Sum / static_cast<double>(Chosen.size());
  State.counters["max_by_mean"] = Most / Mean;
  State.counters["min_by_mean"] = Least / Mean;
}
BENCHMARK(subset)->Arg(12)->Arg(100)->Arg(880)->Arg(5000);

/** Matches a path against State.range(0) routes. */
void match(benchmark::State &State) {
  auto Routes =
      std::vector<config::route>(static_cast<std::size_t>(State.range(0)));
  for (auto Index = std::size_t{0}; Index < Routes.size(); ++Index)
    Routes[Index].PathPrefix = "/service-" + std::to_string(Index) + "/v1";
  auto Index = buildRouteIndex(Routes);
  for ([[maybe_unused]] auto Iteration : State)
    benchmark::DoNotOptimize(matchRoute(
        Index, Routes, "GET", "/service-7/v1/persons/1234/dues?year=2024"));
}
BENCHMARK(match)->Arg(12)->Arg(100)->Arg(880)->Arg(5000);

} // namespace
