/** @file micro_moves.cpp Microbenchmarks of the evidence and decisions of
 * moves, and of replaying claims. */
#include "sycamorelb/claims/claim_func.h"
#include "sycamorelb/core/random_func.h"
#include "sycamorelb/moves/move_func.h"

#include <benchmark/benchmark.h>

using namespace sycamorelb;

static constexpr auto StartMs = std::int64_t{1'700'000'000'000};

static auto makeSample(random_source &Random) -> moves::call_sample {
  return {moves::call_outcome::Succeeded,
          micros(5'000 + randomBelow(Random, 20'000)), false};
}

static void recordOneCall(benchmark::State &State) {
  auto Local = moves::local_evidence{{"m"}, 0, {}};
  auto Random = random_source(1);
  auto Routes = std::vector<route_id>();
  for (auto Route = 0; Route < 8; ++Route) {
    Routes.push_back({"route-" + std::to_string(Route)});
  }
  auto Sample = makeSample(Random);
  auto Call = std::int64_t{0};
  for (auto _ : State) {
    moves::recordCall(Local, Routes[std::size_t(Call % 8)],
                      moves::move_side::New, Sample, {StartMs + Call / 100});
    ++Call;
  }
}
BENCHMARK(recordOneCall);

/** @return the reports of many nodes for one second, with 50 calls per node on
 * 4 routes. */
static auto makeReports(int Reporters, std::int64_t Second)
    -> std::vector<moves::evidence_report> {
  auto Random = random_source(std::uint64_t(Second));
  auto Reports = std::vector<moves::evidence_report>();
  for (auto Node = 0; Node < Reporters; ++Node) {
    auto Local = moves::local_evidence{{"m"}, 0, {}};
    for (auto Call = 0; Call < 50; ++Call) {
      moves::recordCall(Local, {"route-" + std::to_string(Call % 4)},
                        moves::move_side(Node % 2), makeSample(Random),
                        {StartMs + Second * 1000});
    }
    for (auto &Report : moves::buildReports(
             Local, {"node-" + std::to_string(Node)},
             {std::uint64_t(Second + 1)}, {StartMs + Second * 1000 + 1000})) {
      Reports.push_back(std::move(Report));
    }
  }
  return Reports;
}

static void mergeOneReport(benchmark::State &State) {
  auto Reporters = int(State.range(0));
  auto Reports = makeReports(Reporters, 0);
  auto Merged = moves::merged_evidence{};
  Merged.Move = {"m"};
  auto Index = std::size_t{0};
  for (auto _ : State) {
    auto &Report = Reports[Index++ % Reports.size()];
    Report.Incarnation.Value += 1; // Makes the report newer than the last.
    benchmark::DoNotOptimize(
        moves::mergeReport(Merged, Report, {StartMs + 1000}));
  }
  State.counters["bytes"] = double(moves::encodeReport(Reports[0]).size());
}
BENCHMARK(mergeOneReport)->Arg(12)->Arg(100)->Arg(880);

static void decodeOneReport(benchmark::State &State) {
  auto Bytes = moves::encodeReport(makeReports(1, 0)[0]);
  for (auto _ : State) {
    benchmark::DoNotOptimize(moves::decodeReport(Bytes));
  }
}
BENCHMARK(decodeOneReport);

/** Runs the sequential test and the decision for one second of evidence. */
static void advanceOneSecond(benchmark::State &State) {
  auto Merged = moves::merged_evidence{};
  Merged.Move = {"m"};
  auto Test = moves::test_state{};
  auto DriverState = moves::driver_state{};
  auto Move = config::move_state{};
  Move.StartedAt = {StartMs};
  Move.Move.By = {StartMs + 1'000'000'000};
  Move.Share = {50'000};
  auto Plan = moves::test_plan{{StartMs}, Move.Move.By, 4};
  auto Second = std::int64_t{0};
  for (auto _ : State) {
    State.PauseTiming();
    auto Now = wall_ms{StartMs + Second * 1000 + 1000};
    for (const auto &Report : makeReports(int(State.range(0)), Second)) {
      moves::mergeReport(Merged, Report, Now);
    }
    ++Second;
    State.ResumeTiming();
    moves::advanceTest(Test, Merged, Plan, 0, Now);
    auto Input = moves::makeMoveInput(Test, Merged);
    benchmark::DoNotOptimize(moves::decideNext(Move, DriverState, Input, Now));
  }
}
BENCHMARK(advanceOneSecond)->Arg(12)->Arg(100)->Arg(880)->Iterations(300);

static auto makeBatch(std::uint64_t Offset) -> claims::claim_batch {
  auto Batch = claims::claim_batch{};
  Batch.ExpiredBelow = {Offset > 1'000 ? Offset - 1'000 : 0};
  for (auto Index = std::uint64_t{0}; Index < 100; ++Index) {
    auto Attempt = Offset * 100 + Index;
    Batch.Records.push_back(
        {claims::claim_action::Claim,
         claims::claimKey({"dues"}, std::to_string(Attempt)),
         {{"node-17"}, {1'700'000'000'000}, Attempt},
         0});
  }
  return Batch;
}

static void replayOneClaim(benchmark::State &State) {
  auto Batches = std::vector<std::string>();
  for (auto Offset = std::uint64_t{0}; Offset < 4'000; ++Offset) {
    Batches.push_back(claims::encodeBatch(makeBatch(Offset)));
  }
  auto Table = claims::emptyTable({0});
  auto Offset = std::uint64_t{0};
  for (auto _ : State) {
    if (Offset == Batches.size()) {
      State.PauseTiming();
      Table = claims::emptyTable({0});
      Offset = 0;
      State.ResumeTiming();
    }
    auto Batch = claims::decodeBatch(Batches[Offset]);
    claims::replayClaims(Table, {Offset}, valueOf(Batch));
    ++Offset;
  }
  State.SetItemsProcessed(State.iterations() * 100);
  State.counters["bytes_per_claim"] = double(Batches[0].size()) / 100;
}
BENCHMARK(replayOneClaim);
