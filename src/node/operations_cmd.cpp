/** @file operations_cmd.cpp Operator commands that change or show the
 * configuration. */
#include "node/operations_cmd.h"

#include "node/route_table.h"
#include "sycamorelb/config/declaration_func.h"
#include "sycamorelb/config/name_func.h"
#include "sycamorelb/config/replay_func.h"
#include "sycamorelb/membership/name_func.h"
#include "sycamorelb/telemetry/log_func.h"

#include <nlohmann/json.hpp>

namespace sycamorelb::node {

using admin::outcome;
using admin::outcome_kind;

/** Timeout of appending a mutation and reading back its outcome. */
static constexpr auto PublishTimeout = millis(4000);
/** Timeout of asking one node for its log position. */
static constexpr auto PositionTimeout = millis(300);
/** Timeout of asking all nodes for their log positions. */
static constexpr auto PropagationTimeout = millis(1500);

static auto rejected(std::vector<std::string> Messages) -> outcome {
  auto Outcome = outcome();
  Outcome.Kind = outcome_kind::Rejected;
  Outcome.Messages = std::move(Messages);
  return Outcome;
}

static auto toOutcome(const publish_result &Result) -> outcome {
  auto Outcome = outcome();
  Outcome.Version = Result.Version;
  if (!Result.Reason.empty()) {
    Outcome.Messages.push_back(Result.Reason);
  }
  switch (Result.Kind) {
  case publish_kind::Accepted:
    Outcome.Kind = outcome_kind::Accepted;
    break;
  case publish_kind::Rejected:
    Outcome.Kind = outcome_kind::Rejected;
    break;
  case publish_kind::NotAccepted:
    Outcome.Kind = outcome_kind::NotAccepted;
    break;
  case publish_kind::Unknown:
    Outcome.Kind = outcome_kind::Unknown;
    break;
  }
  return Outcome;
}

operations::operations(node_context &NodeContext, publisher &NodePublisher)
    : Context(NodeContext), Publisher(NodePublisher) {}

auto operations::publish(const config::record &Record) -> outcome {
  auto Outcome = toOutcome(Publisher.publish(Record, PublishTimeout));
  telemetry::logLine(telemetry::log_level::Info,
                     {"admin.publish", "", Record.Request.Value},
                     "mutation processed",
                     {{"outcome", admin::outcomeName(Outcome.Kind)},
                      {"version", Outcome.Version.Value}});
  if (Outcome.Kind == outcome_kind::Accepted) {
    measurePropagation(Outcome);
  }
  return Outcome;
}

auto operations::apply(const request_id &Request, const std::string &Text,
                       const std::string &File) -> outcome {
  auto Parsed = config::parseDeclaration(Text, File);
  if (const auto *Errors =
          std::get_if<std::vector<config::declaration_error>>(&Parsed)) {
    auto Messages = std::vector<std::string>();
    for (const auto &Error : *Errors) {
      Messages.push_back(config::describe(Error));
    }
    return rejected(std::move(Messages));
  }
  const auto &Declaration = std::get<config::declaration>(Parsed);
  auto Snapshot = Context.Store.current();
  if (!config::findOutcome(Snapshot->State, Request)) {
    auto Next =
        config::withDeclaration(Snapshot->State, Declaration, wallNow());
    if (!isOk(Next)) {
      return rejected({errorOf(Next).Message});
    }
  }
  return publish(
      config::makeApply(Snapshot->State, Declaration, Request, wallNow()));
}

auto operations::startMove(const request_id &Request,
                           const admin::move_request &Move) -> outcome {
  auto Snapshot = Context.Store.current();
  const auto &Services = Snapshot->State.Declared.Services;
  auto Service = Services.find(Move.Service);
  if (Service == Services.end()) {
    return rejected({"service \"" + Move.Service.Value + "\" is not declared"});
  }
  auto Record = config::record();
  Record.Request = Request;
  Record.At = wallNow();
  auto From =
      Move.From.Value.empty() ? Service->second.ActiveVersion : Move.From;
  Record.Body = config::move_start_record{{{Request.Value},
                                           Move.Service,
                                           From,
                                           Move.To,
                                           Move.By,
                                           Move.MaxEarlyShare}};
  return publish(Record);
}

auto operations::takeBackMove(const request_id &Request,
                              const service_id &Service) -> outcome {
  auto Snapshot = Context.Store.current();
  const auto *Move = config::runningMove(Snapshot->State, Service);
  if (Move == nullptr && !config::findOutcome(Snapshot->State, Request)) {
    return rejected({"service \"" + Service.Value + "\" has no running move"});
  }
  auto Record = config::record();
  Record.Request = Request;
  Record.At = wallNow();
  auto Id = Move == nullptr ? move_id() : Move->Move.Id;
  Record.Body = config::move_verdict_record{Id, config::move_phase::TakenBack,
                                            "taken back by an operator"};
  return publish(Record);
}

auto operations::setZone(const request_id &Request, const zone_id &Zone,
                         bool InService) -> outcome {
  auto Record = config::record();
  Record.Request = Request;
  Record.At = wallNow();
  Record.Body = config::zone_record{Zone, InService};
  return publish(Record);
}

auto operations::findOutcome(const request_id &Request) -> outcome {
  auto Outcome = toOutcome(Publisher.lookUp(Request));
  if (Outcome.Kind == outcome_kind::Accepted) {
    measurePropagation(Outcome);
  }
  return Outcome;
}

auto operations::hasVersion(const membership::member &Member,
                            log_offset Version) -> bool {
  if (Member.Id == Context.Self.Id) {
    return Context.Store.point().Position >= Version;
  }
  {
    auto Lock = std::lock_guard(PositionsMutex);
    if (std::max(Member.ConfigPosition, KnownPositions[Member.Id]) >= Version) {
      return true;
    }
  }
  auto Point = Context.Store.point();
  auto Answer = Context.Rpc.fetchRecords(
      Member.Addresses.Inner, {Point.Position, Point.Hash}, PositionTimeout);
  if (!isOk(Answer)) {
    return false;
  }
  auto Lock = std::lock_guard(PositionsMutex);
  KnownPositions[Member.Id] = valueOf(Answer).Config.Position;
  return KnownPositions[Member.Id] >= Version;
}

/** Gossip carries positions only once per heartbeat, so nodes that seem to lag
 * are asked directly. */
void operations::measurePropagation(outcome &Outcome) {
  auto View = Context.View.load();
  auto Deadline = steadyNow() + PropagationTimeout;
  for (const auto &Member : View->Members) {
    ++Outcome.NodesTotal;
    if (steadyNow() < Deadline && hasVersion(Member, Outcome.Version)) {
      ++Outcome.NodesInForce;
    } else {
      Outcome.Lagging.push_back(Member.Id.Value);
    }
  }
}

static auto nodeStatus(const membership::member &Member) -> admin::node_status {
  auto Status = admin::node_status();
  Status.Id = Member.Id.Value;
  Status.Zone = Member.Zone.Value;
  Status.Region = Member.Region.Value;
  Status.State = membership::stateName(Member.State);
  Status.ConfigPosition = Member.ConfigPosition;
  Status.AdminAddress = Member.Addresses.Admin;
  for (const auto &Upstream : Member.Upstreams) {
    Status.Upstreams.push_back(
        {Upstream.Service.Value, Upstream.Version.Value, Upstream.Address,
         membership::upstreamStateName(Upstream.State), Upstream.Limit,
         Upstream.InFlight, Upstream.Slots});
  }
  return Status;
}

static auto moveStatus(const config::move_state &State) -> admin::move_status {
  const auto &Move = State.Move;
  return {Move.Id.Value,
          Move.Service.Value,
          Move.From.Value,
          Move.To.Value,
          config::phaseName(State.Phase),
          State.Share,
          Move.By,
          State.Reason,
          State.Step};
}

auto operations::status() const -> admin::status {
  auto Snapshot = Context.Store.current();
  auto View = Context.View.load();
  auto Status = admin::status();
  Status.Node = Context.Self.Id.Value;
  Status.ConfigVersion = Snapshot->State.Version;
  Status.ConfigPosition = Snapshot->State.Position;
  for (const auto &Member : View->Members) {
    Status.Nodes.push_back(nodeStatus(Member));
    if (Member.Id == Context.Self.Id) {
      Status.Nodes.back().ConfigPosition = Status.ConfigPosition;
    }
  }
  for (const auto &[Id, Move] : Snapshot->State.Moves) {
    Status.Moves.push_back(moveStatus(Move));
  }
  for (const auto &[Id, Zone] : Snapshot->State.Declared.Zones) {
    Status.Zones.push_back(
        {Id.Value, Zone.Region.Value, isZoneInService(*Snapshot, Id)});
  }
  return Status;
}

auto operations::declaration() const -> admin::declaration_text {
  auto Snapshot = Context.Store.current();
  return {Snapshot->State.Version,
          config::renderDeclaration(Snapshot->State.Declared)};
}

} // namespace sycamorelb::node
