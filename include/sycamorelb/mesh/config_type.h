/** @file config_type.h Configuration that operators publish as a whole. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sycamorelb::mesh {

/** Version of the configuration; greater is newer. */
using config_version = strong_id<struct config_version_tag, std::uint64_t>;

/** How often a call may run. */
enum class call_kind : std::uint8_t {
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< Runs at most once.
  Upload,        ///< Large body; runs at most once.
};

/** Part of a route's calls. */
struct weighted_service {
  service_id Service;       ///< Service that serves the part.
  std::uint32_t Weight = 1; ///< Share relative to the other parts.
  auto operator==(const weighted_service &) const -> bool = default;
};

/** Where the calls of one host and path prefix go. */
struct route_rule {
  route_id Name;          ///< Name, unique in a configuration.
  std::string Host;       ///< Host header, lower case.
  std::string PathPrefix; ///< Begins and ends with a slash.
  call_kind Kind = call_kind::NonIdempotent; ///< What may be repeated.
  millis Timeout{0};          ///< Longest time until the final answer.
  millis Objective{0};        ///< Time within which an answer is on time.
  std::uint32_t Attempts = 1; ///< Targets that one call may be sent to.
  std::uint32_t Priority = 0; ///< Rank; 0 is the most urgent.
  std::vector<weighted_service> Services; ///< At least one part.
  auto operator==(const route_rule &) const -> bool = default;
};

/** Properties of the targets of a service. */
struct service_rule {
  service_id Name;                     ///< Name, unique.
  std::string HealthPath;              ///< Path of a target's health check.
  std::uint32_t ConnectionLimit = 100; ///< Connections that a target accepts.
  millis Warmup{0};              ///< Time for which a started target is cold.
  double ColdCallsPerSecond = 0; ///< Calls that a cold target bears.
  auto operator==(const service_rule &) const -> bool = default;
};

/** Bounds on what callers may send. */
struct caller_limits {
  std::size_t MaxHeadBytes = std::size_t{16} * 1024;        ///< Request head.
  std::size_t MaxBodyBytes = std::size_t{64} * 1024 * 1024; ///< Request body.
  millis HeadTimeout{3000};  ///< Time for a request head.
  millis IdleTimeout{15000}; ///< Time that a connection may stay idle.
  auto operator==(const caller_limits &) const -> bool = default;
};

/** One version of the configuration. */
struct mesh_config {
  config_version Version;             ///< Its version.
  std::vector<route_rule> Routes;     ///< All routes.
  std::vector<service_rule> Services; ///< All services.
  caller_limits Limits;               ///< Bounds for callers.
};

/** Order to move a service's calls to another version. */
struct version_order {
  service_id Service; ///< Service concerned.
  version_id Version; ///< Version to move to.
  millis Duration{0}; ///< Time from the order to its deadline.
  auto operator==(const version_order &) const -> bool = default;
};

} // namespace sycamorelb::mesh
