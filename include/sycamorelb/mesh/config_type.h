/** @file config_type.h Configuration, which operators publish as one document.
 */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sycamorelb::mesh {

/** Version of the configuration; a greater one is newer. */
using config_version = strong_id<struct config_version_tag, std::uint64_t>;

/** Whether a call may run more than once. */
enum class call_kind : std::uint8_t {
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< Runs at most once.
  Upload,        ///< Large body; runs at most once.
};

/** A service that gets part of a route's calls. */
struct weighted_service {
  service_id Service; ///< Service that gets the calls.
  double Weight = 1;  ///< Share relative to the route's other weights; finite.
  auto operator==(const weighted_service &) const -> bool = default;
};

/** Rule for the calls of one host and path prefix. */
struct route_rule {
  route_id Name;          ///< Name, unique in a configuration.
  std::string Host;       ///< Host header, lower case.
  std::string PathPrefix; ///< Begins and ends with a slash.
  call_kind Kind = call_kind::NonIdempotent; ///< Whether calls may be repeated.
  millis Timeout{0};           ///< Maximum time until the final answer.
  millis Objective{0};         ///< Time within which an answer is on time.
  std::uint32_t Attempts = 1;  ///< Targets that a call may be sent to.
  std::uint32_t Priority = 0;  ///< Priority; 0 is the highest.
  bool AllowAnonymous = false; ///< Calls without a key are accepted.
  std::vector<weighted_service> Services; ///< At least one service.
  auto operator==(const route_rule &) const -> bool = default;
};

/** Properties of the targets of a service. */
struct service_rule {
  service_id Name;                     ///< Name, unique.
  std::string HealthPath;              ///< Path of a target's health check.
  std::uint32_t ConnectionLimit = 100; ///< Connections that a target accepts.
  millis Warmup{0}; ///< Time for which a target is cold after its start.
  double ColdCallsPerSecond = 0; ///< Limit of a cold target; 0 for none.
  auto operator==(const service_rule &) const -> bool = default;
};

/** Maximum sizes and times for callers. */
struct caller_limits {
  std::size_t MaxHeadBytes = std::size_t{16} * 1024;        ///< Request head.
  std::size_t MaxBodyBytes = std::size_t{64} * 1024 * 1024; ///< Request body.
  millis HeadTimeout{3000};  ///< Maximum time to receive a request head.
  millis IdleTimeout{15000}; ///< Maximum idle time of a connection.
  auto operator==(const caller_limits &) const -> bool = default;
};

/** A customer, which is known by its keys. */
struct customer_rule {
  customer_id Name;                      ///< Name.
  std::vector<std::string> Keys;         ///< Secret keys of its calls.
  std::optional<std::uint32_t> Priority; ///< Replaces the route's priority.
};

/** One version of the configuration. */
struct mesh_config {
  config_version Version;             ///< Its version.
  std::vector<route_rule> Routes;     ///< All routes.
  std::vector<service_rule> Services; ///< All services.
  /** All customers. Without any, calls carry no keys. */
  std::vector<customer_rule> Customers;
  caller_limits Limits; ///< Limits for callers.
  /** First optional member of the document that couldn't be read and has its
   * default value; empty if there is none. */
  std::string IgnoredFault;
};

/** Rollout order: moves a service's calls to another version. */
struct version_order {
  service_id Service; ///< Service of the rollout.
  version_id Version; ///< Version that is rolled out.
  millis Duration{0}; ///< Time from the order to its deadline.
  auto operator==(const version_order &) const -> bool = default;
};

} // namespace sycamorelb::mesh
