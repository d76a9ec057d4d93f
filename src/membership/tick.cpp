/** @file tick.cpp Timers of membership: probes, suspicions, reconnects, table
 * exchanges and expiry. */
#include "membership/gossip.h"

#include <algorithm>

namespace sycamorelb::membership {

namespace {

auto addressOf(const member_table &Table, const node_id &Id)
    -> const std::string & {
  return Table.Entries.at(Id).Member.Addresses.Inner;
}

/** Sends a ping. @return its sequence number. */
auto sendPing(member_table &Table, const node_id &Target,
              const std::string &Address, instant Now, effects &Effects)
    -> std::uint64_t {
  auto Sequence = Table.NextSequence++;
  Effects.Messages.push_back({.Address = Address,
                              .Message = buildMessage(Table, message_kind::Ping,
                                                      Sequence, Target, Now)});
  return Sequence;
}

/** Shifts the timers by the time in which this node did not run, so that a
 * resumed node declares no member dead; limits timers that lie too far ahead
 * after the clock was set back. */
void adjustTimersAfterPause(member_table &Table, instant Now) {
  auto Gap = Now.Steady - Table.LastTick.value_or(Now.Steady);
  Table.LastTick = Now.Steady;
  if (Gap >= micros{0} && Gap <= Table.Options.MaxTickGap) {
    return;
  }
  Table.Probe.reset();
  Table.RelayedPings.clear();
  Table.UrgentRefilled = std::min(Table.UrgentRefilled, Now.Steady);
  auto Cap = [&](steady_time &Due, millis Period) {
    Due = std::min(Due, Now.Steady + Period);
  };
  Cap(Table.NextProbe, Table.Options.ProbePeriod);
  Cap(Table.NextExchange, Table.Options.ExchangePeriod);
  Cap(Table.NextReconnect, Table.Options.ReconnectPeriod);
  Cap(Table.NextHealExchange, Table.Options.ReconnectPeriod);
  Cap(Table.NextDeathCheck, Table.Options.DeathCheckPeriod);
  Cap(Table.StartedAt, millis{0});
  for (auto &[Id, Entry] : Table.Entries) {
    Cap(Entry.DeadAt, millis{0});
    if (Entry.SuspectedAt) {
      Entry.SuspectedAt = std::min(*Entry.SuspectedAt + Gap, Now.Steady);
    }
  }
  for (auto &Brake : Table.Brakes) {
    Cap(Brake.LearnedAt, millis{0});
  }
}

/** Starts the local suspicion of a member that did not answer a probe. */
void markSuspect(member_table &Table, const node_id &Id, instant Now,
                 effects &Effects) {
  auto &Entry = Table.Entries.at(Id);
  Entry.SuspectedAt = Entry.SuspectedAt.value_or(Now.Steady);
  if (Entry.Member.State != member_state::Alive) {
    return;
  }
  Entry.Member.State = member_state::Suspect;
  enqueueUpdate(Table, Id);
  Effects.Changes.push_back({.Id = Id,
                             .Before = member_state::Alive,
                             .After = member_state::Suspect});
  // Sent to the member itself first, because only it can refute the suspicion.
  sendPing(Table, Id, addressOf(Table, Id), Now, Effects);
}

void sendPingRequests(member_table &Table, pending_probe &Probe, instant Now,
                      effects &Effects) {
  Probe.PingRequestsSent = true;
  for (const auto &Relay :
       randomPeers(Table, Table.Options.IndirectProbes, Probe.Target)) {
    auto Request = buildMessage(Table, message_kind::PingRequest,
                                Probe.Sequence, Relay, Now);
    Request.Target = Probe.Target;
    Request.TargetAddress = addressOf(Table, Probe.Target);
    Effects.Messages.push_back(
        {.Address = addressOf(Table, Relay), .Message = std::move(Request)});
  }
}

/** Checks the pending probe: requests indirect probes after DirectTimeout, and
 * suspects the member after ProbePeriod. */
void checkProbe(member_table &Table, instant Now, effects &Effects) {
  if (!Table.Probe) {
    return;
  }
  auto &Probe = *Table.Probe;
  auto Found = Table.Entries.find(Probe.Target);
  if (Found == Table.Entries.end() ||
      Found->second.Member.Incarnation != Probe.Incarnation ||
      Found->second.Member.State == member_state::Dead) {
    Table.Probe.reset();
    return;
  }
  auto Elapsed = Now.Steady - Probe.SentAt;
  if (Elapsed >= Table.Options.ProbePeriod) {
    auto Target = Probe.Target;
    Table.Probe.reset();
    markSuspect(Table, Target, Now, Effects);
  } else if (Elapsed >= Table.Options.DirectTimeout &&
             !Probe.PingRequestsSent) {
    sendPingRequests(Table, Probe, Now, Effects);
  }
}

/** @return the next member to probe. When all members of a round were probed, a
 * new shuffled round starts; members that joined since the last start are
 * included then. */
auto nextProbeTarget(member_table &Table, bool OwnZone)
    -> std::optional<node_id> {
  auto &Order = OwnZone ? Table.OwnZoneProbeOrder : Table.OtherZoneProbeOrder;
  auto Zone = ownEntry(Table).Member.Zone;
  for (auto Refilled = false;;) {
    while (!Order.empty()) {
      auto Id = Order.back();
      Order.pop_back();
      auto Found = Table.Entries.find(Id);
      if (Found != Table.Entries.end() &&
          Found->second.Member.State != member_state::Dead) {
        return Id;
      }
    }
    if (Refilled) {
      return std::nullopt;
    }
    Refilled = true;
    for (auto &Id : randomPeers(Table, Table.Entries.size(), node_id{})) {
      if ((Table.Entries.at(Id).Member.Zone == Zone) == OwnZone) {
        Order.push_back(std::move(Id));
      }
    }
  }
}

/** Starts the probe of the next period. Probes alternate between the own
 * zone and other zones, so that each zone is observed from inside and from
 * outside. */
void startProbe(member_table &Table, instant Now, effects &Effects) {
  if (Now.Steady < Table.NextProbe || Table.Probe) {
    return;
  }
  Table.NextProbe = std::max(Table.NextProbe + Table.Options.ProbePeriod,
                             Now.Steady + Table.Options.ProbePeriod / 2);
  Table.ProbeOwnZone = !Table.ProbeOwnZone;
  auto Target = nextProbeTarget(Table, Table.ProbeOwnZone);
  if (!Target) {
    Target = nextProbeTarget(Table, !Table.ProbeOwnZone);
  }
  if (!Target) {
    return;
  }
  auto Sequence =
      sendPing(Table, *Target, addressOf(Table, *Target), Now, Effects);
  Table.Probe =
      pending_probe{.Target = *Target,
                    .Incarnation = Table.Entries.at(*Target).Member.Incarnation,
                    .Sequence = Sequence,
                    .SentAt = Now.Steady};
}

/** Pings a member that was reported dead; without an answer it is declared dead
 * after the suspicion time. */
void verifyDeathReports(member_table &Table, instant Now, effects &Effects) {
  if (Now.Steady < Table.NextDeathCheck) {
    return;
  }
  for (auto &[Id, Entry] : Table.Entries) {
    if (!Entry.DeathReported) {
      continue;
    }
    Entry.DeathReported = false;
    if (Entry.Member.State != member_state::Alive) {
      continue;
    }
    Entry.SuspectedAt = Entry.SuspectedAt.value_or(Now.Steady);
    auto Sequence = Table.NextSequence++;
    auto Ping = buildMessage(Table, message_kind::Ping, Sequence, Id, Now);
    // The ping carries the report, so that the member can refute it.
    auto Report = member_update{.Member = Entry.Member};
    Report.Member.State = member_state::Dead;
    Ping.Updates = {Report};
    Effects.Messages.push_back(
        {.Address = Entry.Member.Addresses.Inner, .Message = std::move(Ping)});
    Table.NextDeathCheck = Now.Steady + Table.Options.DeathCheckPeriod;
    return;
  }
}

/** Declares members dead whose suspicion exceeded the suspicion time. */
void expireSuspicions(member_table &Table, instant Now, effects &Effects) {
  for (auto &[Id, Entry] : Table.Entries) {
    if (!Entry.SuspectedAt ||
        Now.Steady - *Entry.SuspectedAt < Table.Options.SuspicionTime) {
      continue;
    }
    auto Before = Entry.Member.State;
    Entry.SuspectedAt.reset();
    Entry.Member.State = member_state::Dead;
    Entry.DeadAt = Now.Steady;
    enqueueUpdate(Table, Id);
    Effects.Changes.push_back(
        {.Id = Id, .Before = Before, .After = member_state::Dead});
  }
}

/** Removes expired and excess tombstones, expired brakes, and relayed pings
 * without an answer. */
void removeExpired(member_table &Table, instant Now) {
  const auto &Options = Table.Options;
  auto Tombstones = std::vector<std::pair<steady_time, node_id>>{};
  for (const auto &[Id, Entry] : Table.Entries) {
    if (Entry.Member.State == member_state::Dead && Id != Table.Self) {
      Tombstones.emplace_back(Entry.DeadAt, Id);
    }
  }
  std::sort(Tombstones.begin(), Tombstones.end());
  auto Excess =
      Tombstones.size() - std::min(Tombstones.size(), Options.MaxTombstones);
  for (auto Index = std::size_t{0}; Index < Tombstones.size(); ++Index) {
    const auto &Id = Tombstones[Index].second;
    auto Age = Now.Steady - Tombstones[Index].first;
    if (Index < Excess || Age >= Options.TombstoneTime) {
      Table.Entries.erase(Id);
      std::erase_if(Table.Queue,
                    [&](const auto &Queued) { return Queued.Id == Id; });
    }
  }
  std::erase_if(Table.Brakes, [&](const auto &Brake) {
    return Now.Steady - Brake.LearnedAt >= Options.BrakeTime;
  });
  std::erase_if(Table.RelayedPings, [&](const auto &Ping) {
    return Now.Steady - Ping.SentAt >= Options.ProbePeriod;
  });
}

/** @return the seeds that belong to no live member, and the dead members. */
auto reconnectCandidates(const member_table &Table)
    -> std::vector<exchange_target> {
  auto Candidates = std::vector<exchange_target>{};
  for (const auto &Seed : Table.Seeds) {
    auto IsLive = std::any_of(
        Table.Entries.begin(), Table.Entries.end(), [&](const auto &Item) {
          return Item.second.Member.State != member_state::Dead &&
                 Item.second.Member.Addresses.Inner == Seed;
        });
    if (!IsLive) {
      Candidates.push_back({.Id = {}, .Address = Seed});
    }
  }
  for (const auto &[Id, Entry] : Table.Entries) {
    if (Entry.Member.State == member_state::Dead) {
      Candidates.push_back({.Id = Id, .Address = Entry.Member.Addresses.Inner});
    }
  }
  return Candidates;
}

/** Pings a seed or a dead member, so that a starting node joins and the two
 * sides of a healed partition find each other again. */
void pingSeedOrDeadMember(member_table &Table, instant Now, effects &Effects) {
  if (Now.Steady < Table.NextReconnect) {
    return;
  }
  auto IsAlone = randomPeers(Table, 1, node_id{}).empty();
  const auto &Options = Table.Options;
  Table.NextReconnect =
      Now.Steady + (IsAlone ? Options.ProbePeriod : Options.ReconnectPeriod);
  auto Candidates = reconnectCandidates(Table);
  // A node that knows no live member tries several candidates at once, as some
  // may be down.
  auto Count = std::min<std::size_t>(IsAlone ? 3 : 1, Candidates.size());
  for (auto Index = std::size_t{0}; Index < Count; ++Index) {
    auto Remaining = static_cast<std::uint32_t>(Candidates.size() - Index);
    std::swap(Candidates[Index],
              Candidates[Index + randomBelow(Table.Random, Remaining)]);
    sendPing(Table, Candidates[Index].Id, Candidates[Index].Address, Now,
             Effects);
  }
}

/** Starts a table exchange, alternately with a random member and with one of
 * another region. Each type takes place once per ExchangePeriod. */
void startExchange(member_table &Table, instant Now, effects &Effects) {
  if (Now.Steady < Table.NextExchange) {
    return;
  }
  auto Region = ownEntry(Table).Member.Region;
  auto Peers = randomPeers(Table, Table.Entries.size(), node_id{});
  if (Peers.empty()) {
    return;
  }
  auto Chosen = Peers.front();
  if (Table.ExchangeOtherRegion) {
    auto Other = std::find_if(Peers.begin(), Peers.end(), [&](const auto &Id) {
      return Table.Entries.at(Id).Member.Region != Region;
    });
    Chosen = Other == Peers.end() ? Chosen : *Other;
  }
  Table.ExchangeOtherRegion = !Table.ExchangeOtherRegion;
  // A starting node exchanges more often, as its first peers may be new as well
  // or may not answer.
  auto IsJoining = Now.Steady - Table.StartedAt < Table.Options.StartupGrace;
  Table.NextExchange =
      Now.Steady + Table.Options.ExchangePeriod / (IsJoining ? 10 : 2);
  Effects.Exchanges.push_back(
      {.Id = Chosen, .Address = addressOf(Table, Chosen)});
}

} // namespace

auto onTick(member_table &Table, instant Now) -> effects {
  auto Effects = effects{};
  if (!isParticipating(Table)) {
    return Effects;
  }
  adjustTimersAfterPause(Table, Now);
  checkProbe(Table, Now, Effects);
  expireSuspicions(Table, Now, Effects);
  removeExpired(Table, Now);
  startProbe(Table, Now, Effects);
  verifyDeathReports(Table, Now, Effects);
  pingSeedOrDeadMember(Table, Now, Effects);
  startExchange(Table, Now, Effects);
  flushUrgent(Table, Now, Effects);
  return Effects;
}

} // namespace sycamorelb::membership
