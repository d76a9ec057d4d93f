/** @file route_table.cpp Route lookup by host and longest prefix. */
#include "sycamorelb/mesh/route_table.h"

#include <algorithm>
#include <cctype>
#include <numeric>
#include <set>
#include <unordered_set>

namespace sycamorelb::mesh {

/** @return the host without port, in lower case. */
static auto plainHost(std::string_view Host) -> std::string {
  auto Plain = std::string(Host.substr(0, Host.find(':')));
  std::transform(
      Plain.begin(), Plain.end(), Plain.begin(),
      [](unsigned char Byte) { return static_cast<char>(std::tolower(Byte)); });
  return Plain;
}

/** @return the key of the index; no host contains a slash. */
static auto indexKey(const std::string &Host, std::string_view Prefix)
    -> std::string {
  return Host + std::string(Prefix);
}

route_table::route_table(std::shared_ptr<const mesh_config> Config)
    : Config(std::move(Config)) {
  for (const auto &Route : this->Config->Routes) {
    ByHostAndPrefix.emplace(indexKey(plainHost(Route.Host), Route.PathPrefix),
                            &Route);
  }
  for (const auto &Service : this->Config->Services) {
    ByService.emplace(Service.Name, &Service);
  }
}

auto route_table::find(std::string_view Host, std::string_view Path) const
    -> const route_rule * {
  auto Key = indexKey(plainHost(Host), Path);
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

static auto findRouteFault(const route_rule &Route,
                           const std::set<service_id> &Services)
    -> std::optional<config_fault> {
  auto Where = "route " + Route.Name.Value;
  if (Route.Host.empty()) {
    return config_fault{Where, "no host"};
  }
  if (Route.PathPrefix.empty() || Route.PathPrefix.front() != '/' ||
      Route.PathPrefix.back() != '/') {
    return config_fault{Where, "prefix without slash at both ends"};
  }
  if (Route.Timeout <= millis(0) || Route.Objective <= millis(0)) {
    return config_fault{Where, "no timeout or objective"};
  }
  auto Weight = std::uint64_t{0};
  for (const auto &Part : Route.Services) {
    Weight += Part.Weight;
    if (!Services.contains(Part.Service)) {
      return config_fault{Where, "unknown service " + Part.Service.Value};
    }
  }
  if (Weight == 0) {
    return config_fault{Where, "no part with a weight"};
  }
  return std::nullopt;
}

auto findFault(const mesh_config &Config) -> std::optional<config_fault> {
  auto Services = std::set<service_id>();
  for (const auto &Service : Config.Services) {
    if (Service.Name.Value.empty() || !Services.insert(Service.Name).second) {
      return config_fault{"service " + Service.Name.Value,
                          "empty or repeated name"};
    }
  }
  auto Places = std::unordered_set<std::string>();
  for (const auto &Route : Config.Routes) {
    if (auto Fault = findRouteFault(Route, Services)) {
      return Fault;
    }
    if (!Places.insert(indexKey(plainHost(Route.Host), Route.PathPrefix))
             .second) {
      return config_fault{"route " + Route.Name.Value,
                          "host and prefix of another route"};
    }
  }
  return std::nullopt;
}

auto chooseWeighted(const std::vector<weighted_service> &Parts,
                    split_state &State) -> std::size_t {
  if (Parts.size() < 2) {
    return 0;
  }
  if (State.Credits.size() != Parts.size()) {
    State.Credits.assign(Parts.size(), 0);
  }
  auto Total = std::int64_t{0};
  auto Best = std::size_t{0};
  for (auto Index = std::size_t{0}; Index < Parts.size(); ++Index) {
    Total += Parts[Index].Weight;
    State.Credits[Index] += Parts[Index].Weight;
    if (State.Credits[Index] > State.Credits[Best]) {
      Best = Index;
    }
  }
  State.Credits[Best] -= Total;
  return Best;
}

} // namespace sycamorelb::mesh
