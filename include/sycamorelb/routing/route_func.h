/** @file route_func.h Matches requests to routes and chooses the version. */
#pragma once

#include "sycamorelb/config/declaration_type.h"
#include "sycamorelb/config/state_type.h"
#include "sycamorelb/core/random_func.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sycamorelb::routing {

/** Transparent string hash, so that a lookup does not copy the path. */
struct string_view_hash {
  using is_transparent = void;
  auto operator()(std::string_view View) const -> std::size_t;
};

/** Lookup table of routes by path prefix. */
struct route_index {
  /// Indexes of the routes in declaration order, keyed by prefix without
  /// trailing slashes.
  std::unordered_map<std::string, std::vector<std::uint32_t>, string_view_hash,
                     std::equal_to<>>
      ByPrefix;
  std::size_t LongestPrefix = 0; ///< Bounds the lookups for long paths.
};

/** @return the index of the routes. */
auto buildRouteIndex(const std::vector<config::route> &Routes) -> route_index;

/**
 * Finds the route of a request: among the routes that match the path on segment
 * boundaries and the method, the one with the longest prefix, and of those the
 * one declared first. "/a" and "/a/" both match "/a" and "/a/b", not "/ab".
 * @param Path path of the request; a query or fragment is ignored.
 * @return index into Routes.
 */
auto matchRoute(const route_index &Index,
                const std::vector<config::route> &Routes,
                std::string_view Method, std::string_view Path)
    -> std::optional<std::size_t>;

/** Version chosen for a call. */
struct version_choice {
  version_id Version;      ///< Chosen version.
  bool Eligible = false;   ///< Whether it has an eligible upstream.
  bool ByFallback = false; ///< The version drawn by the share has no
                           ///< usable upstream.
};

/**
 * Chooses the version of a call.
 * @param Move the latest move of the service, or nullptr; ignored unless it is
 * running.
 * @param Braked versions that get no new calls, as far as this node knows.
 * @param Eligible versions with an eligible upstream, see eligibleVersions.
 */
auto chooseVersion(const config::service &Service,
                   const config::move_state *Move,
                   const std::set<version_id> &Braked,
                   const std::set<version_id> &Eligible, random_source &Random)
    -> version_choice;

} // namespace sycamorelb::routing
