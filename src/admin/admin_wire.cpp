/** @file admin_wire.cpp Conversion between plain structs and the admin schema.
 */
#include "admin/admin_wire.h"

namespace sycamorelb::admin {

auto outcomeName(outcome_kind Kind) -> const char * {
  switch (Kind) {
  case outcome_kind::Accepted:
    return "accepted";
  case outcome_kind::Rejected:
    return "rejected";
  case outcome_kind::NotAccepted:
    return "not_accepted";
  case outcome_kind::Unknown:
    return "unknown";
  }
  return "unknown";
}

static auto toText(capnp::Text::Reader Text) -> std::string {
  return {Text.cStr(), Text.size()};
}

template <class Builder>
static void writeTexts(Builder Out, const std::vector<std::string> &Texts) {
  for (auto Index = 0U; Index < Texts.size(); ++Index) {
    Out.set(Index, Texts[Index].c_str());
  }
}

static auto readTexts(capnp::List<capnp::Text>::Reader In)
    -> std::vector<std::string> {
  auto Texts = std::vector<std::string>();
  for (auto Text : In) {
    Texts.push_back(toText(Text));
  }
  return Texts;
}

template <class T> static auto sizeOf(const std::vector<T> &List) -> unsigned {
  return static_cast<unsigned>(List.size());
}

void writeOutcome(wire::Outcome::Builder Out, const outcome &Outcome) {
  Out.setKind(static_cast<wire::Outcome::Kind>(Outcome.Kind));
  Out.setVersion(Outcome.Version.Value);
  writeTexts(Out.initMessages(sizeOf(Outcome.Messages)), Outcome.Messages);
  Out.setNodesInForce(Outcome.NodesInForce);
  Out.setNodesTotal(Outcome.NodesTotal);
  writeTexts(Out.initLagging(sizeOf(Outcome.Lagging)), Outcome.Lagging);
}

auto readOutcome(wire::Outcome::Reader In) -> outcome {
  auto Outcome = outcome();
  Outcome.Kind = static_cast<outcome_kind>(In.getKind());
  Outcome.Version = {In.getVersion()};
  Outcome.Messages = readTexts(In.getMessages());
  Outcome.NodesInForce = In.getNodesInForce();
  Outcome.NodesTotal = In.getNodesTotal();
  Outcome.Lagging = readTexts(In.getLagging());
  return Outcome;
}

static void writeUpstream(wire::UpstreamStatus::Builder Out,
                          const upstream_status &Upstream) {
  Out.setService(Upstream.Service.c_str());
  Out.setVersion(Upstream.Version.c_str());
  Out.setAddress(Upstream.Address.c_str());
  Out.setState(Upstream.State.c_str());
  Out.setLimit(Upstream.Limit);
  Out.setInFlight(Upstream.InFlight);
  Out.setSlots(Upstream.Slots);
}

static auto readUpstream(wire::UpstreamStatus::Reader In) -> upstream_status {
  return {toText(In.getService()),
          toText(In.getVersion()),
          toText(In.getAddress()),
          toText(In.getState()),
          In.getLimit(),
          In.getInFlight(),
          In.getSlots()};
}

static void writeNode(wire::NodeStatus::Builder Out, const node_status &Node) {
  Out.setId(Node.Id.c_str());
  Out.setZone(Node.Zone.c_str());
  Out.setRegion(Node.Region.c_str());
  Out.setState(Node.State.c_str());
  Out.setConfigPosition(Node.ConfigPosition.Value);
  Out.setAdminAddress(Node.AdminAddress.c_str());
  auto Upstreams = Out.initUpstreams(sizeOf(Node.Upstreams));
  for (auto Index = 0U; Index < Node.Upstreams.size(); ++Index) {
    writeUpstream(Upstreams[Index], Node.Upstreams[Index]);
  }
}

static auto readNode(wire::NodeStatus::Reader In) -> node_status {
  auto Node = node_status();
  Node.Id = toText(In.getId());
  Node.Zone = toText(In.getZone());
  Node.Region = toText(In.getRegion());
  Node.State = toText(In.getState());
  Node.ConfigPosition = {In.getConfigPosition()};
  Node.AdminAddress = toText(In.getAdminAddress());
  for (auto Upstream : In.getUpstreams()) {
    Node.Upstreams.push_back(readUpstream(Upstream));
  }
  return Node;
}

static void writeMoveStatus(wire::MoveStatus::Builder Out,
                            const move_status &Move) {
  Out.setId(Move.Id.c_str());
  Out.setService(Move.Service.c_str());
  Out.setFrom(Move.From.c_str());
  Out.setTo(Move.To.c_str());
  Out.setPhase(Move.Phase.c_str());
  Out.setSharePpm(Move.Share.Value);
  Out.setByMs(Move.By.Value);
  Out.setReason(Move.Reason.c_str());
  Out.setStep(Move.Step);
}

static auto readMoveStatus(wire::MoveStatus::Reader In) -> move_status {
  return {toText(In.getId()), toText(In.getService()), toText(In.getFrom()),
          toText(In.getTo()), toText(In.getPhase()),   {In.getSharePpm()},
          {In.getByMs()},     toText(In.getReason()),  In.getStep()};
}

void writeStatus(wire::Status::Builder Out, const status &Status) {
  Out.setNode(Status.Node.c_str());
  Out.setConfigVersion(Status.ConfigVersion.Value);
  Out.setConfigPosition(Status.ConfigPosition.Value);
  auto Nodes = Out.initNodes(sizeOf(Status.Nodes));
  for (auto Index = 0U; Index < Status.Nodes.size(); ++Index) {
    writeNode(Nodes[Index], Status.Nodes[Index]);
  }
  auto Moves = Out.initMoves(sizeOf(Status.Moves));
  for (auto Index = 0U; Index < Status.Moves.size(); ++Index) {
    writeMoveStatus(Moves[Index], Status.Moves[Index]);
  }
  auto Zones = Out.initZones(sizeOf(Status.Zones));
  for (auto Index = 0U; Index < Status.Zones.size(); ++Index) {
    Zones[Index].setId(Status.Zones[Index].Id.c_str());
    Zones[Index].setRegion(Status.Zones[Index].Region.c_str());
    Zones[Index].setInService(Status.Zones[Index].InService);
  }
}

auto readStatus(wire::Status::Reader In) -> status {
  auto Status = status();
  Status.Node = toText(In.getNode());
  Status.ConfigVersion = {In.getConfigVersion()};
  Status.ConfigPosition = {In.getConfigPosition()};
  for (auto Node : In.getNodes()) {
    Status.Nodes.push_back(readNode(Node));
  }
  for (auto Move : In.getMoves()) {
    Status.Moves.push_back(readMoveStatus(Move));
  }
  for (auto Zone : In.getZones()) {
    Status.Zones.push_back(
        {toText(Zone.getId()), toText(Zone.getRegion()), Zone.getInService()});
  }
  return Status;
}

void writeMove(wire::MoveRequest::Builder Out, const move_request &Move) {
  Out.setService(Move.Service.Value.c_str());
  Out.setFrom(Move.From.Value.c_str());
  Out.setTo(Move.To.Value.c_str());
  Out.setByMs(Move.By.Value);
  Out.setMaxEarlySharePpm(Move.MaxEarlyShare.Value);
}

auto readMove(wire::MoveRequest::Reader In) -> move_request {
  return {{toText(In.getService())},
          {toText(In.getFrom())},
          {toText(In.getTo())},
          {In.getByMs()},
          {In.getMaxEarlySharePpm()}};
}

} // namespace sycamorelb::admin
