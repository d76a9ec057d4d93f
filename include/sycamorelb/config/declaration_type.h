/** @file declaration_type.h What operators declare: zones, services, routes,
 * traffic moves. */
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
  bool InService = true; ///< False while the zone is taken out.
  auto operator==(const zone &) const -> bool = default;
};

/** A service with the versions that may receive calls. */
struct service {
  std::vector<version_id> Versions; ///< All declared versions.
  version_id ActiveVersion;         ///< Version that receives all calls when no
                                    ///< traffic move runs.
  auto operator==(const service &) const -> bool = default;
};

/** A route from a path prefix to a service. */
struct route {
  route_id Name;                    ///< Unique name.
  service_id Service;               ///< Service that answers.
  std::string PathPrefix;           ///< Matched by the longest prefix.
  std::vector<std::string> Methods; ///< Upper case; empty matches all methods.
  millis Timeout{1000};             ///< Whole time for one call.
  bool Idempotent = false;          ///< Whether a call may run more than once.
  std::uint32_t MaxAttempts = 1;    ///< Attempts for one call, at least 1.
  std::uint32_t RetryBudgetPercent = 0; ///< Retries per 100 calls.
  millis HedgeAfter{0};                 ///< Delay before a hedge; 0 for none.
  std::uint32_t HedgeBudgetPercent = 0; ///< Hedges per 100 calls.
  auto operator==(const route &) const -> bool = default;
};

/** A declared traffic move from one version of a service to another. */
struct move {
  move_id Id;                      ///< Unique id.
  service_id Service;              ///< Service whose traffic moves.
  version_id From;                 ///< Version that gives up traffic.
  version_id To;                   ///< Version that takes over traffic.
  wall_ms By;                      ///< Time by which the move is decided.
  share_ppm MaxEarlyShare{50'000}; ///< Largest share before evidence exists.
  auto operator==(const move &) const -> bool = default;
};

/** The whole desired configuration. */
struct declaration {
  std::map<zone_id, zone> Zones;          ///< Availability zones by name.
  std::map<service_id, service> Services; ///< Services by name.
  std::vector<route> Routes;              ///< Routes in declared order.
  std::vector<move> Moves;                ///< Traffic moves to start.
  auto operator==(const declaration &) const -> bool = default;
};

} // namespace sycamorelb::config
