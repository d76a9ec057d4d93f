/** @file micro_capacity.cpp Microbenchmarks of replay, checkpoints and claims
 * by size. */
#include "sycamorelb/claims/claim_func.h"
#include "sycamorelb/config/checkpoint_func.h"
#include "sycamorelb/config/record_type.h"
#include "sycamorelb/config/replay_func.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <malloc.h>
#include <string>
#include <vector>

using namespace sycamorelb;

namespace {

/** @return a declaration with one route per service and eight zones. */
auto makeDeclaration(std::int64_t Services) -> config::declaration {
  auto Declaration = config::declaration();
  for (auto Index = 0; Index < 8; ++Index) {
    Declaration.Zones[{"zone-" + std::to_string(Index)}] = {
        {"region-" + std::to_string(Index % 3)}};
  }
  for (auto Index = std::int64_t{0}; Index < Services; ++Index) {
    auto Name = "service-" + std::to_string(Index);
    Declaration.Services[{Name}] = {{{"v1"}, {"v2"}}, {"v1"}};
    auto Route = config::route();
    Route.Name = {Name + "-read"};
    Route.Service = {Name};
    Route.PathPrefix = "/" + Name;
    Route.Methods = {"GET"};
    Declaration.Routes.push_back(Route);
  }
  return Declaration;
}

/** @return a state in which the declaration is in force since offset 1. */
auto makeState(const config::declaration &Declaration) -> config::config_state {
  auto Record = config::makeApply({}, Declaration, {"first"}, wall_ms{1});
  return config::replay({}, log_offset{1}, config::encodeRecord(Record)).Next;
}

/** Replays a record that changes one timeout, as each node does for a change.
 */
void replayChange(benchmark::State &State) {
  auto Declaration = makeDeclaration(State.range(0));
  auto Before = makeState(Declaration);
  Declaration.Routes.front().Timeout = millis{1234};
  auto Bytes = config::encodeRecord(
      config::makeApply(Before, Declaration, {"second"}, wall_ms{2}));
  auto Version = log_offset{};
  for ([[maybe_unused]] auto Iteration : State) {
    Version = config::replay(Before, log_offset{2}, Bytes).Next.Version;
  }
  State.counters["record_bytes"] = static_cast<double>(Bytes.size());
  if (Version != log_offset{2}) {
    State.SkipWithError("the change was not accepted");
  }
}
BENCHMARK(replayChange)->Arg(12)->Arg(72)->Arg(144)->Arg(720);

/** Encodes a checkpoint with a full list of request outcomes. */
void encodeCheckpointOfState(benchmark::State &State) {
  auto ConfigState = makeState(makeDeclaration(State.range(0)));
  auto Outcome = ConfigState.Outcomes.front();
  while (ConfigState.Outcomes.size() < 4096) {
    auto Id = std::to_string(ConfigState.Outcomes.size());
    Outcome.Id = {Id + std::string(32 - Id.size(), 'x')};
    ConfigState.Outcomes.push_back(Outcome);
  }
  auto Parts = std::vector<std::string>();
  for ([[maybe_unused]] auto Iteration : State) {
    Parts = config::encodeCheckpoint(ConfigState, "id", wall_ms{3});
  }
  auto Total = std::size_t{0};
  for (const auto &Part : Parts) {
    Total += Part.size();
  }
  State.counters["parts"] = static_cast<double>(Parts.size());
  State.counters["bytes"] = static_cast<double>(Total);
}
BENCHMARK(encodeCheckpointOfState)->Arg(12)->Arg(72)->Arg(144)->Arg(720);

/** @return the bytes of the heap in use, including mapped blocks. */
auto allocatedBytes() -> double {
  auto Info = mallinfo2();
  return static_cast<double>(Info.uordblks + Info.hblkhd);
}

/** Replays claims in batches of 100 into an empty partition. */
void replayClaimBatches(benchmark::State &State) {
  constexpr auto ClaimsPerBatch = std::int64_t{100};
  auto Batches = std::vector<claims::claim_batch>();
  for (auto Index = std::int64_t{0}; Index < State.range(0); ++Index) {
    if (Index % ClaimsPerBatch == 0) {
      Batches.emplace_back();
    }
    auto Key = claims::claimKey({"dues"}, std::to_string(Index));
    Batches.back().Records.push_back(
        {claims::claim_action::Claim,
         Key,
         {{"node-1"}, {1}, static_cast<std::uint64_t>(Index)},
         0});
  }
  auto MaxGrowth = 0.0;
  for ([[maybe_unused]] auto Iteration : State) {
    auto Before = allocatedBytes();
    auto Table = claims::emptyTable(log_offset{1});
    auto Offset = std::uint64_t{1};
    for (const auto &Batch : Batches) {
      claims::replayClaims(Table, log_offset{Offset++}, Batch);
    }
    benchmark::DoNotOptimize(Table);
    MaxGrowth = std::max(MaxGrowth, allocatedBytes() - Before);
  }
  State.SetItemsProcessed(State.iterations() * State.range(0));
  State.counters["bytes_per_claim"] =
      MaxGrowth / static_cast<double>(State.range(0));
}
BENCHMARK(replayClaimBatches)->Arg(50'000)->Arg(200'000);

} // namespace
