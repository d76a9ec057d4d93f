/** @file route_table.h Finds the route of a call and the part of a route. */
#pragma once

#include "sycamorelb/mesh/config_type.h"

#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sycamorelb::mesh {

/** Index over the routes of one configuration. Immutable. */
class route_table {
public:
  explicit route_table(std::shared_ptr<const mesh_config> Config);

  /** @return the route with the longest prefix that begins Path, or null.
   * @param Host value of the Host header; a port and letter case are ignored.
   */
  auto find(std::string_view Host, std::string_view Path) const
      -> const route_rule *;
  /** @return the properties of a service, or null. */
  auto findService(const service_id &Service) const -> const service_rule *;
  /** @return the configuration. */
  auto config() const -> const mesh_config & { return *Config; }

private:
  std::shared_ptr<const mesh_config> Config;
  std::unordered_map<std::string, const route_rule *> ByHostAndPrefix;
  std::unordered_map<service_id, const service_rule *> ByService;
};

/** Fault of a configuration. */
struct config_fault {
  std::string Where; ///< Member concerned.
  std::string What;  ///< Rule that it breaks.
};

/** @return the first rule that the configuration breaks, or nothing. A route
 * must have a host, a prefix with slashes at both ends, a timeout, and parts
 * of services that the configuration holds. */
auto findFault(const mesh_config &Config) -> std::optional<config_fault>;

/** Running credits of the parts of a route. */
struct split_state {
  std::vector<std::int64_t> Credits; ///< One for each part.
};

/**
 * Chooses the part of a route for its next call by smooth weighted round
 * robin: after any number of calls each part's count is within one call per
 * part of its weight's share.
 * @return the index of the part.
 */
auto chooseWeighted(const std::vector<weighted_service> &Parts,
                    split_state &State) -> std::size_t;

} // namespace sycamorelb::mesh
