/** @file gossip_codec.cpp Encoding of gossip as Cap'n Proto. */
#include "inner/gossip_codec.h"

#include <algorithm>
#include <utility>

namespace sycamorelb::inner {

/** Longest name of a node, zone, service, version or target, in bytes. */
static constexpr auto MaxNameBytes = std::size_t{4096};
/** Largest incarnation and revision: a node continues both by counting up. */
static constexpr auto MaxCounter = std::uint64_t{1} << 62U;
/** Largest number of slots, as in heartbeats. */
static constexpr auto MaxSlots = std::uint32_t{100'000};

/** @return the process in a message; nodes of older versions tell none, and
 * identify it by its incarnation. */
static auto processOf(std::uint64_t Process, std::uint64_t Incarnation)
    -> std::uint64_t {
  return Process == 0 ? Incarnation : Process;
}

void writeHost(mesh_wire::Host::Builder Out, const mesh::host_record &Host) {
  Out.setNode(Host.Node.Value);
  Out.setPeer(event::formatEndpoint(Host.Peer));
  Out.setZone(Host.Zone.Value);
  Out.setIncarnation(Host.Incarnation);
  Out.setProcess(Host.Process.Value);
  Out.setRevision(Host.Revision);
  Out.setStoreLost(Host.StoreLost);
  Out.setLeaving(Host.Leaving);
  Out.setCapable(Host.ReaderCapable);
  Out.setCompression(Host.Compression);
  Out.setTargetId(Host.Target.Id.Value);
  Out.setBornAt(Host.Target.StartedAtMs);
  Out.setService(Host.Target.Service.Value);
  Out.setVersion(Host.Target.Version.Value);
  Out.setSlots(Host.Target.Slots);
  Out.setState(static_cast<std::uint16_t>(Host.Target.State));
}

auto readHost(mesh_wire::Host::Reader In) -> std::optional<mesh::host_record> {
  auto Peer = event::parseEndpoint(textOf(In.getPeer()));
  auto IsTooLong = [](capnp::Text::Reader Name) {
    return Name.size() > MaxNameBytes;
  };
  if (In.getNode().size() == 0 || IsTooLong(In.getNode()) ||
      IsTooLong(In.getZone()) || IsTooLong(In.getTargetId()) ||
      IsTooLong(In.getService()) || IsTooLong(In.getVersion()) || !isOk(Peer) ||
      In.getIncarnation() > MaxCounter || In.getRevision() > MaxCounter ||
      In.getSlots() > MaxSlots) {
    return std::nullopt;
  }
  auto Host = mesh::host_record();
  Host.Node.Value = textOf(In.getNode());
  Host.Peer = valueOf(Peer);
  Host.Zone.Value = textOf(In.getZone());
  Host.Incarnation = In.getIncarnation();
  Host.Process.Value = processOf(In.getProcess(), In.getIncarnation());
  Host.Revision = In.getRevision();
  Host.StoreLost = In.getStoreLost();
  Host.Leaving = In.getLeaving();
  Host.ReaderCapable = In.getCapable();
  Host.Compression = In.getCompression();
  Host.Target.Id.Value = textOf(In.getTargetId());
  Host.Target.StartedAtMs = In.getBornAt();
  Host.Target.Service.Value = textOf(In.getService());
  Host.Target.Version.Value = textOf(In.getVersion());
  Host.Target.Slots = In.getSlots();
  Host.Target.State = static_cast<mesh::target_state>(std::min<std::uint16_t>(
      In.getState(), static_cast<std::uint16_t>(mesh::target_state::Gone)));
  return Host;
}

static void writeEvidence(mesh_wire::Evidence::Builder Out,
                          const rollout_evidence_report &Report) {
  Out.setNode(Report.Node.Value);
  Out.setService(Report.Service.Value);
  Out.setOrderOffset(Report.OrderOffset.Value);
  Out.setOrderEra(Report.OrderEra.Value);
  Out.setVersion(Report.Version.Value);
  Out.setIncarnation(Report.Start.Incarnation);
  Out.setTargetStart(Report.Start.TargetStart);
  Out.setProcess(Report.Start.Process.Value);
  auto Tallies = Out.initTallies(static_cast<unsigned>(Report.Evidence.size()));
  auto Index = 0U;
  for (const auto &[Route, Tally] : Report.Evidence) {
    auto Item = Tallies[Index++];
    Item.setRoute(Route.Value);
    Item.setCalls(Tally.Calls);
    Item.setFailures(Tally.Failures);
    Item.setTimed(Tally.TimedCalls);
    Item.setRunMicros(Tally.RunMicros);
  }
}

static auto readEvidence(mesh_wire::Evidence::Reader In)
    -> rollout_evidence_report {
  auto Report = rollout_evidence_report();
  Report.Node.Value = textOf(In.getNode());
  Report.Service.Value = textOf(In.getService());
  Report.OrderOffset.Value = In.getOrderOffset();
  Report.OrderEra.Value = In.getOrderEra();
  Report.Version.Value = textOf(In.getVersion());
  Report.Start = {In.getIncarnation(),
                  In.getTargetStart(),
                  {processOf(In.getProcess(), In.getIncarnation())}};
  for (auto Item : In.getTallies()) {
    Report.Evidence[route_id{textOf(Item.getRoute())}] = {
        Item.getCalls(), Item.getFailures(), Item.getTimed(),
        Item.getRunMicros()};
  }
  return Report;
}

static void writeRecords(mesh_wire::Gossip::Builder Out,
                         const std::vector<mesh::operator_record> &Records) {
  auto List = Out.initRecords(static_cast<unsigned>(Records.size()));
  for (auto Index = 0U; Index < Records.size(); ++Index) {
    List[Index].setKey(Records[Index].Key);
    List[Index].setOffset(Records[Index].Offset.Value);
    List[Index].setDropped(Records[Index].Dropped);
    List[Index].setValue(asData(Records[Index].Value));
    List[Index].setCompressed(Records[Index].Compressed);
    List[Index].setEra(Records[Index].Era.Value);
    if (Records[Index].Base) {
      List[Index].setBaseAfter(Records[Index].Base->Value + 1);
    }
  }
}

static void writeRollouts(mesh_wire::Gossip::Builder Out,
                          const std::vector<rollout::rollout_state> &Rollouts,
                          steady_time Now) {
  auto List = Out.initRollouts(static_cast<unsigned>(Rollouts.size()));
  for (auto Index = 0U; Index < Rollouts.size(); ++Index) {
    List[Index].setService(Rollouts[Index].Order.Service.Value);
    List[Index].setOrderOffset(Rollouts[Index].OrderOffset.Value);
    List[Index].setVersion(Rollouts[Index].Order.Version.Value);
    List[Index].setStage(static_cast<std::uint16_t>(Rollouts[Index].Stage));
    List[Index].setElapsedMicros((Now - Rollouts[Index].SeenAt).count());
    if (Rollouts[Index].Stored.Era.Value > 0) {
      List[Index].setEra(Rollouts[Index].OrderEra.Value);
      List[Index].setStoredEra(Rollouts[Index].Stored.Era.Value);
      List[Index].setStoredOffset(Rollouts[Index].Stored.Offset.Value);
      List[Index].setDurationMillis(Rollouts[Index].Order.Duration.count());
    }
  }
}

static void writeUsage(mesh_wire::UsageCounts::Builder Out,
                       const usage_counts &Usage) {
  Out.setNode(Usage.Node.Value);
  Out.setProcess(Usage.Process.Value);
  Out.setWindow(Usage.Window);
  Out.setFinal(Usage.Final);
  auto Counts = Out.initCounts(static_cast<unsigned>(Usage.Counts.size()));
  auto Index = 0U;
  for (const auto &[Customer, Calls] : Usage.Counts) {
    Counts[Index].setCustomer(Customer.Value);
    Counts[Index++].setCalls(Calls);
  }
}

static auto readUsage(mesh_wire::UsageCounts::Reader In) -> usage_counts {
  auto Usage = usage_counts();
  Usage.Node.Value = textOf(In.getNode());
  Usage.Process.Value = In.getProcess();
  Usage.Window = In.getWindow();
  Usage.Final = In.getFinal();
  for (auto Item : In.getCounts()) {
    Usage.Counts[customer_id{textOf(Item.getCustomer())}] = Item.getCalls();
  }
  return Usage;
}

static void writeUsageHolder(mesh_wire::UsageHolder::Builder Out,
                             const usage_holder &Holder) {
  Out.setNode(Holder.Node.Value);
  Out.setProcess(Holder.Process.Value);
  Out.setToken(Holder.Token);
  Out.setEra(Holder.Era.Value);
  Out.setWindow(Holder.Window);
}

void writeGossip(mesh_wire::Gossip::Builder Out, const gossip_message &Message,
                 steady_time Now) {
  writeHost(Out.initSender(), Message.Sender);
  Out.setOperatorEnd(Message.OperatorEnd.Value);
  Out.setHostDigest(Message.HostDigest);
  auto Hosts = Out.initHosts(static_cast<unsigned>(Message.Hosts.size()));
  for (auto Index = 0U; Index < Message.Hosts.size(); ++Index) {
    writeHost(Hosts[Index], Message.Hosts[Index]);
  }
  writeRecords(Out, Message.Records);
  writeRollouts(Out, Message.Rollouts, Now);
  auto Summary = Out.initSummary(static_cast<unsigned>(Message.Summary.size()));
  for (auto Index = 0U; Index < Message.Summary.size(); ++Index) {
    Summary[Index].setNode(Message.Summary[Index].Node.Value);
    Summary[Index].setIncarnation(Message.Summary[Index].Incarnation);
    Summary[Index].setRevision(Message.Summary[Index].Revision);
  }
  Out.setRecordsFrom(Message.RecordsFrom.Value);
  Out.setReader(Message.StoreAge.has_value());
  Out.setStoreAgeMicros(Message.StoreAge.value_or(micros(0)).count());
  Out.setRelay(Message.RelayToZone);
  Out.setWantHosts(Message.WantHosts);
  Out.setWantRecords(Message.WantRecords);
  auto Evidence =
      Out.initEvidence(static_cast<unsigned>(Message.Evidence.size()));
  for (auto Index = 0U; Index < Message.Evidence.size(); ++Index) {
    writeEvidence(Evidence[Index], Message.Evidence[Index]);
  }
  Out.setOperatorEra(Message.OperatorEra.Value);
  if (!Message.Usage.empty()) {
    auto Usage = Out.initUsage(static_cast<unsigned>(Message.Usage.size()));
    for (auto Index = 0U; Index < Message.Usage.size(); ++Index) {
      writeUsage(Usage[Index], Message.Usage[Index]);
    }
  }
  if (Message.UsageHolder) {
    writeUsageHolder(Out.initUsageHolder(), *Message.UsageHolder);
  }
  Out.setWallMillis(Message.WallMillis);
}

/** @return the rollout, or nothing if its stage is unknown. */
static auto readRollout(mesh_wire::Rollout::Reader In, steady_time Now)
    -> std::optional<rollout::rollout_state> {
  auto Rollout = rollout::rollout_state();
  Rollout.Order.Service.Value = textOf(In.getService());
  Rollout.OrderOffset.Value = In.getOrderOffset();
  Rollout.OrderEra.Value = In.getEra();
  Rollout.Stored =
      In.getStoredEra() > 0
          ? mesh::log_position{{In.getStoredEra()}, {In.getStoredOffset()}}
          : Rollout.identity();
  Rollout.Order.Duration = std::chrono::duration_cast<millis>(
      timeOf(std::clamp(In.getDurationMillis(), std::int64_t{0},
                        MaxMessageTime / 1000) *
             1000));
  Rollout.Order.Version.Value = textOf(In.getVersion());
  Rollout.SeenAt = Now - std::max(micros(0), timeOf(In.getElapsedMicros()));
  if (In.getStage() < static_cast<int>(rollout::rollout_stage::Canary) ||
      In.getStage() > static_cast<int>(rollout::rollout_stage::Completed)) {
    return std::nullopt;
  }
  Rollout.Stage = static_cast<rollout::rollout_stage>(In.getStage());
  return Rollout;
}

auto readGossip(mesh_wire::Gossip::Reader In, steady_time Now)
    -> std::optional<gossip_message> {
  auto Message = gossip_message();
  auto Sender = readHost(In.getSender());
  if (!Sender) {
    return std::nullopt;
  }
  Message.Sender = *Sender;
  Message.OperatorEnd.Value = In.getOperatorEnd();
  Message.HostDigest = In.getHostDigest();
  for (auto Item : In.getHosts()) {
    if (auto Host = readHost(Item)) {
      Message.Hosts.push_back(std::move(*Host));
    }
  }
  for (auto Item : In.getRecords()) {
    auto Record = mesh::operator_record{
        textOf(Item.getKey()),   {Item.getOffset()}, Item.getDropped(),
        dataOf(Item.getValue()), std::nullopt,       Item.getCompressed(),
        {Item.getEra()}};
    if (Item.getBaseAfter() > 0) {
      Record.Base = log_offset{Item.getBaseAfter() - 1};
    }
    Message.Records.push_back(std::move(Record));
  }
  for (auto Item : In.getRollouts()) {
    if (auto Rollout = readRollout(Item, Now)) {
      Message.Rollouts.push_back(std::move(*Rollout));
    }
  }
  for (auto Item : In.getSummary()) {
    Message.Summary.push_back(
        {{textOf(Item.getNode())}, Item.getIncarnation(), Item.getRevision()});
  }
  Message.RecordsFrom.Value = In.getRecordsFrom();
  if (In.getReader()) {
    Message.StoreAge = std::max(micros(0), timeOf(In.getStoreAgeMicros()));
  }
  Message.RelayToZone = In.getRelay();
  Message.WantHosts = In.getWantHosts();
  Message.WantRecords = In.getWantRecords();
  for (auto Item : In.getEvidence()) {
    Message.Evidence.push_back(readEvidence(Item));
  }
  Message.OperatorEra.Value = In.getOperatorEra();
  for (auto Item : In.getUsage()) {
    Message.Usage.push_back(readUsage(Item));
  }
  if (In.hasUsageHolder()) {
    auto Holder = In.getUsageHolder();
    Message.UsageHolder = usage_holder{{textOf(Holder.getNode())},
                                       {Holder.getProcess()},
                                       Holder.getToken(),
                                       {Holder.getEra()},
                                       Holder.getWindow()};
  }
  Message.WallMillis = In.getWallMillis();
  return Message;
}

} // namespace sycamorelb::inner
