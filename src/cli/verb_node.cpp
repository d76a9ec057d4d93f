/** @file verb_node.cpp The verb that runs a node. */
#include "cli/client_func.h"
#include "cli/flags.h"
#include "cli/verb_func.h"
#include "sycamorelb/node/node.h"
#include "sycamorelb/settings/settings_func.h"
#include "sycamorelb/telemetry/log_func.h"

#include <csignal>
#include <ctime>
#include <iostream>

namespace sycamorelb::cli {

/** Blocks the signals that stop the node, in this and all later threads. */
static auto blockStopSignals() -> sigset_t {
  auto Signals = sigset_t();
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  // A peer that closes a connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

/** Waits for a stop signal or for an operator's drain request. */
static void awaitStop(const sigset_t &Signals, const node::node &Node) {
  static constexpr auto PollPeriod = timespec{0, 100'000'000};
  while (sigtimedwait(&Signals, nullptr, &PollPeriod) < 0 &&
         !Node.drainRequested()) {
  }
}

auto runNode(const arguments & /*Arguments*/) -> exit_code {
  if (FLAGS_print_settings) {
    std::cout << settings::renderSettings(settings::exampleSettings());
    return exit_code::Done;
  }
  auto Settings = settings::readSettings(FLAGS_settings);
  if (!isOk(Settings)) {
    return reportError(errorOf(Settings));
  }
  auto Level = telemetry::parseLogLevel(valueOf(Settings).LogLevel);
  if (!isOk(Level)) {
    return reportError(errorOf(Level));
  }
  auto Signals = blockStopSignals();
  telemetry::startLogging(valueOf(Level), valueOf(Settings).Id);
  auto Node = node::node::start(valueOf(Settings));
  if (!isOk(Node)) {
    return reportError(errorOf(Node));
  }
  awaitStop(Signals, *valueOf(Node));
  return valueOf(Node)->drain() ? exit_code::Done : exit_code::Refused;
}

} // namespace sycamorelb::cli
