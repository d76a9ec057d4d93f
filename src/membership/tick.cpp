/** @file tick.cpp Timers: probes, suspicions, contacts, exchanges, expiry. */
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

/** Stops the timers for the time in which this node did not run, so that a
 * paused node declares nobody dead from old timers; repairs timers after a
 * step of the clock. */
void skipPause(member_table &Table, instant Now) {
  auto Gap = Now.Steady - Table.LastTick.value_or(Now.Steady);
  Table.LastTick = Now.Steady;
  if (Gap >= micros{0} && Gap <= Table.Options.MaxTickGap) {
    return;
  }
  Table.Probe.reset();
  Table.Relayed.clear();
  Table.UrgentRefilled = std::min(Table.UrgentRefilled, Now.Steady);
  auto Cap = [&](steady_time &Due, millis Period) {
    Due = std::min(Due, Now.Steady + Period);
  };
  Cap(Table.NextProbe, Table.Options.ProbePeriod);
  Cap(Table.NextExchange, Table.Options.ExchangePeriod);
  Cap(Table.NextContact, Table.Options.ContactPeriod);
  Cap(Table.NextHealExchange, Table.Options.ContactPeriod);
  Cap(Table.NextVerify, Table.Options.VerifyPeriod);
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

/** Begins the local suspicion of a member that answered no probe. */
void suspect(member_table &Table, const node_id &Id, instant Now,
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
  // The member itself hears of it first, because only it can refute.
  sendPing(Table, Id, addressOf(Table, Id), Now, Effects);
}

void askRelays(member_table &Table, pending_probe &Probe, instant Now,
               effects &Effects) {
  Probe.RelaysAsked = true;
  for (const auto &Relay :
       randomPeers(Table, Table.Options.Relays, Probe.Target)) {
    auto Request = buildMessage(Table, message_kind::PingRequest,
                                Probe.Sequence, Relay, Now);
    Request.Target = Probe.Target;
    Request.TargetAddress = addressOf(Table, Probe.Target);
    Effects.Messages.push_back(
        {.Address = addressOf(Table, Relay), .Message = std::move(Request)});
  }
}

/** Advances the probe of this period. */
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
    suspect(Table, Target, Now, Effects);
  } else if (Elapsed >= Table.Options.DirectTimeout && !Probe.RelaysAsked) {
    askRelays(Table, Probe, Now, Effects);
  }
}

/** @return the next target of a round; a new shuffled round starts when it is
 * used up. Members that joined meanwhile wait for the next round. */
auto nextOfRound(member_table &Table, bool OwnZone) -> std::optional<node_id> {
  auto &Round = OwnZone ? Table.OwnZoneRound : Table.OtherRound;
  auto Zone = ownEntry(Table).Member.Zone;
  for (auto Refilled = false;;) {
    while (!Round.empty()) {
      auto Id = Round.back();
      Round.pop_back();
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
        Round.push_back(std::move(Id));
      }
    }
  }
}

/** Starts the probe of the next period. Own zone and other zones take turns,
 * so that each zone is observed from inside and from outside. */
void startProbe(member_table &Table, instant Now, effects &Effects) {
  if (Now.Steady < Table.NextProbe || Table.Probe) {
    return;
  }
  Table.NextProbe = std::max(Table.NextProbe + Table.Options.ProbePeriod,
                             Now.Steady + Table.Options.ProbePeriod / 2);
  Table.ProbeOwnZone = !Table.ProbeOwnZone;
  auto Target = nextOfRound(Table, Table.ProbeOwnZone);
  if (!Target) {
    Target = nextOfRound(Table, !Table.ProbeOwnZone);
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

/** Pings a member that others claim to be dead; without an answer it is
 * declared dead after the suspicion time. */
void verifyClaims(member_table &Table, instant Now, effects &Effects) {
  if (Now.Steady < Table.NextVerify) {
    return;
  }
  for (auto &[Id, Entry] : Table.Entries) {
    if (!Entry.Doubted) {
      continue;
    }
    Entry.Doubted = false;
    if (Entry.Member.State != member_state::Alive) {
      continue;
    }
    Entry.SuspectedAt = Entry.SuspectedAt.value_or(Now.Steady);
    auto Sequence = Table.NextSequence++;
    auto Ping = buildMessage(Table, message_kind::Ping, Sequence, Id, Now);
    // The claim goes with the ping, so that the member can refute it.
    auto Claim = member_update{.Member = Entry.Member};
    Claim.Member.State = member_state::Dead;
    Ping.Updates = {Claim};
    Effects.Messages.push_back(
        {.Address = Entry.Member.Addresses.Inner, .Message = std::move(Ping)});
    Table.NextVerify = Now.Steady + Table.Options.VerifyPeriod;
    return;
  }
}

/** Declares members dead whose suspicion lasted long enough. */
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

/** Forgets tombstones that are too old or too many, old brakes, and relayed
 * pings that were not answered. */
void forgetOld(member_table &Table, instant Now) {
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
  std::erase_if(Table.Relayed, [&](const auto &Ping) {
    return Now.Steady - Ping.SentAt >= Options.ProbePeriod;
  });
}

/** @return addresses of seeds that are not live members, and of dead ones. */
auto contactCandidates(const member_table &Table)
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

/** Pings a seed or a dead member, so that a node can join and so that two
 * sides that declared each other dead meet again. */
void makeContact(member_table &Table, instant Now, effects &Effects) {
  if (Now.Steady < Table.NextContact) {
    return;
  }
  auto IsAlone = randomPeers(Table, 1, node_id{}).empty();
  const auto &Options = Table.Options;
  Table.NextContact =
      Now.Steady + (IsAlone ? Options.ProbePeriod : Options.ContactPeriod);
  auto Candidates = contactCandidates(Table);
  // A node without members tries several seeds, as some may be gone.
  auto Count = std::min<std::size_t>(IsAlone ? 3 : 1, Candidates.size());
  for (auto Index = std::size_t{0}; Index < Count; ++Index) {
    auto Rest = static_cast<std::uint32_t>(Candidates.size() - Index);
    std::swap(Candidates[Index],
              Candidates[Index + randomBelow(Table.Random, Rest)]);
    sendPing(Table, Candidates[Index].Id, Candidates[Index].Address, Now,
             Effects);
  }
}

/** Starts an exchange with a random member, or with one of another region,
 * in turns. Each type comes once per period. */
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
  // A node that has just joined asks more often, as a first peer may be new
  // as well or may not answer.
  auto IsJoining = Now.Steady - Table.StartedAt < Table.Options.JoinGrace;
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
  skipPause(Table, Now);
  checkProbe(Table, Now, Effects);
  expireSuspicions(Table, Now, Effects);
  forgetOld(Table, Now);
  startProbe(Table, Now, Effects);
  verifyClaims(Table, Now, Effects);
  makeContact(Table, Now, Effects);
  startExchange(Table, Now, Effects);
  flushUrgent(Table, Now, Effects);
  return Effects;
}

} // namespace sycamorelb::membership
