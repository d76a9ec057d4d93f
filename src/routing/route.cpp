/** @file route.cpp Route lookup and choice of the version. */
#include "sycamorelb/core/hash_func.h"
#include "sycamorelb/routing/route_func.h"

#include <algorithm>

namespace sycamorelb::routing {

namespace {

auto withoutTrailingSlash(std::string_view Path) -> std::string_view {
  while (!Path.empty() && Path.back() == '/')
    Path.remove_suffix(1);
  return Path;
}

auto acceptsMethod(const config::route &Route, std::string_view Method)
    -> bool {
  return Route.Methods.empty() ||
         std::ranges::find(Route.Methods, Method) != Route.Methods.end();
}

} // namespace

auto string_view_hash::operator()(std::string_view View) const -> std::size_t {
  return hash64(View);
}

auto buildRouteIndex(const std::vector<config::route> &Routes) -> route_index {
  auto Index = route_index{};
  for (auto Position = std::size_t{0}; Position < Routes.size(); ++Position) {
    auto Prefix = withoutTrailingSlash(Routes[Position].PathPrefix);
    Index.ByPrefix[std::string(Prefix)].push_back(
        static_cast<std::uint32_t>(Position));
    Index.LongestPrefix = std::max(Index.LongestPrefix, Prefix.size());
  }
  return Index;
}

auto matchRoute(const route_index &Index,
                const std::vector<config::route> &Routes,
                std::string_view Method, std::string_view Path)
    -> std::optional<std::size_t> {
  Path = Path.substr(0, Path.find_first_of("?#"));
  // Looks up the prefixes that end at a segment boundary, longest first.
  auto Length = Path.size();
  if (Length > Index.LongestPrefix) {
    auto Boundary = Path.rfind('/', Index.LongestPrefix);
    Length = Boundary == std::string_view::npos ? 0 : Boundary;
  }
  while (true) {
    auto Found = Index.ByPrefix.find(Path.substr(0, Length));
    if (Found != Index.ByPrefix.end())
      for (auto Position : Found->second)
        if (acceptsMethod(Routes[Position], Method))
          return Position;
    if (Length == 0)
      return std::nullopt;
    auto Boundary = Path.rfind('/', Length - 1);
    Length = Boundary == std::string_view::npos ? 0 : Boundary;
  }
}

auto chooseVersion(const config::service &Service,
                   const config::move_state *Move,
                   const std::set<version_id> &Braked,
                   const std::set<version_id> &Eligible, random_source &Random)
    -> version_choice {
  if (Move == nullptr || Move->Phase != config::move_phase::Running)
    return {Service.ActiveVersion, Eligible.contains(Service.ActiveVersion),
            false};
  const auto &From = Move->Move.From;
  const auto &To = Move->Move.To;
  auto Share = Braked.contains(To) ? 0 : std::min(Move->Share, FullShare).Value;
  auto PrefersTo = randomBelow(Random, FullShare.Value) < Share;
  const auto &Preferred = PrefersTo ? To : From;
  const auto &Alternative = PrefersTo ? From : To;
  // A braked version is no fallback for the other: its node refuses the call.
  auto IsUsable = [&](const version_id &Version) {
    return Eligible.contains(Version) && !Braked.contains(Version);
  };
  if (IsUsable(Preferred))
    return {Preferred, true, false};
  if (IsUsable(Alternative))
    return {Alternative, true, true};
  return {Preferred, Eligible.contains(Preferred), false};
}

} // namespace sycamorelb::routing
