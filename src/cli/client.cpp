/** @file client.cpp Functions shared by the client verbs. */
#include "cli/client_func.h"

#include "cli/flags.h"
#include "sycamorelb/core/clock_func.h"
#include "sycamorelb/settings/settings_func.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace sycamorelb::cli {

using admin::admin_client;
using admin::outcome;
using admin::outcome_kind;

/** Pause between two queries for the outcome of a request. */
static constexpr auto OutcomePollPeriod = millis(200);

auto readFile(const std::string &Path) -> result<std::string> {
  auto Stream = std::ifstream(Path);
  if (!Stream) {
    return error{error_code::NotFound, "file.read", Path,
                 "the file cannot be read"};
  }
  auto Text = std::ostringstream();
  Text << Stream.rdbuf();
  return Text.str();
}

auto readClientAccess() -> result<client_access> {
  auto File = FLAGS_settings;
  const auto *Variable = std::getenv("SYCAMORELB_SETTINGS");
  if (File.empty() && Variable != nullptr) {
    File = Variable;
  }
  if (File.empty()) {
    return error{error_code::InvalidArgument, "cli.access", "",
                 "--settings=FILE or SYCAMORELB_SETTINGS must name a settings "
                 "file that holds the admin keys"};
  }
  auto Settings = settings::readSettings(File);
  if (!isOk(Settings)) {
    return errorOf(Settings);
  }
  auto Access = client_access();
  for (const auto &Key : valueOf(Settings).AdminKeys) {
    Access.Keys.push_back({Key.Id, Key.Secret});
  }
  const auto &Listen = valueOf(Settings).Listen;
  Access.Address = FLAGS_node.empty()
                       ? Listen.Ip + ":" + std::to_string(Listen.AdminPort)
                       : FLAGS_node;
  return Access;
}

auto connectClient() -> result<std::unique_ptr<admin_client>> {
  auto Access = readClientAccess();
  if (!isOk(Access)) {
    return errorOf(Access);
  }
  return admin_client::connect(valueOf(Access).Address, valueOf(Access).Keys,
                               millis(FLAGS_timeout_ms));
}

auto chooseRequestId() -> request_id {
  if (!FLAGS_request_id.empty()) {
    return {FLAGS_request_id};
  }
  auto Device = std::random_device();
  char Text[33];
  std::snprintf(Text, sizeof Text, "%08x%08x%08x%08x", Device(), Device(),
                Device(), Device());
  return {Text};
}

auto reportError(const error &Error) -> exit_code {
  std::cerr << "sycamorelb: " << describe(Error) << "\n";
  switch (Error.Code) {
  case error_code::Unreachable:
  case error_code::Unauthorized:
    return exit_code::Unreachable;
  case error_code::Timeout:
    return exit_code::Unknown;
  case error_code::InvalidArgument:
  case error_code::NotFound:
    return exit_code::Usage;
  default:
    return exit_code::Refused;
  }
}

auto exitCodeOf(const outcome &Outcome) -> exit_code {
  switch (Outcome.Kind) {
  case outcome_kind::Accepted:
    return exit_code::Done;
  case outcome_kind::Rejected:
  case outcome_kind::NotAccepted:
    return exit_code::Refused;
  case outcome_kind::Unknown:
    return exit_code::Unknown;
  }
  return exit_code::Unknown;
}

void printOutcome(const request_id &Request, const outcome &Outcome) {
  if (FLAGS_json) {
    std::cout << nlohmann::json{{"request_id", Request.Value},
                                {"outcome", outcomeName(Outcome.Kind)},
                                {"version", Outcome.Version.Value},
                                {"messages", Outcome.Messages},
                                {"nodes_in_force", Outcome.NodesInForce},
                                {"nodes_total", Outcome.NodesTotal},
                                {"lagging", Outcome.Lagging}}
                     .dump()
              << "\n";
    return;
  }
  std::cout << outcomeName(Outcome.Kind);
  if (Outcome.Kind == outcome_kind::Accepted) {
    std::cout << ": version " << Outcome.Version.Value << " in force on "
              << Outcome.NodesInForce << " of " << Outcome.NodesTotal
              << " nodes";
  }
  std::cout << " (request " << Request.Value << ")\n";
  for (const auto &Message : Outcome.Messages) {
    std::cout << "  " << Message << "\n";
  }
  for (const auto &Node : Outcome.Lagging) {
    std::cout << "  not yet on " << Node << "\n";
  }
  if (Outcome.Kind == outcome_kind::Unknown) {
    std::cout << "  ask again: sycamorelb outcome " << Request.Value << "\n";
  }
}

/** Queries the outcome of a request until it is known or Deadline passes. */
static auto pollOutcome(const request_id &Request, steady_time Deadline)
    -> outcome {
  auto Outcome = outcome();
  while (steadyNow() < Deadline && Outcome.Kind == outcome_kind::Unknown) {
    auto Client = connectClient();
    if (isOk(Client)) {
      auto Answer = valueOf(Client)->findOutcome(Request);
      if (isOk(Answer)) {
        Outcome = valueOf(Answer);
      }
    }
    std::this_thread::sleep_for(OutcomePollPeriod);
  }
  return Outcome;
}

/** Waits until all live nodes have applied the version; shows progress. */
static void awaitAllNodes(admin_client &Client, const request_id &Request,
                          outcome &Outcome, steady_time Deadline) {
  while (Outcome.NodesInForce < Outcome.NodesTotal && steadyNow() < Deadline) {
    std::cerr << "in force on " << Outcome.NodesInForce << " of "
              << Outcome.NodesTotal << " nodes\n";
    std::this_thread::sleep_for(OutcomePollPeriod);
    auto Answer = Client.findOutcome(Request);
    if (!isOk(Answer)) {
      break;
    }
    Outcome = valueOf(Answer);
  }
}

auto runMutation(const request_id &Request, const send_function &Send,
                 outcome &Outcome) -> exit_code {
  auto Deadline = steadyNow() + millis(FLAGS_timeout_ms);
  auto Client = connectClient();
  if (!isOk(Client)) {
    return reportError(errorOf(Client));
  }
  auto Answer = Send(*valueOf(Client));
  if (isOk(Answer)) {
    Outcome = valueOf(Answer);
  } else {
    reportError(errorOf(Answer));
    Outcome = pollOutcome(Request, Deadline);
  }
  if (FLAGS_wait && Outcome.Kind == outcome_kind::Accepted) {
    awaitAllNodes(*valueOf(Client), Request, Outcome, Deadline);
  }
  printOutcome(Request, Outcome);
  auto Lagging = FLAGS_wait && Outcome.Kind == outcome_kind::Accepted &&
                 Outcome.NodesInForce < Outcome.NodesTotal;
  return Lagging ? exit_code::Unknown : exitCodeOf(Outcome);
}

} // namespace sycamorelb::cli
