/** @file reference_check.cpp Names, references, ranges across members, and
 * duplicates in a declaration. */
#include "config/schema_check.h"

#include "config/declaration_json.h"
#include "config/json_text.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace sycamorelb::config {

using nlohmann::json;

/** Longest name and longest path prefix. */
static constexpr std::size_t MaxNameBytes = 64;
static constexpr std::size_t MaxPathBytes = 256;

static constexpr char NameRule[] =
    "1 to 64 letters, digits, '.', '_' or '-', the first a letter or digit";

/** Collects the faults while the members are visited. */
struct checker {
  std::string File;                      ///< File name for the errors.
  std::vector<declaration_error> Errors; ///< Faults so far.

  void add(const std::string &Pointer, const json &Found,
           const std::string &Allowed) {
    Errors.push_back({File, Pointer, excerpt(Found), Allowed});
  }
};

static auto isAsciiAlnum(char Byte) -> bool {
  return (Byte >= '0' && Byte <= '9') || (Byte >= 'a' && Byte <= 'z') ||
         (Byte >= 'A' && Byte <= 'Z');
}

auto isName(std::string_view Name) -> bool {
  return !Name.empty() && Name.size() <= MaxNameBytes &&
         isAsciiAlnum(Name.front()) &&
         std::all_of(Name.begin(), Name.end(), [](char Byte) {
           return isAsciiAlnum(Byte) || Byte == '.' || Byte == '_' ||
                  Byte == '-';
         });
}

static auto isPathPrefix(std::string_view Path) -> bool {
  return !Path.empty() && Path.size() <= MaxPathBytes && Path.front() == '/' &&
         std::all_of(Path.begin(), Path.end(), [](char Byte) {
           return Byte > ' ' && Byte < 0x7f && Byte != '?' && Byte != '#';
         });
}

/** @return the member when it is a string. */
static auto stringAt(const json &Object, const char *Key)
    -> std::optional<std::string> {
  if (!Object.is_object() || !Object.contains(Key) ||
      !Object[Key].is_string()) {
    return std::nullopt;
  }
  return Object[Key].get<std::string>();
}

/** @return the member when it is an integer, else Default. */
static auto integerAt(const json &Object, const char *Key, std::int64_t Default)
    -> std::int64_t {
  return Object.contains(Key) && Object[Key].is_number_integer()
             ? Object[Key].get<std::int64_t>()
             : Default;
}

/** @return the member, or an empty value of the same kind. */
static auto memberAt(const json &Object, const char *Key) -> const json & {
  static const auto Nothing = json::array();
  auto Found = Object.is_object() ? Object.find(Key) : Object.end();
  auto Usable = Object.is_object() && Found != Object.end() &&
                (Found->is_object() || Found->is_array());
  return Usable ? *Found : Nothing;
}

static void checkName(checker &Checker, const json &Object, const char *Key,
                      const std::string &Pointer) {
  auto Name = stringAt(Object, Key);
  if (Name && !isName(*Name)) {
    Checker.add(Pointer + "/" + Key, *Name, NameRule);
  }
}

static void checkUnique(checker &Checker, std::set<std::string> &Seen,
                        const std::string &Name, const std::string &Pointer) {
  if (!Seen.insert(Name).second) {
    Checker.add(Pointer, Name, "a name that is not used before");
  }
}

static auto versionsOf(const json &Service) -> std::vector<std::string> {
  auto Versions = std::vector<std::string>();
  for (const auto &Version : memberAt(Service, "versions")) {
    if (Version.is_string()) {
      Versions.push_back(Version.get<std::string>());
    }
  }
  return Versions;
}

static void checkMember(checker &Checker, const json &Object, const char *Key,
                        const std::string &Pointer, const std::string &What,
                        const std::vector<std::string> &Names) {
  auto Name = stringAt(Object, Key);
  if (!Name || std::find(Names.begin(), Names.end(), *Name) != Names.end()) {
    return;
  }
  auto Allowed = What + ": " + listNames(Names);
  if (!Names.empty()) {
    Allowed += " (nearest: " + nearestWord(*Name, Names) + ")";
  }
  Checker.add(Pointer + "/" + Key, *Name, Allowed);
}

static auto keysOf(const json &Object) -> std::vector<std::string> {
  auto Names = std::vector<std::string>();
  if (Object.is_object()) {
    for (const auto &[Name, Ignored] : Object.items()) {
      Names.push_back(Name);
    }
  }
  return Names;
}

static void checkZonesAndServices(checker &Checker, const json &Root) {
  for (const char *Kind : {"zones", "services"}) {
    for (const auto &Name : keysOf(memberAt(Root, Kind))) {
      if (!isName(Name)) {
        Checker.add(std::string("/") + Kind + "/" + escapeToken(Name), Name,
                    NameRule);
      }
    }
  }
  for (const auto &Name : keysOf(memberAt(Root, "zones"))) {
    checkName(Checker, Root["zones"][Name], "region",
              "/zones/" + escapeToken(Name));
  }
  for (const auto &Name : keysOf(memberAt(Root, "services"))) {
    const auto &Service = Root["services"][Name];
    auto Pointer = "/services/" + escapeToken(Name);
    auto Versions = versionsOf(Service);
    auto Seen = std::set<std::string>();
    for (auto Index = std::size_t{0}; Index < Versions.size(); ++Index) {
      auto At = Pointer + "/versions/" + std::to_string(Index);
      if (!isName(Versions[Index])) {
        Checker.add(At, Versions[Index], NameRule);
      }
      checkUnique(Checker, Seen, Versions[Index], At);
    }
    checkMember(Checker, Service, "active_version", Pointer,
                "a version of the service", Versions);
  }
}

