/** @file load_main.cpp Load tool: open-loop load on several nodes. Prints one
 * JSON line. */
#include "histogram.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <exception>
#include <gflags/gflags.h>
#include <httplib.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

DEFINE_string(targets, "", "comma-separated ip:port of the callers' nodes");
DEFINE_string(paths, "/", "comma-separated paths, chosen at random");
DEFINE_double(rate, 100, "calls per second over all targets");
DEFINE_int32(seconds, 5, "length of the run in s");
DEFINE_int32(patience_ms, 2000,
             "a caller gives up this long after its call was due, in ms");
DEFINE_uint32(workers, 32, "calls in progress at most");
DEFINE_uint64(seed, 1, "seed of arrival times, targets and paths");

namespace sycamorelb::bench {

using clock = std::chrono::steady_clock;
using std::chrono::microseconds;

/** Scheduled call. */
struct planned_call {
  microseconds Due{0};    ///< Time since the start of the run.
  std::size_t Target = 0; ///< Index of the target.
  std::size_t Path = 0;   ///< Index of the path.
};

/** Results of one worker. */
struct worker_result {
  histogram Latency; ///< Of answered calls, from the due time, in µs.
  std::map<std::string, std::uint64_t> Outcomes; ///< Calls by outcome.
};

static auto splitList(const std::string &Text) -> std::vector<std::string> {
  auto Parts = std::vector<std::string>();
  auto Stream = std::istringstream(Text);
  for (auto Part = std::string(); std::getline(Stream, Part, ',');) {
    Parts.push_back(Part);
  }
  return Parts;
}

/** @return the calls of the whole run as Poisson arrivals, ordered by time. */
static auto planCalls(std::size_t Targets, std::size_t Paths)
    -> std::vector<planned_call> {
  auto Random = pcg32(FLAGS_seed);
  auto Gap = std::exponential_distribution<double>(FLAGS_rate / 1e6);
  auto Calls = std::vector<planned_call>();
  for (auto Due = Gap(Random); Due < FLAGS_seconds * 1e6; Due += Gap(Random)) {
    auto Target = Random(static_cast<std::uint32_t>(Targets));
    auto Path = Random(static_cast<std::uint32_t>(Paths));
    Calls.push_back(
        {microseconds(static_cast<std::int64_t>(Due)), Target, Path});
  }
  return Calls;
}

/** @return the outcome under which a response is counted. */
static auto classifyOutcome(const httplib::Result &Result, bool TimedOut)
    -> std::string {
  if (!Result) {
    return TimedOut ? "given_up" : "transport_error";
  }
  if (Result->status >= 200 && Result->status < 300) {
    return "ok";
  }
  auto Outcome = Result->get_header_value("x-sycamore-outcome");
  if (Outcome == "not-run") {
    return "not_run";
  }
  return Outcome == "unknown" ? "unknown"
                              : "status_" + std::to_string(Result->status);
}

/** State of a run, shared by its workers. */
struct load_run {
  std::vector<std::string> Targets;
  std::vector<std::string> Paths;
  std::vector<planned_call> Calls;
  clock::time_point Start;
  std::atomic<std::size_t> Next{0}; ///< Index of the next call to make.
};

/** @return a client with a keep-alive connection to a target. */
static auto makeClient(const std::string &Target)
    -> std::unique_ptr<httplib::Client> {
  auto Client = std::make_unique<httplib::Client>("http://" + Target);
  Client->set_keep_alive(true);
  Client->set_tcp_nodelay(true);
  return Client;
}

/** Makes one call and counts its outcome. */
static void makeCall(const load_run &Run, const planned_call &Call,
                     httplib::Client &Client, worker_result &WorkerResult) {
  auto Due = Run.Start + Call.Due;
  auto GiveUp = Due + std::chrono::milliseconds(FLAGS_patience_ms);
  auto RemainingUs =
      std::chrono::duration_cast<microseconds>(GiveUp - clock::now()).count();
  if (RemainingUs <= 0) {
    ++WorkerResult.Outcomes["given_up"];
    return;
  }
  Client.set_connection_timeout(RemainingUs / 1'000'000,
                                RemainingUs % 1'000'000);
  Client.set_read_timeout(RemainingUs / 1'000'000, RemainingUs % 1'000'000);
  auto Result = Client.Get(Run.Paths[Call.Path]);
  auto Now = clock::now();
  ++WorkerResult.Outcomes[classifyOutcome(Result, Now >= GiveUp)];
  if (Result) {
    auto Latency = std::chrono::duration_cast<microseconds>(Now - Due).count();
    record(WorkerResult.Latency,
           static_cast<std::uint64_t>(std::max<std::int64_t>(Latency, 0)));
  }
}

/** Makes calls until none is left. The latency of a call includes its wait for
 * a free worker, since it counts from the due time. */
static void runWorker(load_run &Run, worker_result &WorkerResult) {
  auto Clients = std::map<std::size_t, std::unique_ptr<httplib::Client>>();
  for (auto Index = Run.Next++; Index < Run.Calls.size(); Index = Run.Next++) {
    const auto &Call = Run.Calls[Index];
    auto &Client = Clients[Call.Target];
    if (!Client) {
      Client = makeClient(Run.Targets[Call.Target]);
    }
    std::this_thread::sleep_until(Run.Start + Call.Due);
    makeCall(Run, Call, *Client, WorkerResult);
  }
}

/** Prints the result of a run as one JSON line. */
static void printResult(const worker_result &Total, std::size_t Calls) {
  auto Line = nlohmann::json{{"seed", FLAGS_seed},
                             {"calls", Calls},
                             {"rate_per_s", FLAGS_rate},
                             {"seconds", FLAGS_seconds},
                             {"outcomes", Total.Outcomes},
                             {"p50_us", quantile(Total.Latency, 0.5)},
                             {"p99_us", quantile(Total.Latency, 0.99)},
                             {"p999_us", quantile(Total.Latency, 0.999)},
                             {"max_us", Total.Latency.Max}};
  std::printf("%s\n", Line.dump().c_str());
}

static auto run() -> int {
  auto Run = load_run();
  Run.Targets = splitList(FLAGS_targets);
  Run.Paths = splitList(FLAGS_paths);
  if (Run.Targets.empty() || Run.Paths.empty() || FLAGS_rate <= 0) {
    std::fprintf(stderr,
                 "--targets, --paths and a positive --rate are required\n");
    return 2;
  }
  Run.Calls = planCalls(Run.Targets.size(), Run.Paths.size());
  Run.Start = clock::now();
  auto WorkerResults = std::vector<worker_result>(FLAGS_workers);
  auto Threads = std::vector<std::thread>();
  for (auto &WorkerResult : WorkerResults) {
    Threads.emplace_back(
        [&Run, &WorkerResult] { runWorker(Run, WorkerResult); });
  }
  auto Total = worker_result();
  for (auto Index = std::size_t{0}; Index < Threads.size(); ++Index) {
    Threads[Index].join();
    merge(Total.Latency, WorkerResults[Index].Latency);
    for (const auto &[Name, Count] : WorkerResults[Index].Outcomes) {
      Total.Outcomes[Name] += Count;
    }
  }
  printResult(Total, Run.Calls.size());
  return 0;
}

} // namespace sycamorelb::bench

auto main(int Count, char **Arguments) -> int {
  try {
    gflags::SetUsageMessage("open-loop load; latency counts from due times");
    gflags::ParseCommandLineFlags(&Count, &Arguments, true);
    return sycamorelb::bench::run();
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "sycamorelb-bench: %s\n", Error.what());
    return 1;
  }
}
