/** @file declaration_json.cpp Conversion of declarations to and from JSON. */
#include "config/declaration_json.h"

#include <cmath>

namespace sycamorelb::config {

using nlohmann::json;

/** Parts per million in one percent. */
static constexpr double PpmPerPercent = 10'000.0;

static auto shareToPercent(share_ppm Share) -> json {
  auto Percent = Share.Value / PpmPerPercent;
  if (Percent == std::floor(Percent)) {
    return static_cast<std::int64_t>(Percent);
  }
  return Percent;
}

static auto percentToShare(const json &Percent) -> share_ppm {
  return {static_cast<std::uint32_t>(
      std::llround(Percent.get<double>() * PpmPerPercent))};
}

template <class T>
static auto idValues(const std::vector<T> &Ids) -> std::vector<std::string> {
  auto Names = std::vector<std::string>();
  for (const auto &Id : Ids) {
    Names.push_back(Id.Value);
  }
  return Names;
}

static auto routeToJson(const route &Route) -> json {
  return {{"name", Route.Name.Value},
          {"service", Route.Service.Value},
          {"path_prefix", Route.PathPrefix},
          {"methods", Route.Methods},
          {"timeout_ms", Route.Timeout.count()},
          {"idempotent", Route.Idempotent},
          {"max_attempts", Route.MaxAttempts},
          {"retry_budget_percent", Route.RetryBudgetPercent},
          {"hedge_after_ms", Route.HedgeAfter.count()},
          {"hedge_budget_percent", Route.HedgeBudgetPercent}};
}

auto moveToJson(const move &Move) -> json {
  return {{"id", Move.Id.Value},
          {"service", Move.Service.Value},
          {"from", Move.From.Value},
          {"to", Move.To.Value},
          {"by", formatTime(Move.By)},
          {"max_early_share_percent", shareToPercent(Move.MaxEarlyShare)}};
}

auto declarationToJson(const declaration &Declaration) -> json {
  auto Root = json{{"zones", json::object()},
                   {"services", json::object()},
                   {"routes", json::array()},
                   {"moves", json::array()}};
  for (const auto &[Id, Zone] : Declaration.Zones) {
    Root["zones"][Id.Value] = {{"region", Zone.Region.Value},
                               {"in_service", Zone.InService}};
  }
  for (const auto &[Id, Service] : Declaration.Services) {
    Root["services"][Id.Value] = {
        {"versions", idValues(Service.Versions)},
        {"active_version", Service.ActiveVersion.Value}};
  }
  for (const auto &Route : Declaration.Routes) {
    Root["routes"].push_back(routeToJson(Route));
  }
  for (const auto &Move : Declaration.Moves) {
    Root["moves"].push_back(moveToJson(Move));
  }
  return Root;
}

static auto routeFromJson(const json &Root) -> route {
  auto Route = route();
  Route.Name = {Root.at("name").get<std::string>()};
  Route.Service = {Root.at("service").get<std::string>()};
  Route.PathPrefix = Root.at("path_prefix").get<std::string>();
  Route.Methods = Root.value("methods", Route.Methods);
  Route.Timeout = millis(Root.value("timeout_ms", Route.Timeout.count()));
  Route.Idempotent = Root.value("idempotent", Route.Idempotent);
  Route.MaxAttempts = Root.value("max_attempts", Route.MaxAttempts);
  Route.RetryBudgetPercent =
      Root.value("retry_budget_percent", Route.RetryBudgetPercent);
  Route.HedgeAfter =
      millis(Root.value("hedge_after_ms", Route.HedgeAfter.count()));
  Route.HedgeBudgetPercent =
      Root.value("hedge_budget_percent", Route.HedgeBudgetPercent);
  return Route;
}

auto moveFromJson(const json &Root) -> move {
  auto Move = move();
  Move.Id = {Root.at("id").get<std::string>()};
  Move.Service = {Root.at("service").get<std::string>()};
  Move.From = {Root.at("from").get<std::string>()};
  Move.To = {Root.at("to").get<std::string>()};
  Move.By = parseTime(Root.at("by").get<std::string>()).value_or(wall_ms{});
  if (Root.contains("max_early_share_percent")) {
    Move.MaxEarlyShare = percentToShare(Root.at("max_early_share_percent"));
  }
  return Move;
}

auto declarationFromJson(const json &Root) -> declaration {
  auto Declaration = declaration();
  for (const auto &[Name, Zone] : Root.at("zones").items()) {
    Declaration.Zones[{Name}] = {{Zone.at("region").get<std::string>()},
                                 Zone.value("in_service", true)};
  }
  for (const auto &[Name, Value] : Root.at("services").items()) {
    auto &Service = Declaration.Services[{Name}];
    for (const auto &Version : Value.at("versions")) {
      Service.Versions.push_back({Version.get<std::string>()});
    }
    Service.ActiveVersion = {Value.at("active_version").get<std::string>()};
  }
  for (const auto &Route : Root.at("routes")) {
    Declaration.Routes.push_back(routeFromJson(Route));
  }
  if (Root.contains("moves")) {
    for (const auto &Move : Root.at("moves")) {
      Declaration.Moves.push_back(moveFromJson(Move));
    }
  }
  return Declaration;
}

} // namespace sycamorelb::config