/** Faults between members of one route. */
static void checkRouteMembers(checker &Checker, const json &Route,
                              const std::string &Pointer) {
  checkName(Checker, Route, "name", Pointer);
  auto Path = stringAt(Route, "path_prefix");
  if (Path && !isPathPrefix(*Path)) {
    Checker.add(Pointer + "/path_prefix", *Path,
                "a path of at most 256 printable bytes that begins with '/' "
                "and has no '?' or '#'");
  }
  auto HedgeAfter = integerAt(Route, "hedge_after_ms", 0);
  auto Timeout = integerAt(Route, "timeout_ms", route().Timeout.count());
  if (HedgeAfter > 0 && HedgeAfter >= Timeout) {
    Checker.add(Pointer + "/hedge_after_ms", HedgeAfter,
                "0 (no hedge) or less than timeout_ms, which is " +
                    std::to_string(Timeout));
  }
  auto Idempotent = Route.contains("idempotent") &&
                    Route["idempotent"].is_boolean() &&
                    Route["idempotent"].get<bool>();
  if (HedgeAfter > 0 && !Idempotent) {
    Checker.add(Pointer + "/hedge_after_ms", HedgeAfter,
                "0 unless the route has \"idempotent\": true, because a hedge "
                "runs the call twice");
  }
}

/** Two routes with one prefix and a common method would be ambiguous. */
static void checkOverlap(checker &Checker, const json &Route,
                         const std::string &Pointer,
                         std::set<std::pair<std::string, std::string>> &Taken) {
  auto Path = stringAt(Route, "path_prefix");
  if (!Path) {
    return;
  }
  auto Methods = std::set<std::string>();
  for (const auto &Method : memberAt(Route, "methods")) {
    if (Method.is_string()) {
      auto Name = Method.get<std::string>();
      if (!Methods.insert(Name).second) {
        Checker.add(Pointer + "/methods", Name, "each method once");
      }
    }
  }
  if (Methods.empty()) {
    Methods = {"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"};
  }
  for (const auto &Method : Methods) {
    if (!Taken.insert({*Path, Method}).second) {
      Checker.add(Pointer + "/path_prefix", *Path,
                  "a prefix that no earlier route has for " + Method);
      return;
    }
  }
}

static void checkRoutes(checker &Checker, const json &Root) {
  auto Names = std::set<std::string>();
  auto Taken = std::set<std::pair<std::string, std::string>>();
  auto Services = keysOf(memberAt(Root, "services"));
  const auto &Routes = memberAt(Root, "routes");
  for (auto Index = std::size_t{0}; Routes.is_array() && Index < Routes.size();
       ++Index) {
    const auto &Route = Routes[Index];
    auto Pointer = "/routes/" + std::to_string(Index);
    if (!Route.is_object()) {
      continue;
    }
    checkRouteMembers(Checker, Route, Pointer);
    checkOverlap(Checker, Route, Pointer, Taken);
    checkMember(Checker, Route, "service", Pointer, "a declared service",
                Services);
    if (auto Name = stringAt(Route, "name")) {
      checkUnique(Checker, Names, *Name, Pointer + "/name");
    }
  }
}

void checkMoveMembers(const json &Move, const std::string &Pointer,
                      const std::string &File,
                      std::vector<declaration_error> &Errors) {
  auto Checker = checker{File, {}};
  for (const char *Key : {"id", "service", "from", "to"}) {
    checkName(Checker, Move, Key, Pointer);
  }
  auto By = stringAt(Move, "by");
  if (By && !parseTime(*By)) {
    Checker.add(Pointer + "/by", *By,
                "a time in ISO-8601 UTC such as 2026-03-01T06:30:00Z");
  }
  if (stringAt(Move, "to") && stringAt(Move, "from") == stringAt(Move, "to")) {
    Checker.add(Pointer + "/to", Move["to"], "a version other than \"from\"");
  }
  Errors.insert(Errors.end(), Checker.Errors.begin(), Checker.Errors.end());
}

static void checkMoves(checker &Checker, const json &Root) {
  auto Ids = std::set<std::string>();
  const auto &Services = memberAt(Root, "services");
  const auto &Moves = memberAt(Root, "moves");
  for (auto Index = std::size_t{0}; Moves.is_array() && Index < Moves.size();
       ++Index) {
    const auto &Move = Moves[Index];
    auto Pointer = "/moves/" + std::to_string(Index);
    checkMoveMembers(Move, Pointer, Checker.File, Checker.Errors);
    checkMember(Checker, Move, "service", Pointer, "a declared service",
                keysOf(Services));
    auto Service = stringAt(Move, "service");
    if (Service && Services.is_object() && Services.contains(*Service)) {
      auto Versions = versionsOf(Services[*Service]);
      checkMember(Checker, Move, "from", Pointer, "a version of the service",
                  Versions);
      checkMember(Checker, Move, "to", Pointer, "a version of the service",
                  Versions);
    }
    if (auto Id = stringAt(Move, "id")) {
      checkUnique(Checker, Ids, *Id, Pointer + "/id");
    }
  }
}

auto checkReferences(const json &Root, const std::string &File)
    -> std::vector<declaration_error> {
  auto Checker = checker{File, {}};
  if (Root.is_object()) {
    checkZonesAndServices(Checker, Root);
    checkRoutes(Checker, Root);
    checkMoves(Checker, Root);
  }
  return Checker.Errors;
}

auto checkJson(const json &Root, const std::string &File)
    -> std::vector<declaration_error> {
  auto Errors = checkSchema(Root, schema_part::Declaration, File);
  auto More = checkReferences(Root, File);
  Errors.insert(Errors.end(), More.begin(), More.end());
  return Errors;
}

} // namespace sycamorelb::config
