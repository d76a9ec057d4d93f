/** @file micro_customers.cpp Cost of the decision by key with 10,000 keys. */
#include "platform/call_header.h"

#include <benchmark/benchmark.h>

using namespace sycamorelb;

/** @return 100 customers with 100 keys each. */
static auto customers() -> std::vector<mesh::customer_rule> {
  auto Rules = std::vector<mesh::customer_rule>(100);
  for (auto Index = 0; Index < 10'000; ++Index) {
    auto &Rule = Rules[static_cast<std::size_t>(Index % 100)];
    Rule.Name = {"customer" + std::to_string(Index % 100)};
    Rule.Keys.push_back("0123456789abcdef0123456789-" + std::to_string(Index));
  }
  return Rules;
}

static void decide(benchmark::State &State, const std::string &Key) {
  auto Table = mesh::customer_table(customers(), {1, 2, 3});
  auto Headers = platform::typicalRequestHeaders();
  Headers.push_back({"Authorization", "Bearer " + Key});
  for (auto Step : State) {
    benchmark::DoNotOptimize(
        mesh::decideByKey(Table, platform::decodeKey(Headers), false, false));
  }
}

static void knownKey(benchmark::State &State) {
  decide(State, "0123456789abcdef0123456789-4711");
}
BENCHMARK(knownKey);

static void unknownKey(benchmark::State &State) {
  decide(State, "0123456789abcdef0123456789-x");
}
BENCHMARK(unknownKey);

static void longestKey(benchmark::State &State) {
  decide(State, std::string(4096, 'k'));
}
BENCHMARK(longestKey);

/** Cost of a new configuration version. */
static void buildKeyTable(benchmark::State &State) {
  auto Rules = customers();
  for (auto Step : State) {
    benchmark::DoNotOptimize(mesh::customer_table(Rules, {1, 2, 3}));
  }
}
BENCHMARK(buildKeyTable);
