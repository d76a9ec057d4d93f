/** @file upstream_main.cpp Runs the upstream stand-in until SIGTERM. */
#include "upstream_server.h"

#include <csignal>
#include <cstdio>
#include <gflags/gflags.h>
#include <string>
#include <vector>

DEFINE_string(host, "127.0.0.1", "address to listen on");
DEFINE_uint32(port, 0, "port to listen on; 0 for any free one");
DEFINE_string(service, "service", "service to announce");
DEFINE_string(service_version, "v1",
              "version to announce; may be written as --version=NAME");
DEFINE_uint32(slots, 10, "calls worked on at once");
DEFINE_uint32(connections, 120, "connections accepted");
DEFINE_double(service_ms, 5, "time of a call on a warm host, in ms");
DEFINE_int64(warm_ms, 30000,
             "time in ms that warms a cold host; 0 starts warm");
DEFINE_uint32(cold_slots, 1, "calls that a cold host can bear");
DEFINE_uint32(warm_calls, 50, "completed calls that warm a cold host");
DEFINE_string(announce, "", "http://ip:port of the node beside it");
DEFINE_int64(drain_ms, 5000, "longest time for calls in progress at the end");

/** Renames --version=NAME to --service_version=NAME. gflags itself defines a
 * flag "version", and a second definition would abort the program at startup.
 */
static auto renameVersion(int Count, char **Arguments)
    -> std::vector<std::string> {
  auto Renamed = std::vector<std::string>(Arguments, Arguments + Count);
  for (auto &Argument : Renamed) {
    if (Argument.starts_with("--version=")) {
      Argument = "--service_" + Argument.substr(2);
    }
  }
  return Renamed;
}

auto main(int Count, char **Arguments) -> int {
  using namespace sycamorelb;
  auto Texts = renameVersion(Count, Arguments);
  auto Pointers = std::vector<char *>();
  for (auto &Text : Texts) {
    Pointers.push_back(Text.data());
  }
  Pointers.push_back(nullptr);
  Arguments = Pointers.data();
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  // The signals are blocked in all threads, so that sigwait receives them.
  auto Signals = sigset_t();
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  auto Options = standin::upstream_options();
  Options.Host = FLAGS_host;
  Options.Port = static_cast<std::uint16_t>(FLAGS_port);
  Options.Service = FLAGS_service;
  Options.Version = FLAGS_service_version;
  Options.Connections = FLAGS_connections;
  Options.Announce = FLAGS_announce;
  Options.Behaviour.ServiceMs = FLAGS_service_ms;
  Options.Behaviour.Slots = FLAGS_slots;
  Options.Behaviour.WarmMs = FLAGS_warm_ms;
  Options.Behaviour.ColdSlots = FLAGS_cold_slots;
  Options.Behaviour.WarmCalls = FLAGS_warm_calls;
  auto Server = standin::upstream_server(Options);
  auto Started = Server.start();
  if (!isOk(Started)) {
    std::fprintf(stderr, "%s\n", describe(errorOf(Started)).c_str());
    return 1;
  }
  std::printf("listening on %s:%u\n", Options.Host.c_str(), valueOf(Started));
  std::fflush(stdout);
  auto Signal = 0;
  sigwait(&Signals, &Signal);
  Server.stop(millis(FLAGS_drain_ms));
  return 0;
}
