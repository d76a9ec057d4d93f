/** @file membership_func.cpp Merging of records and handling of messages. */
#include "sycamorelb/membership/membership_func.h"

#include "membership/gossip.h"

#include <algorithm>

namespace sycamorelb::membership {

namespace {

/** Handles a record of this node received from another member: refutes it, or
 * marks this process as superseded. */
void mergeOwnRecord(member_table &Table, const member &Reported, instant Now) {
  auto &Own = ownEntry(Table).Member;
  if (Reported.Incarnation < Own.Incarnation || !isParticipating(Table)) {
    return;
  }
  if (Reported.Incarnation == Own.Incarnation) {
    if (Reported.State <= Own.State && Reported.Revision <= Own.Revision) {
      return;
    }
  } else if (Reported.Addresses != Own.Addresses &&
             Now.Steady - Table.StartedAt > Table.Options.StartupGrace) {
    // A newer process on another host took over this id while this process was
    // paused or partitioned.
    Table.Superseded = true;
    return;
  }
  // A record with a greater incarnation and the same addresses can only stem
  // from an earlier process of this node, if the wall clock was set back
  // between the two.
  Own.Incarnation.Value = Reported.Incarnation.Value + 1;
  Own.Revision = std::max(Own.Revision, Reported.Revision);
  enqueueUpdate(Table, Table.Self);
}

/** Adds the record of an unknown member. */
void addMember(member_table &Table, const member_update &Update, instant Now,
               effects &Effects) {
  auto IsDead = Update.Member.State == member_state::Dead;
  if (Table.Entries.size() >= Table.Options.MaxMembers ||
      (IsDead && Update.DeadFor >= Table.Options.TombstoneTime)) {
    return;
  }
  auto Entry = member_entry{.Member = Update.Member};
  if (IsDead) {
    Entry.DeadAt = Now.Steady - Update.DeadFor;
  }
  if (Update.Member.State == member_state::Suspect) {
    Entry.SuspectedAt = Now.Steady;
  }
  Table.Entries.emplace(Update.Member.Id, Entry);
  enqueueUpdate(Table, Update.Member.Id);
  Effects.Changes.push_back({.Id = Update.Member.Id,
                             .Before = std::nullopt,
                             .After = Update.Member.State,
                             .NewIncarnation = true});
}

/** Updates the timers of an entry after a merge changed its record from
 * Before. */
void resetTimers(member_entry &Entry, const member &Before, millis DeadFor,
                 instant Now) {
  const auto &After = Entry.Member;
  auto IsNew = After.Incarnation != Before.Incarnation;
  if (IsNew) {
    Entry.DeathReported = false;
  }
  if (IsNew || After.State != Before.State) {
    auto IsSuspect = After.State == member_state::Suspect;
    auto Began = IsNew ? Now.Steady : Entry.SuspectedAt.value_or(Now.Steady);
    Entry.SuspectedAt = IsSuspect ? std::optional{Began} : std::nullopt;
  }
  if (After.State == member_state::Dead) {
    auto DiedAt = Now.Steady - DeadFor;
    auto WasDead = !IsNew && Before.State == member_state::Dead;
    Entry.DeadAt = WasDead ? std::min(Entry.DeadAt, DiedAt) : DiedAt;
    Entry.DeathReported = false;
  }
}

/** Updates the entry of a message's sender, which is evidently alive: clears a
 * local suspicion, and requests an exchange if it was dead or unknown. */
void updateSenderEntry(member_table &Table, const message &Message, instant Now,
                       bool WasDeadOrUnknown, const std::string &FromAddress,
                       effects &Effects) {
  auto Found = Table.Entries.find(Message.From);
  if (Found != Table.Entries.end()) {
    auto &Entry = Found->second;
    auto State = Entry.Member.State;
    if (Entry.Member.Incarnation == Message.FromIncarnation) {
      auto &Position = Entry.Member.ConfigPosition;
      Position = std::max(Position, Message.Config.Position);
    }
    if (Entry.Member.Incarnation <= Message.FromIncarnation) {
      if (State == member_state::Alive || State == member_state::Leaving) {
        Entry.SuspectedAt.reset();
        Entry.DeathReported = false;
      } else if (Entry.Member.Incarnation < Message.FromIncarnation &&
                 Entry.SuspectedAt) {
        // The member has refuted the suspicion, but its new record has not
        // arrived yet; restarts the timer.
        Entry.SuspectedAt = Now.Steady;
      }
    }
  }
  if (WasDeadOrUnknown && Now.Steady >= Table.NextHealExchange) {
    Table.NextHealExchange = Now.Steady + Table.Options.ReconnectPeriod;
    Effects.Exchanges.push_back({.Id = Message.From, .Address = FromAddress});
  }
}

/** @return the record that the sender of a ping must receive immediately: the
 * sender's if a newer incarnation is known, or this node's if the sender has an
 * old one; otherwise nullptr. */
auto recordForSender(member_table &Table, const message &Ping)
    -> const member * {
  auto Known = Table.Entries.find(Ping.From);
  if (Known != Table.Entries.end() &&
      Ping.FromIncarnation < Known->second.Member.Incarnation) {
    return &Known->second.Member;
  }
  const auto &Own = ownEntry(Table).Member;
  auto IsStale = [&](const member_update &Update) {
    return Update.Member.Id == Own.Id &&
           Update.Member.Incarnation < Own.Incarnation;
  };
  return std::any_of(Ping.Updates.begin(), Ping.Updates.end(), IsStale)
             ? &Own
             : nullptr;
}

void answerPing(member_table &Table, const message &Ping,
                const std::string &FromAddress, instant Now, effects &Effects) {
  auto Ack =
      buildMessage(Table, message_kind::Ack, Ping.Sequence, Ping.From, Now);
  const auto *Record = recordForSender(Table, Ping);
  if (Record != nullptr && std::none_of(Ack.Updates.begin(), Ack.Updates.end(),
                                        [&](const auto &Update) {
                                          return Update.Member.Id == Record->Id;
                                        })) {
    // It replaces the other updates, which are retransmitted later.
    Ack.Updates = {member_update{.Member = *Record}};
    Ack.Brakes.clear();
  }
  Effects.Messages.push_back(
      {.Address = FromAddress, .Message = std::move(Ack)});
}

void handleAck(member_table &Table, const message &Ack, instant Now,
               effects &Effects) {
  if (Table.Probe && Table.Probe->Sequence == Ack.Sequence) {
    Table.Probe.reset();
  }
  auto Found = std::find_if(
      Table.RelayedPings.begin(), Table.RelayedPings.end(),
      [&](const auto &Ping) { return Ping.Sequence == Ack.Sequence; });
  if (Found == Table.RelayedPings.end()) {
    return;
  }
  auto Report = buildMessage(Table, message_kind::Ack, Found->RequesterSequence,
                             node_id{}, Now);
  Effects.Messages.push_back(
      {.Address = Found->RequesterAddress, .Message = std::move(Report)});
  Table.RelayedPings.erase(Found);
}

void handlePingRequest(member_table &Table, const message &Request,
                       const std::string &FromAddress, instant Now,
                       effects &Effects) {
  // Bounds the memory used by requests; one member sends three per second.
  constexpr auto MaxRelayedPings = std::size_t{64};
  if (Table.RelayedPings.size() >= MaxRelayedPings ||
      Request.TargetAddress.empty()) {
    return;
  }
  auto Sequence = Table.NextSequence++;
  Table.RelayedPings.push_back({.Sequence = Sequence,
                                .RequesterAddress = FromAddress,
                                .RequesterSequence = Request.Sequence,
                                .Target = Request.Target,
                                .SentAt = Now.Steady});
  Effects.Messages.push_back(
      {.Address = Request.TargetAddress,
       .Message = buildMessage(Table, message_kind::Ping, Sequence,
                               Request.Target, Now)});
}

/** @return whether a changed limit must be distributed: it differs by a factor
 * of two or more. */
auto isMaterialLimitChange(std::uint32_t Old, std::uint32_t New) -> bool {
  auto [Less, More] = std::minmax(Old, New);
  return More != Less && std::uint64_t{More} >= 2 * std::uint64_t{Less};
}

auto isMaterialChange(const std::vector<upstream_info> &Old,
                      const std::vector<upstream_info> &New) -> bool {
  return !std::equal(
      Old.begin(), Old.end(), New.begin(), New.end(),
      [](const upstream_info &Before, const upstream_info &After) {
        auto Advertised = After;
        Advertised.Limit = Before.Limit;
        Advertised.InFlight = Before.InFlight;
        return Advertised == Before &&
               !isMaterialLimitChange(Before.Limit, After.Limit);
      });
}

} // namespace

auto makeTable(const member &Self, const std::vector<std::string> &Seeds,
               const membership_options &Options, std::uint64_t Seed,
               steady_time Now) -> member_table {
  auto Table = member_table{.Self = Self.Id, .Options = Options};
  Table.Random = random_source{Seed};
  for (const auto &Address : Seeds) {
    if (Address != Self.Addresses.Inner) {
      Table.Seeds.push_back(Address);
    }
  }
  Table.Entries[Self.Id].Member = Self;
  // Starts at a random number, so that Acks meant for an earlier process at the
  // same address do not match.
  Table.NextSequence = std::uint64_t{Table.Random.Generator()} << 24U;
  Table.StartedAt = Table.NextProbe = Table.NextExchange = Table.NextReconnect =
      Table.NextHealExchange = Table.NextDeathCheck = Table.UrgentRefilled =
          Now;
  Table.UrgentTokens = Options.UrgentBurst;
  enqueueUpdate(Table, Self.Id);
  return Table;
}

void mergeMember(member_table &Table, const member_update &Update, instant Now,
                 effects &Effects) {
  if (!isValidMember(Update.Member)) {
    return;
  }
  if (Update.Member.Id == Table.Self) {
    mergeOwnRecord(Table, Update.Member, Now);
    return;
  }
  auto Found = Table.Entries.find(Update.Member.Id);
  if (Found == Table.Entries.end()) {
    addMember(Table, Update, Now, Effects);
    return;
  }
  auto &Entry = Found->second;
  auto Before = Entry.Member;
  auto Incoming = Update.Member;
  if (Incoming.Incarnation == Before.Incarnation &&
      Incoming.State == member_state::Dead &&
      Before.State < member_state::Leaving) {
    Entry.DeathReported |= Before.State == member_state::Alive;
    Incoming.State = Before.State;
  }
  Entry.Member = mergeRecords(Before, Incoming);
  resetTimers(Entry, Before, Update.DeadFor, Now);
  auto Unchanged = Before;
  Unchanged.ConfigPosition = Entry.Member.ConfigPosition;
  if (Entry.Member == Unchanged) {
    return;
  }
  enqueueUpdate(Table, Update.Member.Id);
  Effects.Changes.push_back(
      {.Id = Update.Member.Id,
       .Before = Before.State,
       .After = Entry.Member.State,
       .NewIncarnation = Entry.Member.Incarnation != Before.Incarnation});
}

auto onMessage(member_table &Table, const message &Message,
               const std::string &FromAddress, instant Now) -> effects {
  auto Effects = effects{};
  if (!isParticipating(Table) || Message.From == Table.Self) {
    return Effects;
  }
  auto Known = Table.Entries.find(Message.From);
  auto WasDeadOrUnknown = Known == Table.Entries.end() ||
                          Known->second.Member.State == member_state::Dead;
  for (const auto &Update : Message.Updates) {
    mergeMember(Table, Update, Now, Effects);
  }
  for (const auto &Brake : Message.Brakes) {
    mergeBrake(Table, Brake, Now, Effects);
  }
  updateSenderEntry(Table, Message, Now, WasDeadOrUnknown, FromAddress,
                    Effects);
  if (!isParticipating(Table)) {
    return Effects;
  }
  switch (Message.Kind) {
  case message_kind::Ping:
    answerPing(Table, Message, FromAddress, Now, Effects);
    break;
  case message_kind::Ack:
    handleAck(Table, Message, Now, Effects);
    break;
  case message_kind::PingRequest:
    handlePingRequest(Table, Message, FromAddress, Now, Effects);
    break;
  case message_kind::Gossip:
    break;
  }
  flushUrgent(Table, Now, Effects);
  return Effects;
}

auto raiseBrake(member_table &Table, const brake_notice &Brake, instant Now)
    -> effects {
  auto Effects = effects{};
  mergeBrake(Table, Brake, Now, Effects);
  flushUrgent(Table, Now, Effects);
  return Effects;
}

auto setOwnUpstreams(member_table &Table, std::vector<upstream_info> Upstreams)
    -> result<bool> {
  auto &Own = ownEntry(Table).Member;
  if (!isMaterialChange(Own.Upstreams, Upstreams)) {
    return false;
  }
  auto Changed = Own;
  Changed.Upstreams = std::move(Upstreams);
  if (!isValidMember(Changed)) {
    return error{.Code = error_code::InvalidArgument,
                 .Step = "set own upstreams",
                 .Peer = {},
                 .Message = "the record exceeds a limit of one datagram"};
  }
  ++Changed.Revision;
  Own = std::move(Changed);
  enqueueUpdate(Table, Table.Self);
  return true;
}

void setOwnConfig(member_table &Table, config_mark Config) {
  Table.Config = Config;
  ownEntry(Table).Member.ConfigPosition = Config.Position;
}

auto beginLeaving(member_table &Table, instant Now) -> effects {
  auto Effects = effects{};
  auto &Own = ownEntry(Table).Member;
  if (Own.State < member_state::Leaving) {
    Own.State = member_state::Leaving;
    enqueueUpdate(Table, Table.Self);
    flushUrgent(Table, Now, Effects);
  }
  return Effects;
}

auto finishLeaving(member_table &Table, instant Now) -> effects {
  auto Effects = effects{};
  auto &Own = ownEntry(Table);
  if (Own.Member.State != member_state::Dead) {
    Own.Member.State = member_state::Dead;
    Own.DeadAt = Now.Steady;
    enqueueUpdate(Table, Table.Self);
    // No later tick can send it, so it is exempt from the rate limit.
    Table.UrgentTokens = std::max(
        Table.UrgentTokens, static_cast<double>(Table.Options.UrgentFanout));
    flushUrgent(Table, Now, Effects);
  }
  return Effects;
}

auto liveMembers(const member_table &Table) -> std::vector<member> {
  auto Members = std::vector<member>{};
  for (const auto &[Id, Entry] : Table.Entries) {
    if (Entry.Member.State != member_state::Dead) {
      Members.push_back(Entry.Member);
    }
  }
  return Members;
}

auto findMember(const member_table &Table, const node_id &Id)
    -> const member * {
  auto Found = Table.Entries.find(Id);
  return Found == Table.Entries.end() ? nullptr : &Found->second.Member;
}

} // namespace sycamorelb::membership
