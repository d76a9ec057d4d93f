/** @file reference_check.cpp Validation of names, references, ranges that
 * depend on other members, and duplicates in a declaration. */
#include "config/schema_check.h"

#include "config/declaration_json.h"
#include "config/json_text.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace sycamorelb::config {

using nlohmann::json;

/** Maximum length of a name. */
static constexpr std::size_t MaxNameBytes = 64;
/** Maximum length of a path prefix. */
static constexpr std::size_t MaxPathBytes = 256;

static constexpr char NameRule[] =
    "1 to 64 letters, digits, '.', '_' or '-', the first a letter or digit";

/** Collects the errors in a file. */
struct error_collector {
  std::string File;                      ///< File name used in the errors.
  std::vector<declaration_error> Errors; ///< Errors so far.

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

/** @return the member if it is a string. */
static auto stringMember(const json &Object, const char *Key)
    -> std::optional<std::string> {
  if (!Object.is_object() || !Object.contains(Key) ||
      !Object[Key].is_string()) {
    return std::nullopt;
  }
  return Object[Key].get<std::string>();
}

/** @return the member if it is an integer, else Default. */
static auto integerMember(const json &Object, const char *Key,
                          std::int64_t Default) -> std::int64_t {
  return Object.contains(Key) && Object[Key].is_number_integer()
             ? Object[Key].get<std::int64_t>()
             : Default;
}

/** @return the member if it is an object or an array, else an empty array. */
static auto containerMember(const json &Object, const char *Key)
    -> const json & {
  static const auto Empty = json::array();
  auto Found = Object.is_object() ? Object.find(Key) : Object.end();
  auto Usable = Object.is_object() && Found != Object.end() &&
                (Found->is_object() || Found->is_array());
  return Usable ? *Found : Empty;
}

static void checkName(error_collector &Collector, const json &Object,
                      const char *Key, const std::string &Pointer) {
  auto Name = stringMember(Object, Key);
  if (Name && !isName(*Name)) {
    Collector.add(Pointer + "/" + Key, *Name, NameRule);
  }
}

static void checkUnique(error_collector &Collector, std::set<std::string> &Seen,
                        const std::string &Name, const std::string &Pointer) {
  if (!Seen.insert(Name).second) {
    Collector.add(Pointer, Name, "a name that is not used before");
  }
}

static auto versionNames(const json &Service) -> std::vector<std::string> {
  auto Versions = std::vector<std::string>();
  for (const auto &Version : containerMember(Service, "versions")) {
    if (Version.is_string()) {
      Versions.push_back(Version.get<std::string>());
    }
  }
  return Versions;
}

static void checkOneOf(error_collector &Collector, const json &Object,
                       const char *Key, const std::string &Pointer,
                       const std::string &Description,
                       const std::vector<std::string> &Names) {
  auto Name = stringMember(Object, Key);
  if (!Name || std::find(Names.begin(), Names.end(), *Name) != Names.end()) {
    return;
  }
  auto Allowed = Description + ": " + listNames(Names);
  if (!Names.empty()) {
    Allowed += " (nearest: " + nearestWord(*Name, Names) + ")";
  }
  Collector.add(Pointer + "/" + Key, *Name, Allowed);
}

static auto objectKeys(const json &Object) -> std::vector<std::string> {
  auto Names = std::vector<std::string>();
  if (Object.is_object()) {
    for (const auto &[Name, Ignored] : Object.items()) {
      Names.push_back(Name);
    }
  }
  return Names;
}

static void checkZonesAndServices(error_collector &Collector,
                                  const json &Root) {
  for (const char *Kind : {"zones", "services"}) {
    for (const auto &Name : objectKeys(containerMember(Root, Kind))) {
      if (!isName(Name)) {
        Collector.add(std::string("/") + Kind + "/" + escapeToken(Name), Name,
                      NameRule);
      }
    }
  }
  for (const auto &Name : objectKeys(containerMember(Root, "zones"))) {
    checkName(Collector, Root["zones"][Name], "region",
              "/zones/" + escapeToken(Name));
  }
  for (const auto &Name : objectKeys(containerMember(Root, "services"))) {
    const auto &Service = Root["services"][Name];
    auto Pointer = "/services/" + escapeToken(Name);
    auto Versions = versionNames(Service);
    auto Seen = std::set<std::string>();
    for (auto Index = std::size_t{0}; Index < Versions.size(); ++Index) {
      auto VersionPointer = Pointer + "/versions/" + std::to_string(Index);
      if (!isName(Versions[Index])) {
        Collector.add(VersionPointer, Versions[Index], NameRule);
      }
      checkUnique(Collector, Seen, Versions[Index], VersionPointer);
    }
    checkOneOf(Collector, Service, "active_version", Pointer,
               "a version of the service", Versions);
  }
}

/** Checks the members of a route, without its reference to a service. */
static void checkRouteMembers(error_collector &Collector, const json &Route,
                              const std::string &Pointer) {
  checkName(Collector, Route, "name", Pointer);
  auto Path = stringMember(Route, "path_prefix");
  if (Path && !isPathPrefix(*Path)) {
    Collector.add(Pointer + "/path_prefix", *Path,
                  "a path of at most 256 printable bytes that begins with '/' "
                  "and has no '?' or '#'");
  }
  auto HedgeAfter = integerMember(Route, "hedge_after_ms", 0);
  auto Timeout = integerMember(Route, "timeout_ms", route().Timeout.count());
  if (HedgeAfter > 0 && HedgeAfter >= Timeout) {
    Collector.add(Pointer + "/hedge_after_ms", HedgeAfter,
                  "0 (no hedge) or less than timeout_ms, which is " +
                      std::to_string(Timeout));
  }
  auto Idempotent = Route.contains("idempotent") &&
                    Route["idempotent"].is_boolean() &&
                    Route["idempotent"].get<bool>();
  if (HedgeAfter > 0 && !Idempotent) {
    Collector.add(
        Pointer + "/hedge_after_ms", HedgeAfter,
        "0 unless the route has \"idempotent\": true, because a hedge "
        "runs the call twice");
  }
}

/** Rejects routes that share a prefix and a method, which would be ambiguous.
 */
static void checkOverlap(error_collector &Collector, const json &Route,
                         const std::string &Pointer,
                         std::set<std::pair<std::string, std::string>> &Taken) {
  auto Path = stringMember(Route, "path_prefix");
  if (!Path) {
    return;
  }
  auto Methods = std::set<std::string>();
  for (const auto &Method : containerMember(Route, "methods")) {
    if (Method.is_string()) {
      auto Name = Method.get<std::string>();
      if (!Methods.insert(Name).second) {
        Collector.add(Pointer + "/methods", Name, "each method once");
      }
    }
  }
  if (Methods.empty()) {
    Methods = {"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"};
  }
  for (const auto &Method : Methods) {
    if (!Taken.insert({*Path, Method}).second) {
      Collector.add(Pointer + "/path_prefix", *Path,
                    "a prefix that no earlier route has for " + Method);
      return;
    }
  }
}

static void checkRoutes(error_collector &Collector, const json &Root) {
  auto Names = std::set<std::string>();
  auto Taken = std::set<std::pair<std::string, std::string>>();
  auto Services = objectKeys(containerMember(Root, "services"));
  const auto &Routes = containerMember(Root, "routes");
  for (auto Index = std::size_t{0}; Routes.is_array() && Index < Routes.size();
       ++Index) {
    const auto &Route = Routes[Index];
    auto Pointer = "/routes/" + std::to_string(Index);
    if (!Route.is_object()) {
      continue;
    }
    checkRouteMembers(Collector, Route, Pointer);
    checkOverlap(Collector, Route, Pointer, Taken);
    checkOneOf(Collector, Route, "service", Pointer, "a declared service",
               Services);
    if (auto Name = stringMember(Route, "name")) {
      checkUnique(Collector, Names, *Name, Pointer + "/name");
    }
  }
}

void checkMoveMembers(const json &Move, const std::string &Pointer,
                      const std::string &File,
                      std::vector<declaration_error> &Errors) {
  auto Collector = error_collector{File, {}};
  for (const char *Key : {"id", "service", "from", "to"}) {
    checkName(Collector, Move, Key, Pointer);
  }
  auto By = stringMember(Move, "by");
  if (By && !parseTime(*By)) {
    Collector.add(Pointer + "/by", *By,
                  "a time in ISO-8601 UTC such as 2026-03-01T06:30:00Z");
  }
  if (stringMember(Move, "to") &&
      stringMember(Move, "from") == stringMember(Move, "to")) {
    Collector.add(Pointer + "/to", Move["to"], "a version other than \"from\"");
  }
  Errors.insert(Errors.end(), Collector.Errors.begin(), Collector.Errors.end());
}

static void checkMoves(error_collector &Collector, const json &Root) {
  auto Ids = std::set<std::string>();
  const auto &Services = containerMember(Root, "services");
  const auto &Moves = containerMember(Root, "moves");
  for (auto Index = std::size_t{0}; Moves.is_array() && Index < Moves.size();
       ++Index) {
    const auto &Move = Moves[Index];
    auto Pointer = "/moves/" + std::to_string(Index);
    checkMoveMembers(Move, Pointer, Collector.File, Collector.Errors);
    checkOneOf(Collector, Move, "service", Pointer, "a declared service",
               objectKeys(Services));
    auto Service = stringMember(Move, "service");
    if (Service && Services.is_object() && Services.contains(*Service)) {
      auto Versions = versionNames(Services[*Service]);
      checkOneOf(Collector, Move, "from", Pointer, "a version of the service",
                 Versions);
      checkOneOf(Collector, Move, "to", Pointer, "a version of the service",
                 Versions);
    }
    if (auto Id = stringMember(Move, "id")) {
      checkUnique(Collector, Ids, *Id, Pointer + "/id");
    }
  }
}

auto checkReferences(const json &Root, const std::string &File)
    -> std::vector<declaration_error> {
  auto Collector = error_collector{File, {}};
  if (Root.is_object()) {
    checkZonesAndServices(Collector, Root);
    checkRoutes(Collector, Root);
    checkMoves(Collector, Root);
  }
  return Collector.Errors;
}

auto checkJson(const json &Root, const std::string &File)
    -> std::vector<declaration_error> {
  auto Errors = checkSchema(Root, schema_part::Declaration, File);
  auto ReferenceErrors = checkReferences(Root, File);
  Errors.insert(Errors.end(), ReferenceErrors.begin(), ReferenceErrors.end());
  return Errors;
}

} // namespace sycamorelb::config
