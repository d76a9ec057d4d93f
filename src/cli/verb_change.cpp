/** @file verb_change.cpp Verbs that check or change the configuration. */
#include "cli/client_func.h"
#include "cli/flags.h"
#include "cli/verb_func.h"
#include "sycamorelb/config/declaration_func.h"
#include "sycamorelb/core/clock_func.h"

#include <cstdlib>
#include <iostream>
#include <thread>

namespace sycamorelb::cli {

using admin::admin_client;
using admin::outcome;

static auto toJson(const std::vector<config::declaration_error> &Faults)
    -> nlohmann::json {
  auto List = nlohmann::json::array();
  for (const auto &Fault : Faults) {
    List.push_back({{"file", Fault.File},
                    {"pointer", Fault.Pointer},
                    {"found", Fault.Found},
                    {"allowed", Fault.Allowed}});
  }
  return List;
}

/** Reads and checks a declaration file; prints all errors. */
static auto loadDeclaration(const std::string &File, std::string &Text,
                            config::declaration &Declaration) -> exit_code {
  auto Read = readFile(File);
  if (!isOk(Read)) {
    return reportError(errorOf(Read));
  }
  Text = valueOf(Read);
  auto Parsed = config::parseDeclaration(Text, File);
  if (const auto *Faults =
          std::get_if<std::vector<config::declaration_error>>(&Parsed)) {
    if (FLAGS_json) {
      std::cout << nlohmann::json{{"valid", false}, {"faults", toJson(*Faults)}}
                       .dump()
                << "\n";
    }
    for (const auto &Fault : *Faults) {
      std::cerr << config::describe(Fault) << "\n";
    }
    return exit_code::Refused;
  }
  Declaration = std::get<config::declaration>(Parsed);
  return exit_code::Done;
}

auto runCheck(const arguments &Arguments) -> exit_code {
  auto Text = std::string();
  auto Declaration = config::declaration();
  auto Code = loadDeclaration(Arguments[0], Text, Declaration);
  if (Code != exit_code::Done) {
    return Code;
  }
  if (FLAGS_json) {
    std::cout << nlohmann::json{{"valid", true}, {"faults", nullptr}}.dump()
              << "\n";
  } else {
    std::cout << Arguments[0] << ": valid, " << Declaration.Zones.size()
              << " zones, " << Declaration.Services.size() << " services, "
              << Declaration.Routes.size() << " routes, "
              << Declaration.Moves.size() << " moves\n";
  }
  return exit_code::Done;
}

auto runApply(const arguments &Arguments) -> exit_code {
  auto Text = std::string();
  auto Declaration = config::declaration();
  auto Code = loadDeclaration(Arguments[0], Text, Declaration);
  if (Code != exit_code::Done) {
    return Code;
  }
  auto Request = chooseRequestId();
  auto Outcome = outcome();
  return runMutation(
      Request,
      [&](admin_client &Client) {
        return Client.apply(Request, Text, Arguments[0]);
      },
      Outcome);
}

auto runDiff(const arguments &Arguments) -> exit_code {
  auto Text = std::string();
  auto Target = config::declaration();
  auto Code = loadDeclaration(Arguments[0], Text, Target);
  if (Code != exit_code::Done) {
    return Code;
  }
  auto Client = connectClient();
  if (!isOk(Client)) {
    return reportError(errorOf(Client));
  }
  auto Current = valueOf(Client)->readDeclaration();
  if (!isOk(Current)) {
    return reportError(errorOf(Current));
  }
  auto Parsed = config::parseDeclaration(valueOf(Current).Text, "in force");
  const auto *CurrentDeclaration = std::get_if<config::declaration>(&Parsed);
  auto Lines = config::diffDeclarations(CurrentDeclaration == nullptr
                                            ? config::declaration()
                                            : *CurrentDeclaration,
                                        Target);
  if (FLAGS_json) {
    std::cout << nlohmann::json{{"version", valueOf(Current).Version.Value},
                                {"changes", Lines}}
                     .dump()
              << "\n";
    return exit_code::Done;
  }
  for (const auto &Line : Lines) {
    std::cout << Line << "\n";
  }
  if (Lines.empty()) {
    std::cout << "no changes\n";
  }
  return exit_code::Done;
}

/** Parses the time of --by: ISO-8601 UTC, or relative to now such as +10m. */
static auto parseBy(const std::string &Text) -> std::optional<wall_ms> {
  if (Text.empty() || Text[0] != '+') {
    return config::parseTime(Text);
  }
  char *Unit = nullptr;
  auto Count = std::strtoll(Text.c_str() + 1, &Unit, 10);
  auto UnitMs = std::int64_t{0};
  if (std::string(Unit) == "s") {
    UnitMs = 1'000;
  } else if (std::string(Unit) == "m") {
    UnitMs = 60'000;
  } else if (std::string(Unit) == "h") {
    UnitMs = 3'600'000;
  }
  if (Count <= 0 || UnitMs == 0) {
    return std::nullopt;
  }
  return wall_ms{wallNow().Value + Count * UnitMs};
}

/** Prints a line if the progress of a move has changed. */
static void showProgress(const admin::move_status &State,
                         std::string &LastLine) {
  auto Line = State.Phase + ", share " +
              std::to_string(State.Share.Value / 10'000) + " %, step " +
              std::to_string(State.Step);
  if (Line != LastLine) {
    std::cerr << Line << "\n";
    LastLine = Line;
  }
}

/** Waits for the verdict of a move; shows progress. */
static auto awaitVerdict(const request_id &Move, wall_ms By) -> exit_code {
  // The verdict may be recorded shortly after the deadline of the move.
  auto Deadline = wall_ms{By.Value + 30'000};
  auto LastLine = std::string();
  while (wallNow() < Deadline) {
    auto Client = connectClient();
    auto Status = isOk(Client) ? valueOf(Client)->readStatus()
                               : result<admin::status>(errorOf(Client));
    if (isOk(Status)) {
      for (const auto &State : valueOf(Status).Moves) {
        if (State.Id != Move.Value) {
          continue;
        }
        showProgress(State, LastLine);
        if (State.Phase != "running") {
          std::cout << "move " << State.Id << ": " << State.Phase
                    << (State.Reason.empty() ? "" : ", " + State.Reason)
                    << "\n";
          return State.Phase == "done" ? exit_code::Done : exit_code::Refused;
        }
      }
    }
    std::this_thread::sleep_for(millis(500));
  }
  std::cerr << "sycamorelb move: no verdict 30 s after the deadline\n";
  return exit_code::Unknown;
}

static auto takeBackMove(const service_id &Service) -> exit_code {
  auto Request = chooseRequestId();
  auto Outcome = outcome();
  return runMutation(
      Request,
      [&](admin_client &Client) {
        return Client.takeBackMove(Request, Service);
      },
      Outcome);
}

auto runMove(const arguments &Arguments) -> exit_code {
  if (FLAGS_back) {
    return takeBackMove({Arguments[0]});
  }
  auto By = parseBy(FLAGS_by);
  if (FLAGS_to.empty() || !By) {
    std::cerr << "sycamorelb move: --to=VERSION and --by=TIME are required\n";
    return exit_code::Usage;
  }
  auto Request = chooseRequestId();
  auto Move = admin::move_request();
  Move.Service = {Arguments[0]};
  Move.From = {FLAGS_from};
  Move.To = {FLAGS_to};
  Move.By = *By;
  Move.MaxEarlyShare = {
      static_cast<std::uint32_t>(FLAGS_max_early_share_percent * 10'000)};
  auto Outcome = outcome();
  auto Code = runMutation(
      Request,
      [&](admin_client &Client) { return Client.startMove(Request, Move); },
      Outcome);
  if (Code != exit_code::Done || !FLAGS_wait) {
    return Code;
  }
  return awaitVerdict(Request, *By);
}

auto runZone(const arguments &Arguments) -> exit_code {
  if (Arguments[0] != "out" && Arguments[0] != "in") {
    std::cerr << "sycamorelb zone: the first argument must be out or in\n";
    return exit_code::Usage;
  }
  auto Request = chooseRequestId();
  auto Outcome = outcome();
  return runMutation(
      Request,
      [&](admin_client &Client) {
        return Client.setZone(Request, {Arguments[1]}, Arguments[0] == "in");
      },
      Outcome);
}

auto runOutcome(const arguments &Arguments) -> exit_code {
  auto Client = connectClient();
  if (!isOk(Client)) {
    return reportError(errorOf(Client));
  }
  auto Answer = valueOf(Client)->findOutcome({Arguments[0]});
  if (!isOk(Answer)) {
    return reportError(errorOf(Answer));
  }
  printOutcome({Arguments[0]}, valueOf(Answer));
  return exitCodeOf(valueOf(Answer));
}

} // namespace sycamorelb::cli
