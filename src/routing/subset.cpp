/** @file subset.cpp Rendezvous hashing with a minimum per zone. */
#include "sycamorelb/core/hash_func.h"
#include "sycamorelb/routing/subset_func.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace sycamorelb::routing {

namespace {

struct ranked_member {
  std::uint64_t Score = 0; ///< Rendezvous hash.
  std::size_t Index = 0;   ///< Into the members.
  std::size_t Zone = 0;    ///< Number of its zone.
};

/** Orders by descending score. Ties are broken by id, so that the result does
 * not depend on the order of the members. */
auto rankOrder(std::span<const subset_member> Members) {
  return [Members](const ranked_member &A, const ranked_member &B) {
    if (A.Score != B.Score)
      return A.Score > B.Score;
    return Members[A.Index].Id < Members[B.Index].Id;
  };
}

auto rankMembers(const node_id &Self, std::span<const subset_member> Members,
                 std::size_t &Zones) -> std::vector<ranked_member> {
  auto ZoneNumbers = std::map<std::string_view, std::size_t>{};
  auto Ranked = std::vector<ranked_member>{};
  Ranked.reserve(Members.size());
  auto Seed = hash64(Self.Value);
  for (auto Index = std::size_t{0}; Index < Members.size(); ++Index) {
    auto Zone =
        ZoneNumbers.try_emplace(Members[Index].Zone.Value, ZoneNumbers.size())
            .first->second;
    Ranked.push_back({hash64(Members[Index].Id.Value, Seed), Index, Zone});
  }
  Zones = ZoneNumbers.size();
  std::ranges::sort(Ranked, rankOrder(Members));
  return Ranked;
}

} // namespace

auto chooseSubset(const node_id &Self, std::span<const subset_member> Members,
                  const subset_config &Config) -> std::vector<std::size_t> {
  auto Chosen = std::vector<std::size_t>{};
  if (Members.size() <= Config.Size) {
    Chosen.resize(Members.size());
    std::iota(Chosen.begin(), Chosen.end(), std::size_t{0});
    return Chosen;
  }
  auto Zones = std::size_t{0};
  auto Ranked = rankMembers(Self, Members, Zones);
  auto PerZone = std::min(Config.MinPerZone,
                          std::max<std::size_t>(Config.Size / Zones, 1));
  auto TakenPerZone = std::vector<std::size_t>(Zones, 0);
  auto NextRanked = std::vector<std::size_t>{};
  for (const auto &Entry : Ranked) {
    if (TakenPerZone[Entry.Zone] < PerZone && Chosen.size() < Config.Size) {
      ++TakenPerZone[Entry.Zone];
      Chosen.push_back(Entry.Index);
    } else if (NextRanked.size() < Config.Size) {
      NextRanked.push_back(Entry.Index);
    }
  }
  auto FreePlaces = std::min(Config.Size - Chosen.size(), NextRanked.size());
  Chosen.insert(Chosen.end(), NextRanked.begin(),
                NextRanked.begin() + static_cast<std::ptrdiff_t>(FreePlaces));
  std::ranges::sort(Chosen);
  return Chosen;
}

} // namespace sycamorelb::routing
