/** @file route_table.cpp Routes and upstream candidates for calls. */
#include "node/route_table.h"

#include "sycamorelb/routing/stats_func.h"

#include <set>

namespace sycamorelb::node {

auto buildRouteTable(config::snapshot_ptr Snapshot)
    -> std::shared_ptr<const route_table> {
  auto Table = std::make_shared<route_table>();
  const auto &Routes = Snapshot->State.Declared.Routes;
  Table->Index = routing::buildRouteIndex(Routes);
  for (auto Index = std::size_t{0}; Index < Routes.size(); ++Index) {
    Table->ByName.emplace(Routes[Index].Name, Index);
  }
  Table->Snapshot = std::move(Snapshot);
  return Table;
}

auto isZoneInService(const config::snapshot &Snapshot, const zone_id &Zone)
    -> bool {
  const auto &State = Snapshot.State;
  if (State.ZonesOutOfService.contains(Zone)) {
    return false;
  }
  auto Declared = State.Declared.Zones.find(Zone);
  return Declared == State.Declared.Zones.end() || Declared->second.InService;
}

void updateZoneHistory(std::map<zone_id, zone_history> &History,
                       const config::snapshot &Snapshot, steady_time Now) {
  for (const auto &[Zone, Declared] : Snapshot.State.Declared.Zones) {
    auto InService = isZoneInService(Snapshot, Zone);
    auto [Entry, Inserted] = History.try_emplace(Zone);
    if (!Inserted && InService && !Entry->second.InService) {
      Entry->second.Since = Now;
    }
    Entry->second.InService = InService;
  }
}

auto service_group::find(const proxy::call_target &Target) const
    -> std::optional<std::size_t> {
  for (auto Index = std::size_t{0}; Index < Upstreams.size(); ++Index) {
    if (Upstreams[Index].PeerAddress == Target.Address &&
        Upstreams[Index].Info.Version == Target.Version) {
      return Index;
    }
  }
  return std::nullopt;
}

static auto makeCandidate(const mesh_upstream &Upstream,
                          const config::snapshot &Snapshot,
                          const std::map<zone_id, zone_history> &Zones,
                          const routing::upstream_stats *Stats)
    -> routing::candidate {
  auto Candidate = routing::candidate();
  Candidate.Id = Upstream.Id;
  Candidate.Version = Upstream.Info.Version;
  Candidate.Zone = Upstream.Zone;
  Candidate.Region = Upstream.Region;
  Candidate.ZoneInService = isZoneInService(Snapshot, Upstream.Zone);
  auto History = Zones.find(Upstream.Zone);
  if (History != Zones.end()) {
    Candidate.ZoneInServiceSince = History->second.Since;
  }
  Candidate.Member = Upstream.State;
  Candidate.State = Upstream.Info.State;
  Candidate.Slots = Upstream.Info.Slots;
  Candidate.Stats = Stats;
  return Candidate;
}

/** Applies the load report of an upstream. Gossip repeats old reports, so a
 * report counts only when it changed. */
static void applyGossipReport(routing::upstream_stats &Stats,
                              const membership::upstream_info &Info,
                              steady_time Now) {
  auto Report =
      routing::load_report{Info.Limit, Info.InFlight,
                           Info.State == membership::upstream_state::Cold};
  const auto &Previous = Stats.Report;
  if (!Stats.HasReport || Previous.Limit != Report.Limit ||
      Previous.InFlight != Report.InFlight || Previous.Cold != Report.Cold) {
    routing::onReport(Stats, Report, Now);
  }
}

auto buildCandidateTable(config::snapshot_ptr Snapshot, mesh_view_ptr View,
                         const std::map<zone_id, zone_history> &Zones,
                         stats_map &Stats, steady_time Now)
    -> std::shared_ptr<const candidate_table> {
  auto Table = std::make_shared<candidate_table>();
  auto Present = std::set<routing::upstream_id>();
  for (const auto &[Service, Upstreams] : View->Upstreams) {
    auto &Group = Table->Services[Service];
    for (const auto &Upstream : Upstreams) {
      auto &Entry = Stats[Upstream.Id];
      if (!Entry) {
        Entry = std::make_unique<routing::upstream_stats>();
      }
      applyGossipReport(*Entry, Upstream.Info, Now);
      Present.insert(Upstream.Id);
      Group.Candidates.push_back(
          makeCandidate(Upstream, *Snapshot, Zones, Entry.get()));
      Group.Upstreams.push_back(Upstream);
    }
  }
  std::erase_if(Stats, [&Present](const auto &Entry) {
    return !Present.contains(Entry.first);
  });
  Table->Snapshot = std::move(Snapshot);
  Table->View = std::move(View);
  return Table;
}

} // namespace sycamorelb::node
