/** @file verb_view.cpp Verbs that show state or stop a node. */
#include "cli/client_func.h"
#include "cli/flags.h"
#include "cli/text_table.h"
#include "cli/verb_func.h"
#include "sycamorelb/config/declaration_func.h"

#include <cstdio>
#include <iostream>
#include <thread>

namespace sycamorelb::cli {

using nlohmann::json;

static constexpr auto ProgramVersion = "0.1.0";

static auto toJson(const admin::status &Status) -> json {
  auto Nodes = json::array();
  for (const auto &Node : Status.Nodes) {
    auto Upstreams = json::array();
    for (const auto &Upstream : Node.Upstreams) {
      Upstreams.push_back({{"service", Upstream.Service},
                           {"version", Upstream.Version},
                           {"address", Upstream.Address},
                           {"state", Upstream.State},
                           {"limit", Upstream.Limit},
                           {"in_flight", Upstream.InFlight},
                           {"slots", Upstream.Slots}});
    }
    Nodes.push_back({{"id", Node.Id},
                     {"zone", Node.Zone},
                     {"region", Node.Region},
                     {"state", Node.State},
                     {"config_position", Node.ConfigPosition.Value},
                     {"admin_address", Node.AdminAddress},
                     {"upstreams", Upstreams}});
  }
  auto Moves = json::array();
  for (const auto &Move : Status.Moves) {
    Moves.push_back({{"id", Move.Id},
                     {"service", Move.Service},
                     {"from", Move.From},
                     {"to", Move.To},
                     {"phase", Move.Phase},
                     {"share_ppm", Move.Share.Value},
                     {"by", config::formatTime(Move.By)},
                     {"reason", Move.Reason},
                     {"step", Move.Step}});
  }
  auto Zones = json::array();
  for (const auto &Zone : Status.Zones) {
    Zones.push_back({{"id", Zone.Id},
                     {"region", Zone.Region},
                     {"in_service", Zone.InService}});
  }
  return {{"node", Status.Node},
          {"config_version", Status.ConfigVersion.Value},
          {"config_position", Status.ConfigPosition.Value},
          {"nodes", Nodes},
          {"moves", Moves},
          {"zones", Zones}};
}

static auto formatPercent(share_ppm Share) -> std::string {
  char Text[16];
  std::snprintf(Text, sizeof Text, "%.1f %%", Share.Value / 10'000.0);
  return Text;
}

static void printTables(const admin::status &Status) {
  std::cout << "version " << Status.ConfigVersion.Value << ", position "
            << Status.ConfigPosition.Value << ", seen by " << Status.Node
            << "\n\n";
  auto Nodes =
      text_table({"node", "zone", "state", "position", "service", "version",
                  "upstream", "load", "limit", "in flight"});
  for (const auto &Node : Status.Nodes) {
    auto Start = text_row{Node.Id, Node.Zone, Node.State,
                          std::to_string(Node.ConfigPosition.Value)};
    if (Node.Upstreams.empty()) {
      Nodes.add(Start);
    }
    for (const auto &Upstream : Node.Upstreams) {
      auto Row = Start;
      Row.insert(Row.end(),
                 {Upstream.Service, Upstream.Version, Upstream.Address,
                  Upstream.State, std::to_string(Upstream.Limit),
                  std::to_string(Upstream.InFlight)});
      Nodes.add(Row);
    }
  }
  std::cout << Nodes.render() << "\n";
  auto Zones = text_table({"zone", "region", "in service"});
  for (const auto &Zone : Status.Zones) {
    Zones.add({Zone.Id, Zone.Region, Zone.InService ? "yes" : "no"});
  }
  std::cout << Zones.render();
  if (Status.Moves.empty()) {
    return;
  }
  auto Moves = text_table(
      {"move", "service", "from", "to", "phase", "share", "by", "reason"});
  for (const auto &Move : Status.Moves) {
    Moves.add({Move.Id, Move.Service, Move.From, Move.To, Move.Phase,
               formatPercent(Move.Share), config::formatTime(Move.By),
               Move.Reason});
  }
  std::cout << "\n" << Moves.render();
}

static auto showStatus() -> exit_code {
  auto Client = connectClient();
  if (!isOk(Client)) {
    return reportError(errorOf(Client));
  }
  auto Status = valueOf(Client)->readStatus();
  if (!isOk(Status)) {
    return reportError(errorOf(Status));
  }
  if (FLAGS_json) {
    std::cout << toJson(valueOf(Status)).dump() << std::endl;
  } else {
    printTables(valueOf(Status));
  }
  return exit_code::Done;
}

auto runStatus(const arguments & /*Arguments*/) -> exit_code {
  auto Code = showStatus();
  while (FLAGS_watch) {
    std::this_thread::sleep_for(millis(FLAGS_interval_ms));
    if (!FLAGS_json) {
      std::cout << "\n---\n";
    }
    Code = showStatus();
  }
  return Code;
}

auto runDump(const arguments & /*Arguments*/) -> exit_code {
  auto Client = connectClient();
  if (!isOk(Client)) {
    return reportError(errorOf(Client));
  }
  auto Dump = valueOf(Client)->dump();
  if (!isOk(Dump)) {
    return reportError(errorOf(Dump));
  }
  if (FLAGS_json) {
    std::cout << valueOf(Dump) << "\n";
    return exit_code::Done;
  }
  auto Document = json::parse(valueOf(Dump), nullptr, false);
  auto Table = text_table({"member", "value"});
  for (const auto &[Name, Value] : Document.flatten().items()) {
    Table.add({Name.substr(1),
               Value.is_string() ? Value.get<std::string>() : Value.dump()});
  }
  std::cout << Table.render();
  return exit_code::Done;
}

auto runDrain(const arguments & /*Arguments*/) -> exit_code {
  auto Client = connectClient();
  if (!isOk(Client)) {
    return reportError(errorOf(Client));
  }
  auto Drained = valueOf(Client)->drain();
  if (!isOk(Drained)) {
    return reportError(errorOf(Drained));
  }
  std::cout << (FLAGS_json ? R"({"draining":true})" : "the node drains")
            << "\n";
  return exit_code::Done;
}

auto runVersion(const arguments & /*Arguments*/) -> exit_code {
  if (FLAGS_json) {
    std::cout << json{{"version", ProgramVersion}}.dump() << "\n";
  } else {
    std::cout << "sycamorelb " << ProgramVersion << "\n";
  }
  return exit_code::Done;
}

} // namespace sycamorelb::cli
