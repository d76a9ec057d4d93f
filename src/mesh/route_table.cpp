/** @file route_table.cpp Route lookup by host and longest path prefix. */
#include "sycamorelb/mesh/route_table.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <numeric>
#include <set>
#include <unordered_set>

namespace sycamorelb::mesh {

/** @return the host in lower case and without its port. */
static auto normalizedHost(std::string_view Host) -> std::string {
  auto Normalized = std::string(Host.substr(0, Host.find(':')));
  std::transform(
      Normalized.begin(), Normalized.end(), Normalized.begin(),
      [](unsigned char Byte) { return static_cast<char>(std::tolower(Byte)); });
  return Normalized;
}

/** @return the index key of a host and prefix. It is unambiguous because a host
 * contains no slash and a prefix begins with one. */
static auto routeKey(const std::string &Host, std::string_view Prefix)
    -> std::string {
  return Host + std::string(Prefix);
}

route_table::route_table(std::shared_ptr<const mesh_config> Config,
                         customer_table Customers)
    : Config(std::move(Config)), Customers(std::move(Customers)) {
  for (const auto &Route : this->Config->Routes) {
    ByHostAndPrefix.emplace(
        routeKey(normalizedHost(Route.Host), Route.PathPrefix), &Route);
  }
  for (const auto &Service : this->Config->Services) {
    ByService.emplace(Service.Name, &Service);
  }
}

auto route_table::find(std::string_view Host, std::string_view Path) const
    -> const route_rule * {
  auto Key = routeKey(normalizedHost(Host), Path);
  auto HostSize = Key.size() - Path.size();
  // Tries the prefixes that end at a slash, longest first.
  for (auto Slash = Key.rfind('/');
       Slash != std::string::npos && Slash >= HostSize;
       Slash = Key.rfind('/', Slash - 1)) {
    Key.resize(Slash + 1);
    auto Found = ByHostAndPrefix.find(Key);
    if (Found != ByHostAndPrefix.end()) {
      return Found->second;
    }
    if (Slash == 0) {
      break;
    }
  }
  return nullptr;
}

auto route_table::findService(const service_id &Service) const
    -> const service_rule * {
  auto Found = ByService.find(Service);
  return Found == ByService.end() ? nullptr : Found->second;
}

static auto findRouteError(const route_rule &Route,
                           const std::set<service_id> &Services)
    -> std::optional<config_error> {
  auto Subject = "route " + Route.Name.Value;
  if (Route.Host.empty()) {
    return config_error{Subject, "host is missing"};
  }
  if (Route.PathPrefix.empty() || Route.PathPrefix.front() != '/' ||
      Route.PathPrefix.back() != '/') {
    return config_error{Subject,
                        "path prefix does not begin and end with a slash"};
  }
  if (Route.Timeout <= millis(0) || Route.Objective <= millis(0)) {
    return config_error{Subject,
                        "timeout or objective is missing or not positive"};
  }
  for (const auto &Weighted : Route.Services) {
    if (!Services.contains(Weighted.Service)) {
      return config_error{Subject, "unknown service " + Weighted.Service.Value};
    }
  }
  return std::nullopt;
}

auto findConfigError(const mesh_config &Config) -> std::optional<config_error> {
  auto Services = std::set<service_id>();
  for (const auto &Service : Config.Services) {
    if (Service.Name.Value.empty() || !Services.insert(Service.Name).second) {
      return config_error{"service " + Service.Name.Value,
                          "name is empty or not unique"};
    }
  }
  auto RouteKeys = std::unordered_set<std::string>();
  for (const auto &Route : Config.Routes) {
    if (auto Error = findRouteError(Route, Services)) {
      return Error;
    }
    if (!RouteKeys
             .insert(routeKey(normalizedHost(Route.Host), Route.PathPrefix))
             .second) {
      return config_error{"route " + Route.Name.Value,
                          "another route has the same host and path prefix"};
    }
  }
  return std::nullopt;
}

/** @return the weight in units of the greatest one, rounded up to a power of
 * two, so that sums of any weights are finite and small ones are exact. */
static auto scaledWeight(double Weight, double Greatest) -> double {
  auto Exponent = 0;
  std::frexp(Greatest, &Exponent);
  return std::ldexp(Weight, -Exponent);
}

auto chooseWeighted(const std::vector<weighted_service> &Services,
                    round_robin_state &State) -> std::size_t {
  auto Greatest = 0.0;
  for (const auto &Weighted : Services) {
    Greatest = std::max(Greatest, Weighted.Weight);
  }
  if (Greatest <= 0) {
    return Services.size();
  }
  if (Services.size() < 2) {
    return 0;
  }
  if (State.CurrentWeights.size() != Services.size()) {
    State.CurrentWeights.assign(Services.size(), 0);
  }
  auto TotalWeight = 0.0;
  auto Best = std::size_t{0};
  for (auto Index = std::size_t{0}; Index < Services.size(); ++Index) {
    auto Weight = scaledWeight(Services[Index].Weight, Greatest);
    TotalWeight += Weight;
    State.CurrentWeights[Index] += Weight;
    if (State.CurrentWeights[Index] > State.CurrentWeights[Best]) {
      Best = Index;
    }
  }
  State.CurrentWeights[Best] -= TotalWeight;
  return Best;
}

} // namespace sycamorelb::mesh
