/** @file main.cpp Entry point: finds the verb, sets its flags and runs it. */
#include "cli/verb_table.h"

#include <algorithm>
#include <gflags/gflags.h>
#include <iostream>
#include <optional>
#include <string_view>

using namespace sycamorelb::cli;

static void printOverview(std::ostream &Out) {
  Out << "usage: sycamorelb VERB [ARGUMENTS] [--FLAG=VALUE ...]\n\n";
  for (const auto &Verb : verbTable()) {
    Out << "  sycamorelb " << Verb.Name << " " << Verb.Usage << "\n";
  }
  Out << "\nsycamorelb VERB --help explains a verb.\n"
         "Exit codes: 0 done, 1 refused, 2 usage, 3 outcome unknown, "
         "4 unreachable.\n";
}

static void printHelp(const verb &Verb) {
  std::cout << "usage: sycamorelb " << Verb.Name << " " << Verb.Usage << "\n"
            << Verb.Help << "\n\nflags:\n";
  for (const auto *Name : Verb.Flags) {
    auto Info = gflags::CommandLineFlagInfo();
    gflags::GetCommandLineFlagInfo(Name, &Info);
    auto FlagName = std::string(Name);
    std::replace(FlagName.begin(), FlagName.end(), '_', '-');
    std::cout << "  --" << FlagName << "  " << Info.description;
    if (!Info.default_value.empty()) {
      std::cout << " (default " << Info.default_value << ")";
    }
    std::cout << "\n";
  }
  std::cout << "\nExit codes: 0 done, 1 refused, 2 usage, 3 outcome unknown, "
               "4 unreachable.\n";
}

/** Sets one flag. @return an error message, or nothing on success. */
static auto setFlag(const verb &Verb, std::string_view Flag)
    -> std::optional<std::string> {
  auto Equals = Flag.find('=');
  auto Name = std::string(Flag.substr(0, Equals));
  std::replace(Name.begin(), Name.end(), '-', '_');
  auto IsAccepted =
      std::any_of(Verb.Flags.begin(), Verb.Flags.end(),
                  [&Name](const char *Flag) { return Name == Flag; });
  if (!IsAccepted) {
    return "sycamorelb " + std::string(Verb.Name) + " has no flag --" +
           std::string(Flag.substr(0, Equals));
  }
  auto Info = gflags::GetCommandLineFlagInfoOrDie(Name.c_str());
  if (Equals == std::string_view::npos && Info.type != "bool") {
    return "--" + Name + " requires a value: --" + Name + "=VALUE";
  }
  auto Value = Equals == std::string_view::npos
                   ? std::string("true")
                   : std::string(Flag.substr(Equals + 1));
  if (gflags::SetCommandLineOption(Name.c_str(), Value.c_str()).empty()) {
    return "\"" + Value + "\" is not a valid value for --" + Name + " (" +
           Info.type + ")";
  }
  return std::nullopt;
}

static auto usageError(const std::string &Message) -> int {
  std::cerr << "sycamorelb: " << Message << "\n";
  return static_cast<int>(exit_code::Usage);
}

static auto runVerb(const verb &Verb, const arguments &Arguments) -> int {
  auto Positional = arguments();
  for (const auto &Argument : Arguments) {
    if (Argument == "--help" || Argument == "-h") {
      printHelp(Verb);
      return static_cast<int>(exit_code::Done);
    }
    if (Argument.rfind("--", 0) != 0) {
      Positional.push_back(Argument);
    } else if (auto Error =
                   setFlag(Verb, std::string_view(Argument).substr(2))) {
      return usageError(*Error);
    }
  }
  if (Positional.size() != Verb.PositionalCount) {
    return usageError(std::string("usage: sycamorelb ") + Verb.Name + " " +
                      Verb.Usage);
  }
  return static_cast<int>(Verb.Run(Positional));
}

auto main(int Count, char **Values) -> int {
  auto Arguments = arguments(Values + std::min(Count, 1), Values + Count);
  if (Arguments.empty() || Arguments[0] == "--help" || Arguments[0] == "-h" ||
      Arguments[0] == "help") {
    printOverview(Arguments.empty() ? std::cerr : std::cout);
    return static_cast<int>(Arguments.empty() ? exit_code::Usage
                                              : exit_code::Done);
  }
  const auto &Table = verbTable();
  auto Found =
      std::find_if(Table.begin(), Table.end(), [&Arguments](const verb &Verb) {
        return Arguments[0] == Verb.Name;
      });
  if (Found == Table.end()) {
    printOverview(std::cerr);
    return usageError("unknown verb \"" + Arguments[0] + "\"");
  }
  return runVerb(*Found, arguments(Arguments.begin() + 1, Arguments.end()));
}
