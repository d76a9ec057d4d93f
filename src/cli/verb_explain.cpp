/** @file verb_explain.cpp The verb that shows the log lines of one call. */
#include "cli/client_func.h"
#include "cli/flags.h"
#include "cli/verb_func.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <vector>

namespace sycamorelb::cli {

/** @return the log lines of a call, ordered by timestamp. Lines that are not
 * JSON objects, such as those of other programs, are skipped. */
static auto findCallLines(std::istream &Log, const std::string &RequestId)
    -> std::vector<nlohmann::json> {
  auto Lines = std::vector<nlohmann::json>();
  for (auto Text = std::string(); std::getline(Log, Text);) {
    // A log collector may have added a prefix before the object.
    auto Start = Text.find("{\"ts\":");
    if (Start == std::string::npos ||
        Text.find(RequestId) == std::string::npos) {
      continue;
    }
    auto Line =
        nlohmann::json::parse(Text.begin() + static_cast<std::ptrdiff_t>(Start),
                              Text.end(), nullptr, false);
    if (Line.is_object() && Line.value("id", "") == RequestId) {
      Lines.push_back(std::move(Line));
    }
  }
  std::stable_sort(Lines.begin(), Lines.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.value("ts", 0.0) < Right.value("ts", 0.0);
                   });
  return Lines;
}

/** @return the fields of a line that are specific to its event, as
 * "name=value" pairs. */
static auto formatFields(const nlohmann::json &Line) -> std::string {
  auto Fields = std::string();
  for (const auto &[Name, Value] : Line.items()) {
    if (Name == "ts" || Name == "node" || Name == "event" || Name == "id") {
      continue;
    }
    auto Text = Value.is_string() ? Value.get<std::string>() : Value.dump();
    if (!Text.empty()) {
      Fields.append(Fields.empty() ? "" : " ").append(Name);
      Fields.append("=").append(Text);
    }
  }
  return Fields;
}

static void printTable(const std::vector<nlohmann::json> &Lines) {
  auto StartSeconds = Lines.front().value("ts", 0.0);
  for (const auto &Line : Lines) {
    auto Millis = (Line.value("ts", 0.0) - StartSeconds) * 1e3;
    std::cout << "+" << static_cast<long>(Millis) << " ms  "
              << Line.value("node", "") << "  " << Line.value("event", "")
              << "  " << formatFields(Line) << "\n";
  }
}

auto runExplain(const arguments &Arguments) -> exit_code {
  auto File = std::ifstream();
  if (Arguments[1] != "-") {
    File.open(Arguments[1]);
    if (!File) {
      return reportError({error_code::NotFound, "read_log", Arguments[1],
                          "the file cannot be read"});
    }
  }
  auto Lines =
      findCallLines(Arguments[1] == "-" ? std::cin : File, Arguments[0]);
  if (Lines.empty()) {
    return reportError({error_code::NotFound, "explain", Arguments[0],
                        "the log has no line for this call; lines of calls "
                        "that were served may have been omitted"});
  }
  if (!FLAGS_json) {
    printTable(Lines);
    return exit_code::Done;
  }
  for (const auto &Line : Lines) {
    std::cout << Line.dump() << "\n";
  }
  return exit_code::Done;
}

} // namespace sycamorelb::cli
