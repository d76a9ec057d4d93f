/** @file main.cpp Entry point: finds the verb, sets its flags, runs it. */
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
    auto Shown = std::string(Name);
    std::replace(Shown.begin(), Shown.end(), '_', '-');
    std::cout << "  --" << Shown << "  " << Info.description;
    if (!Info.default_value.empty()) {
      std::cout << " (default " << Info.default_value << ")";
    }
    std::cout << "\n";
  }
  std::cout << "\nExit codes: 0 done, 1 refused, 2 usage, 3 outcome unknown, "
               "4 unreachable.\n";
}

/** Sets one flag. @return what is wrong, or nothing. */
static auto setFlag(const verb &Verb, std::string_view Text)
    -> std::optional<std::string> {
  auto Equals = Text.find('=');
  auto Name = std::string(Text.substr(0, Equals));
  std::replace(Name.begin(), Name.end(), '-', '_');
  auto Accepted =
      std::any_of(Verb.Flags.begin(), Verb.Flags.end(),
                  [&Name](const char *Flag) { return Name == Flag; });
  if (!Accepted) {
    return "sycamorelb " + std::string(Verb.Name) + " has no flag --" +
           std::string(Text.substr(0, Equals));
  }
  auto Info = gflags::GetCommandLineFlagInfoOrDie(Name.c_str());
  if (Equals == std::string_view::npos && Info.type != "bool") {
    return "--" + Name + " needs a value: --" + Name + "=VALUE";
  }
  auto Value = Equals == std::string_view::npos
                   ? std::string("true")
                   : std::string(Text.substr(Equals + 1));
  if (gflags::SetCommandLineOption(Name.c_str(), Value.c_str()).empty()) {
    return "\"" + Value + "\" is no value for --" + Name + " (" + Info.type +
           ")";
  }
  return std::nullopt;
}

static auto usageError(const std::string &Message) -> int {
  std::cerr << "sycamorelb: " << Message << "\n";
  return static_cast<int>(exit_code::Usage);
}

static auto runVerb(const verb &Verb, const arguments &Words) -> int {
  auto Positional = arguments();
  for (const auto &Word : Words) {
    if (Word == "--help" || Word == "-h") {
      printHelp(Verb);
      return static_cast<int>(exit_code::Done);
    }
    if (Word.rfind("--", 0) != 0) {
      Positional.push_back(Word);
    } else if (auto Fault = setFlag(Verb, std::string_view(Word).substr(2))) {
      return usageError(*Fault);
    }
  }
  if (Positional.size() != Verb.Positional) {
    return usageError(std::string("usage: sycamorelb ") + Verb.Name + " " +
                      Verb.Usage);
  }
  return static_cast<int>(Verb.Run(Positional));
}

auto main(int Count, char **Values) -> int {
  auto Words = arguments(Values + std::min(Count, 1), Values + Count);
  if (Words.empty() || Words[0] == "--help" || Words[0] == "-h" ||
      Words[0] == "help") {
    printOverview(Words.empty() ? std::cerr : std::cout);
    return static_cast<int>(Words.empty() ? exit_code::Usage : exit_code::Done);
  }
  const auto &Table = verbTable();
  auto Found =
      std::find_if(Table.begin(), Table.end(), [&Words](const verb &Verb) {
        return Words[0] == Verb.Name;
      });
  if (Found == Table.end()) {
    printOverview(std::cerr);
    return usageError("unknown verb \"" + Words[0] + "\"");
  }
  return runVerb(*Found, arguments(Words.begin() + 1, Words.end()));
}
