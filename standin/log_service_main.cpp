/** @file log_service_main.cpp Runs the stand-in log service until SIGTERM. */
#include "log_service.h"

#include <csignal>
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_uint32(port, 0, "port on loopback; 0 for a free one");
DEFINE_uint32(retention_s, 0, "age at which records expire; 0 for never");
DEFINE_uint32(threads, 256, "connections served at once");

auto main(int Count, char **Arguments) -> int {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  // The signals are blocked before any thread starts, so that sigwait receives
  // them.
  auto Signals = sigset_t();
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  auto Options = sycamorelb::standin::log_service_options();
  Options.Port = static_cast<std::uint16_t>(FLAGS_port);
  Options.Retention = std::chrono::seconds(FLAGS_retention_s);
  Options.Threads = FLAGS_threads;
  auto Service = sycamorelb::standin::log_service(Options);
  if (Service.port() == 0) {
    std::fprintf(stderr, "log_service: cannot listen on port %u\n", FLAGS_port);
    return 1;
  }
  std::printf("listening on 127.0.0.1:%u\n", unsigned{Service.port()});
  std::fflush(stdout);
  auto Signal = 0;
  sigwait(&Signals, &Signal);
  return 0;
}
