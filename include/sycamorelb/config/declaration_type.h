/** @file declaration_type.h Configuration declared by operators: zones,
 * services, routes and traffic moves. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"

#include <map>
#include <string>
#include <vector>

namespace sycamorelb::config {

/** An availability zone. */
struct zone {
  region_id Region;      ///< Region the zone belongs to.
  bool InService = true; ///< False while the zone is out of service.
  auto operator==(const zone &) const -> bool = default;
};

/** A service and its versions. */
struct service {
  std::vector<version_id> Versions; ///< All declared versions.
  version_id ActiveVersion; ///< Version that receives all calls while no
                            ///< traffic move is running.
  auto operator==(const service &) const -> bool = default;
};

/** A route from a path prefix to a service. */
struct route {
  route_id Name;                    ///< Unique name.
  service_id Service;               ///< Service that handles the calls.
  std::string PathPrefix;           ///< The longest matching prefix wins.
  std::vector<std::string> Methods; ///< Upper case; empty matches all methods.
  millis Timeout{1000};             ///< Total time for one call, with retries.
  bool Idempotent = false;       ///< Whether a call may be executed repeatedly.
  std::uint32_t MaxAttempts = 1; ///< Maximum attempts per call, at least 1.
  std::uint32_t RetryBudgetPercent = 0; ///< Maximum retries per 100 calls.
  millis HedgeAfter{0}; ///< Delay before a hedged attempt; 0 for none.
  std::uint32_t HedgeBudgetPercent = 0; ///< Maximum hedges per 100 calls.
  auto operator==(const route &) const -> bool = default;
};

/** A declared traffic move from one version of a service to another. */
struct move {
  move_id Id;         ///< Unique id.
  service_id Service; ///< Service whose traffic is moved.
  version_id From;    ///< Old version.
  version_id To;      ///< New version.
  wall_ms By;         ///< Deadline for completing or reverting the move.
  share_ppm MaxEarlyShare{50'000}; ///< Maximum share of the new version before
                                   ///< there is evidence on its health.
  auto operator==(const move &) const -> bool = default;
};

/** The complete desired configuration. */
struct declaration {
  std::map<zone_id, zone> Zones;          ///< Availability zones by name.
  std::map<service_id, service> Services; ///< Services by name.
  std::vector<route> Routes;              ///< Routes in declared order.
  std::vector<move> Moves;                ///< Traffic moves; each starts once.
  auto operator==(const declaration &) const -> bool = default;
};

} // namespace sycamorelb::config
