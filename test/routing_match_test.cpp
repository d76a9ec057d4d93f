/** @file routing_match_test.cpp Tests of route matching, version choice and
 * subsets. */
#include "sycamorelb/core/hash_func.h"
#include "sycamorelb/routing/route_func.h"
#include "sycamorelb/routing/subset_func.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <rapidcheck.h>

using namespace sycamorelb;
using namespace sycamorelb::routing;

namespace {

auto makeRoute(const std::string &Prefix, std::vector<std::string> Methods)
    -> config::route {
  auto Route = config::route{};
  Route.PathPrefix = Prefix;
  Route.Methods = std::move(Methods);
  return Route;
}

/** Reference for matchRoute: a linear scan of all routes. */
auto naiveMatch(const std::vector<config::route> &Routes,
                const std::string &Method, std::string Path)
    -> std::optional<std::size_t> {
  Path = Path.substr(0, Path.find('?'));
  auto Best = std::optional<std::size_t>{};
  auto BestLength = std::size_t{0};
  for (auto Index = std::size_t{0}; Index < Routes.size(); ++Index) {
    auto Prefix = Routes[Index].PathPrefix;
    while (!Prefix.empty() && Prefix.back() == '/')
      Prefix.pop_back();
    auto Matches = Path.starts_with(Prefix) &&
                   (Path.size() == Prefix.size() || Path[Prefix.size()] == '/');
    // The root prefix matches every path.
    Matches = Matches || Prefix.empty();
    const auto &Methods = Routes[Index].Methods;
    auto Accepts = Methods.empty() || std::ranges::count(Methods, Method) > 0;
    if (Matches && Accepts && (!Best || Prefix.size() > BestLength)) {
      Best = Index;
      BestLength = Prefix.size();
    }
  }
  return Best;
}

auto genPath() -> rc::Gen<std::string> {
  return rc::gen::container<std::string>(rc::gen::element('/', '/', 'a', 'b'));
}

auto makeMembers(std::size_t Count, std::size_t Zones)
    -> std::vector<subset_member> {
  auto Members = std::vector<subset_member>{};
  for (auto Index = std::size_t{0}; Index < Count; ++Index)
    Members.push_back({upstream_id{"node-" + std::to_string(Index)},
                       zone_id{"z" + std::to_string(Index % Zones)}});
  return Members;
}

auto chosenIds(const node_id &Self, const std::vector<subset_member> &Members)
    -> std::set<upstream_id> {
  auto Ids = std::set<upstream_id>{};
  for (auto Index : chooseSubset(Self, Members))
    Ids.insert(Members[Index].Id);
  return Ids;
}

} // namespace

// Guards against an index lookup that differs from a linear scan, such as a
// match inside a segment or of a shorter prefix.
Test(routing_match, index_agrees_with_scan) {
  cr_assert(rc::check("index agrees with scan", [] {
    auto Method = rc::gen::element<std::string>("GET", "POST", "PUT");
    auto Routes = std::vector<config::route>{};
    for (const auto &Prefix :
         *rc::gen::container<std::vector<std::string>>(genPath()))
      Routes.push_back(makeRoute(
          "/" + Prefix,
          *rc::gen::element(std::vector<std::string>{},
                            std::vector<std::string>{"GET"},
                            std::vector<std::string>{"POST", "PUT"})));
    auto Index = buildRouteIndex(Routes);
    auto Path = "/" + *genPath() + *rc::gen::element<std::string>("", "?/a/b");
    auto Chosen = *Method;
    RC_ASSERT(matchRoute(Index, Routes, Chosen, Path) ==
              naiveMatch(Routes, Chosen, Path));
  }));
}

// Guards against a prefix that matches inside a segment, and against a longer
// route that hides a shorter one although it does not accept the method.
Test(routing_match, segment_boundaries_and_methods) {
  auto Routes = std::vector{makeRoute("/", {}), makeRoute("/a", {}),
                            makeRoute("/a/b/", {"POST"})};
  auto Index = buildRouteIndex(Routes);
  cr_assert(matchRoute(Index, Routes, "GET", "/ab") == 0U);
  cr_assert(matchRoute(Index, Routes, "GET", "/a") == 1U);
  cr_assert(matchRoute(Index, Routes, "GET", "/a/b/c") == 1U);
  cr_assert(matchRoute(Index, Routes, "POST", "/a/b") == 2U);
  cr_assert(matchRoute(Index, Routes, "POST", "/a/b?x=/c") == 2U);
}

