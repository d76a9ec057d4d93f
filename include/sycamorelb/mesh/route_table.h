/** @file route_table.h Lookup of a call's route and of a service for it. */
#pragma once

#include "sycamorelb/mesh/config_type.h"
#include "sycamorelb/mesh/customer_table.h"

#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sycamorelb::mesh {

/** Immutable index of the routes and services of one configuration. */
class route_table {
public:
  explicit route_table(std::shared_ptr<const mesh_config> Config,
                       customer_table Customers = {});

  /** @return the route with the longest matching prefix of Path, or null.
   * @param Host value of the Host header; a port and letter case are ignored.
   */
  auto find(std::string_view Host, std::string_view Path) const
      -> const route_rule *;
  /** @return the properties of a service, or null. */
  auto findService(const service_id &Service) const -> const service_rule *;
  /** @return the customers of the configuration. */
  auto customers() const -> const customer_table & { return Customers; }
  /** @return the configuration. */
  auto config() const -> const mesh_config & { return *Config; }

private:
  std::shared_ptr<const mesh_config> Config;
  customer_table Customers;
  std::unordered_map<std::string, const route_rule *> ByHostAndPrefix;
  std::unordered_map<service_id, const service_rule *> ByService;
};

/** Error in a configuration. */
struct config_error {
  std::string Subject; ///< Route or service that is invalid.
  std::string Message; ///< Description of the error.
};

/** @return the first error in the configuration, or nothing. Services need
 * unique names. A route needs a host, a prefix that begins and ends with a
 * slash, not both of them equal to another route's, a timeout, an objective,
 * and only services that the configuration has. */
auto findConfigError(const mesh_config &Config) -> std::optional<config_error>;

/** State of the weighted round robin of a route. */
struct round_robin_state {
  /** Current weight of each service, in units near the greatest weight. */
  std::vector<double> CurrentWeights;
};

/**
 * Chooses the service for the next call of a route by smooth weighted round
 * robin. After any number of calls, the count of each service differs from its
 * weighted share by at most the number of services.
 * @return the index of the service in Services, or their number if all weights
 * are 0: then none of them gets calls.
 */
auto chooseWeighted(const std::vector<weighted_service> &Services,
                    round_robin_state &State) -> std::size_t;

} // namespace sycamorelb::mesh
