/** @file membership_func.cpp Merging of records and handling of messages. */
#include "sycamorelb/membership/membership_func.h"

#include "membership/gossip.h"

#include <algorithm>

namespace sycamorelb::membership {

namespace {

/** Handles a record of this node that came from elsewhere. */
void mergeOwn(member_table &Table, const member &Claimed, instant Now) {
  auto &Own = ownEntry(Table).Member;
  if (Claimed.Incarnation < Own.Incarnation || !isParticipating(Table)) {
    return;
  }
  if (Claimed.Incarnation == Own.Incarnation) {
    if (Claimed.State <= Own.State && Claimed.Revision <= Own.Revision) {
      return;
    }
  } else if (Claimed.Addresses != Own.Addresses &&
             Now.Steady - Table.StartedAt > Table.Options.JoinGrace) {
    // A newer process took over this id on another host while this one was
    // paused or cut off.
    Table.Superseded = true;
    return;
  }
  // At the same addresses the claim can only stem from an earlier process of
  // this node, when the wall clock was set back between the two.
  Own.Incarnation.Value = Claimed.Incarnation.Value + 1;
  Own.Revision = std::max(Own.Revision, Claimed.Revision);
  enqueueUpdate(Table, Table.Self);
}

/** Adds the record of a member that was not known. */
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

/** Sets the timers of an entry after its record changed from Before. */
void resetTimers(member_entry &Entry, const member &Before, millis DeadFor,
                 instant Now) {
  const auto &After = Entry.Member;
  auto IsNew = After.Incarnation != Before.Incarnation;
  if (IsNew) {
    Entry.Doubted = false;
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
    Entry.Doubted = false;
  }
}

/** Removes the suspicion of a member that was heard. */
void noteSender(member_table &Table, const message &Message, instant Now,
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
        Entry.Doubted = false;
      } else if (Entry.Member.Incarnation < Message.FromIncarnation &&
                 Entry.SuspectedAt) {
        // The member has refuted the suspicion, and its record is under way.
        Entry.SuspectedAt = Now.Steady;
      }
    }
  }
  if (WasDeadOrUnknown && Now.Steady >= Table.NextHealExchange) {
    Table.NextHealExchange = Now.Steady + Table.Options.ContactPeriod;
    Effects.Exchanges.push_back({.Id = Message.From, .Address = FromAddress});
  }
}

/** @return the record that the sender of a ping has to learn at once: its own
 * when it was replaced, or that of this node when the sender has an old one;
 * otherwise nullptr. */
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
    // It displaces the other updates, which are sent again later.
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
      Table.Relayed.begin(), Table.Relayed.end(),
      [&](const auto &Ping) { return Ping.Sequence == Ack.Sequence; });
  if (Found == Table.Relayed.end()) {
    return;
  }
  auto Report = buildMessage(Table, message_kind::Ack, Found->RequesterSequence,
                             node_id{}, Now);
  Effects.Messages.push_back(
      {.Address = Found->RequesterAddress, .Message = std::move(Report)});
  Table.Relayed.erase(Found);
}

void handlePingRequest(member_table &Table, const message &Request,
                       const std::string &FromAddress, instant Now,
                       effects &Effects) {
  // Bounds the memory that requests can take; one node needs three per second.
  constexpr auto MaxRelayed = std::size_t{64};
  if (Table.Relayed.size() >= MaxRelayed || Request.TargetAddress.empty()) {
    return;
  }
  auto Sequence = Table.NextSequence++;
  Table.Relayed.push_back({.Sequence = Sequence,
                           .RequesterAddress = FromAddress,
                           .RequesterSequence = Request.Sequence,
                           .Target = Request.Target,
                           .SentAt = Now.Steady});
  Effects.Messages.push_back(
      {.Address = Request.TargetAddress,
       .Message = buildMessage(Table, message_kind::Ping, Sequence,
                               Request.Target, Now)});
}

/** @return whether a change of the advertised limit is worth distributing. */
auto isLimitChange(std::uint32_t Old, std::uint32_t New) -> bool {
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
               !isLimitChange(Before.Limit, After.Limit);
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
  // Answers to an earlier process at the same address must not match.
  Table.NextSequence = std::uint64_t{Table.Random.Generator()} << 24U;
  Table.StartedAt = Table.NextProbe = Table.NextExchange = Table.NextContact =
      Table.NextHealExchange = Table.NextVerify = Table.UrgentRefilled = Now;
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
    mergeOwn(Table, Update.Member, Now);
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
    Entry.Doubted |= Before.State == member_state::Alive;
    Incoming.State = Before.State;
  }
  Entry.Member = joinMembers(Before, Incoming);
  resetTimers(Entry, Before, Update.DeadFor, Now);
  auto Quiet = Before;
  Quiet.ConfigPosition = Entry.Member.ConfigPosition;
  if (Entry.Member == Quiet) {
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
  noteSender(Table, Message, Now, WasDeadOrUnknown, FromAddress, Effects);
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
    // No later tick will send it, so the rate does not apply.
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
