/** @file state_dump.cpp State dump of the node and metrics kept elsewhere. */
#include "node/state_dump.h"

#include "node/route_table.h"
#include "sycamorelb/config/declaration_func.h"
#include "sycamorelb/config/name_func.h"
#include "sycamorelb/membership/name_func.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace sycamorelb::node {

using json = nlohmann::json;
using telemetry::metric;

static auto dumpConfig(const config::snapshot &Snapshot,
                       const config_loop &Config) -> json {
  const auto &State = Snapshot.State;
  auto Zones = json::object();
  for (const auto &[Id, Zone] : State.Declared.Zones) {
    Zones[Id.Value] = {{"region", Zone.Region.Value},
                       {"in_service", isZoneInService(Snapshot, Id)}};
  }
  auto Moves = json::object();
  for (const auto &[Id, Move] : State.Moves) {
    Moves[Id.Value] = {{"service", Move.Move.Service.Value},
                       {"from", Move.Move.From.Value},
                       {"to", Move.Move.To.Value},
                       {"by", config::formatTime(Move.Move.By)},
                       {"phase", config::phaseName(Move.Phase)},
                       {"share_ppm", Move.Share.Value},
                       {"step", Move.Step},
                       {"reason", Move.Reason}};
  }
  return {{"version", State.Version.Value},
          {"position", State.Position.Value},
          {"chain_hash", State.ChainHash},
          {"behind_us", Config.timeBehind().count()},
          {"log_available", Config.logAvailable()},
          {"services", State.Declared.Services.size()},
          {"routes", State.Declared.Routes.size()},
          {"zones", Zones},
          {"moves", Moves}};
}

static auto dumpMembers(const mesh_view &View) -> json {
  auto List = json::array();
  for (const auto &Member : View.Members) {
    List.push_back({{"id", Member.Id.Value},
                    {"zone", Member.Zone.Value},
                    {"region", Member.Region.Value},
                    {"state", membership::stateName(Member.State)},
                    {"incarnation", Member.Incarnation.Value},
                    {"revision", Member.Revision},
                    {"inner_address", Member.Addresses.Inner},
                    {"config_position", Member.ConfigPosition.Value},
                    {"upstreams", Member.Upstreams.size()}});
  }
  return List;
}

static auto dumpDatagrams(const inner::udp_counters &Counters) -> json {
  return {{"in", Counters.DatagramsIn},
          {"in_bytes", Counters.BytesIn},
          {"out", Counters.DatagramsOut},
          {"out_bytes", Counters.BytesOut},
          {"dropped",
           {{"oversized", Counters.DroppedOversized},
            {"unauthorized", Counters.DroppedUnauthorized},
            {"malformed", Counters.DroppedMalformed},
            {"outside_window", Counters.DroppedOutsideWindow},
            {"send", Counters.DroppedSend}}}};
}

static auto dumpServer(const proxy::server_stats &Stats) -> json {
  return {{"accepted", Stats.Accepted},        {"requests", Stats.Requests},
          {"bad_requests", Stats.BadRequests}, {"overloaded", Stats.Overloaded},
          {"connections", Stats.Connections},  {"in_flight", Stats.Busy}};
}

static auto dumpProxy(const proxy::proxy_stats &Stats) -> json {
  return {{"opened", Stats.Opened},   {"reused", Stats.Reused},
          {"dropped", Stats.Dropped}, {"retries", Stats.Retries},
          {"hedges", Stats.Hedges},   {"cancelled", Stats.Cancelled},
          {"silent", Stats.Silent},   {"truncated", Stats.Truncated}};
}

auto dumpState(const dump_sources &Sources) -> json {
  auto &Context = Sources.Context;
  auto Snapshot = Context.Store.current();
  auto View = Context.View.load();
  auto SinceContact =
      steadyNow() - steady_time(micros(Context.LastContactUs.load()));
  return {{"node", Context.Self.Id.Value},
          {"zone", Context.Self.Zone.Value},
          {"region", Context.Self.Region.Value},
          {"incarnation", Context.Incarnation.Value},
          {"draining", Context.Draining.load()},
          {"since_contact_us", SinceContact.count()},
          {"config", dumpConfig(*Snapshot, Sources.Config)},
          {"members", dumpMembers(*View)},
          {"local_upstreams", Sources.Admission.dump()},
          {"observed_upstreams", Sources.Policy.dump()},
          {"move_evidence", Sources.Moves.dump()},
          {"callers", dumpServer(Sources.CallerServer.stats())},
          {"peers", dumpServer(Sources.PeerServer.stats())},
          {"outgoing", dumpProxy(Sources.Proxy.stats())},
          {"rpc_connections", Context.Rpc.openConnections()},
          {"datagrams", dumpDatagrams(Context.Udp->counters())}};
}

static void updateDatagramMetrics(telemetry::metrics &Metrics,
                                  const inner::udp_counters &Counters) {
  auto Total = [&Metrics](metric Metric, const char *Label, const char *Value,
                          std::uint64_t Count) {
    Metrics.raiseCounterTo(Metric, {{Label, Value}},
                           static_cast<double>(Count));
  };
  Total(metric::DatagramBytes, "direction", "in", Counters.BytesIn);
  Total(metric::DatagramBytes, "direction", "out", Counters.BytesOut);
  Total(metric::DatagramsDropped, "reason", "oversized",
        Counters.DroppedOversized);
  Total(metric::DatagramsDropped, "reason", "unauthorized",
        Counters.DroppedUnauthorized);
  Total(metric::DatagramsDropped, "reason", "malformed",
        Counters.DroppedMalformed);
  Total(metric::DatagramsDropped, "reason", "outside_window",
        Counters.DroppedOutsideWindow);
}

static void updateMemberMetrics(telemetry::metrics &Metrics,
                                const mesh_view &View) {
  using membership::member_state;
  for (auto State :
       {member_state::Alive, member_state::Suspect, member_state::Leaving}) {
    auto Count = std::count_if(
        View.Members.begin(), View.Members.end(),
        [State](const auto &Member) { return Member.State == State; });
    Metrics.set(metric::Members, {{"state", membership::stateName(State)}},
                static_cast<double>(Count));
  }
}

void updateMetrics(const dump_sources &Sources) {
  auto &Context = Sources.Context;
  auto &Metrics = Context.Metrics;
  updateDatagramMetrics(Metrics, Context.Udp->counters());
  Metrics.set(metric::ConfigBehindSeconds, {},
              static_cast<double>(Sources.Config.timeBehind().count()) / 1e6);
  updateMemberMetrics(Metrics, *Context.View.load());
  for (const auto &Upstream : Sources.Admission.upstreams()) {
    auto Labels = telemetry::metric_labels{{"service", Upstream.Service.Value},
                                           {"version", Upstream.Version.Value}};
    Metrics.set(metric::UpstreamLimit, Labels, Upstream.Limit);
    Metrics.set(metric::UpstreamInFlight, Labels, Upstream.InFlight);
  }
  auto Proxy = Sources.Proxy.stats();
  Metrics.raiseCounterTo(metric::SilentConnections, {},
                         static_cast<double>(Proxy.Silent));
}

} // namespace sycamorelb::node