// Guards against a traffic split that misses the share, calls to a braked
// version, and calls to a version without upstreams while the other has some.
Test(routing_match, version_follows_share_brake_and_eligibility) {
  cr_assert(rc::check("version choice", [](std::uint64_t Seed) {
    auto Move = config::move_state{};
    Move.Move.From = version_id{"v1"};
    Move.Move.To = version_id{"v2"};
    Move.Share.Value = *rc::gen::inRange(0U, 1'000'001U);
    auto Service = config::service{{}, Move.Move.From};
    auto Eligible = std::set<version_id>{};
    for (const auto &Version : {Move.Move.From, Move.Move.To})
      if (*rc::gen::arbitrary<bool>())
        Eligible.insert(Version);
    auto Braked = std::set<version_id>{};
    if (*rc::gen::arbitrary<bool>())
      Braked.insert(Move.Move.To);
    auto Random = random_source{Seed};
    auto ToCount = 0;
    constexpr auto Draws = 4000;
    for (auto Draw = 0; Draw < Draws; ++Draw) {
      auto Choice = chooseVersion(Service, &Move, Braked, Eligible, Random);
      RC_ASSERT(Choice.Eligible == Eligible.contains(Choice.Version));
      RC_ASSERT(!Braked.contains(Choice.Version));
      if (!Choice.Eligible)
        RC_ASSERT(Eligible.empty() || !Braked.empty());
      ToCount += Choice.Version == Move.Move.To ? 1 : 0;
    }
    // Six standard deviations of a binomial at 1/2.
    if (Eligible.size() == 2 && Braked.empty())
      RC_ASSERT(std::abs(ToCount / double(Draws) - Move.Share.Value / 1e6) <
                6 * 0.5 / std::sqrt(double(Draws)));
  }));
}

// Guards against a finished move that still splits the traffic.
Test(routing_match, ended_move_uses_active_version) {
  auto Move = config::move_state{};
  Move.Move.From = version_id{"v1"};
  Move.Move.To = version_id{"v2"};
  Move.Share = FullShare;
  Move.Phase = config::move_phase::TakenBack;
  auto Service = config::service{{}, Move.Move.From};
  auto Random = random_source{1};
  auto Choice = chooseVersion(Service, &Move, {}, {Move.Move.From}, Random);
  cr_assert(Choice.Version == Move.Move.From);
}

// Guards against a subset that is too large, misses a zone, or depends on the
// order of the members.
Test(routing_match, subset_is_bounded_and_covers_zones) {
  cr_assert(rc::check("subset bounds", [](std::uint32_t Self) {
    auto Zones = *rc::gen::inRange<std::size_t>(1, 9);
    auto Members = makeMembers(*rc::gen::inRange<std::size_t>(1, 300), Zones);
    auto Node = node_id{"self-" + std::to_string(Self)};
    auto Ids = chosenIds(Node, Members);
    RC_ASSERT(Ids.size() == std::min<std::size_t>(16, Members.size()));
    auto PerZone = std::map<zone_id, std::size_t>{};
    auto Available = std::map<zone_id, std::size_t>{};
    for (const auto &Member : Members) {
      ++Available[Member.Zone];
      PerZone[Member.Zone] += Ids.contains(Member.Id) ? 1 : 0;
    }
    for (const auto &[Zone, Count] : Available)
      RC_ASSERT(PerZone[Zone] >= std::min<std::size_t>(2, Count));
    std::ranges::reverse(Members);
    RC_ASSERT(Ids == chosenIds(Node, Members));
  }));
}

// Guards against churn: when one upstream joins or leaves, at most
// MaxSubsetChange entries may change.
Test(routing_match, subset_changes_little) {
  cr_assert(rc::check("subset stability", [](std::uint32_t Self) {
    auto Zones = *rc::gen::inRange<std::size_t>(1, 9);
    auto Members = makeMembers(*rc::gen::inRange<std::size_t>(2, 200), Zones);
    auto Node = node_id{"self-" + std::to_string(Self)};
    auto Full = chosenIds(Node, Members);
    auto Removed = *rc::gen::inRange<std::size_t>(0, Members.size());
    Members.erase(Members.begin() + static_cast<std::ptrdiff_t>(Removed));
    auto Less = chosenIds(Node, Members);
    auto Changed = std::vector<upstream_id>{};
    std::ranges::set_symmetric_difference(Full, Less,
                                          std::back_inserter(Changed));
    RC_ASSERT(Changed.size() <= MaxSubsetChange);
  }));
}
