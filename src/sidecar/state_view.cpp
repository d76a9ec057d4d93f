/** @file state_view.cpp State dump and metrics gauges of a node. */
#include "sidecar/state_view.h"

#include <nlohmann/json.hpp>

namespace sycamorelb::sidecar {

static auto encodeHost(const mesh::host_record &Host) -> nlohmann::json {
  return {{"peer", event::formatEndpoint(Host.Peer)},
          {"zone", Host.Zone.Value},
          {"incarnation", Host.Incarnation},
          {"process", Host.Process.Value},
          {"revision", Host.Revision},
          {"store_lost", Host.StoreLost},
          {"leaving", Host.Leaving},
          {"target", Host.Target.Id.Value},
          {"service", Host.Target.Service.Value},
          {"version", Host.Target.Version.Value},
          {"slots", Host.Target.Slots},
          {"state", static_cast<int>(Host.Target.State)}};
}

auto renderState(const state_view &View) -> std::string {
  const auto &State = View.State;
  auto Json = nlohmann::json::object();
  Json["node"] = State.Own.Node.Value;
  Json["config_version"] =
      State.Routes ? State.Routes->config().Version.Value : 0;
  Json["operator_end"] = State.Operator.end().Value;
  Json["store_era"] = State.StoreEra.Value;
  Json["stopping"] = State.Stopping;
  Json["open_calls"] = View.OpenCalls;
  Json["target"] = {{"running", View.Load.Running},
                    {"queued", View.Load.Queued},
                    {"slots", View.Load.Slots},
                    {"concurrency", View.Load.Concurrency},
                    {"work_percent", View.Load.WorkPercent},
                    {"mean_run_us", View.Load.MeanRun.count()},
                    {"failure_ppm", View.Load.FailurePpm},
                    {"cold", View.Load.Cold}};
  for (const auto &[Node, Host] : State.Hosts.records()) {
    Json["hosts"][Node.Value] = encodeHost(Host);
  }
  for (const auto &[Service, Rollout] : State.Rollouts) {
    Json["rollouts"][Service.Value] = {
        {"version", Rollout.Order.Version.Value},
        {"offset", Rollout.OrderOffset.Value},
        {"stage", static_cast<int>(Rollout.Stage)}};
  }
  if (const auto &Holder = View.Usage.Known) {
    Json["usage"] = {{"holder", Holder->Node.Value},
                     {"process", Holder->Process.Value},
                     {"token", Holder->Token},
                     {"era", View.Usage.Era.Value},
                     {"window", Holder->Window},
                     {"stage", static_cast<int>(View.Usage.Stage)}};
  }
  Json["evacuated"] = nlohmann::json::array();
  for (const auto &Zone : State.EvacuatedZones) {
    Json["evacuated"].push_back(Zone.Value);
  }
  // Names from other writers may not be UTF-8.
  return Json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto collectGauges(const state_view &View) -> node_gauges {
  auto Gauges = node_gauges();
  const auto &State = View.State;
  Gauges.ConfigVersion =
      State.Routes ? State.Routes->config().Version.Value : 0;
  Gauges.ConfigAgeSeconds =
      static_cast<double>((State.Loop.now() - State.ConfigAppliedAt).count()) /
      1e6;
  Gauges.Hosts = State.Hosts.records().size();
  Gauges.Running = View.Load.Running;
  Gauges.Queued = View.Load.Queued;
  Gauges.Concurrency = View.Load.Concurrency;
  Gauges.WorkPercent = View.Load.WorkPercent;
  Gauges.OpenCalls = View.OpenCalls;
  Gauges.Pipelined = View.Pipelining.Pipelined;
  Gauges.HeldResponses = View.Pipelining.HeldResponses;
  Gauges.HeldBytes = View.Pipelining.HeldBytes;
  const auto &Memory = *State.Loop.memory();
  Gauges.BufferBytes = Memory.UsedBytes;
  Gauges.BufferPeak = Memory.PeakBytes;
  Gauges.BufferLimit = Memory.LimitBytes;
  Gauges.Callers = View.Callers;
  Gauges.Suppressed = State.Log.suppressed();
  Gauges.StoreEra = State.StoreEra.Value;
  Gauges.StoreLost = State.Own.StoreLost;
  Gauges.IsUsageHolder = View.Usage.Stage == usage::holder_stage::Holding;
  Gauges.UsageToken = View.Usage.Known ? View.Usage.Known->Token : 0;
  Gauges.UsageEra = View.Usage.Era.Value;
  return Gauges;
}

} // namespace sycamorelb::sidecar
