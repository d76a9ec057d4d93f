/** @file gossip.cpp Update queue, flooding, and assembly of messages that
 * fit into one datagram. */
#include "membership/gossip.h"

#include <algorithm>
#include <bit>

namespace sycamorelb::membership {

namespace {

/** Adds the record of Id if it fits into BytesLeft.
 * @return whether it was added. */
auto addUpdate(const member_table &Table, const node_id &Id, instant Now,
               std::size_t &BytesLeft, message &Message) -> bool {
  auto Found = Table.Entries.find(Id);
  if (Found == Table.Entries.end()) {
    return false;
  }
  const auto &Entry = Found->second;
  auto Update = member_update{.Member = Entry.Member};
  if (Entry.Member.State == member_state::Dead) {
    auto Age = std::chrono::duration_cast<millis>(Now.Steady - Entry.DeadAt);
    Update.DeadFor = std::max(Age, millis{0});
  }
  auto Bytes = estimateBytes(Update);
  if (Bytes > BytesLeft) {
    return false;
  }
  BytesLeft -= Bytes;
  Message.Updates.push_back(std::move(Update));
  return true;
}

/** Adds the record of the receiver if it is suspect or dead here, so that the
 * receiver can refute it or learn that it was superseded. */
auto addReceiverRecord(const member_table &Table, const node_id &Receiver,
                       instant Now, std::size_t &BytesLeft, message &Message)
    -> bool {
  auto Found = Table.Entries.find(Receiver);
  if (Found == Table.Entries.end()) {
    return false;
  }
  auto State = Found->second.Member.State;
  return (State == member_state::Suspect || State == member_state::Dead) &&
         addUpdate(Table, Receiver, Now, BytesLeft, Message);
}

void addBrakes(member_table &Table, std::size_t &BytesLeft, message &Message) {
  auto Limit = retransmitLimit(Table);
  for (auto &Brake : Table.Brakes) {
    auto Bytes = estimateBytes(Brake.Notice);
    if (Brake.SendCount < Limit && Bytes <= BytesLeft) {
      BytesLeft -= Bytes;
      ++Brake.SendCount;
      Message.Brakes.push_back(Brake.Notice);
    }
  }
}

void addQueued(member_table &Table, const node_id &AlreadyAdded, instant Now,
               std::size_t &BytesLeft, message &Message) {
  std::stable_sort(Table.Queue.begin(), Table.Queue.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.SendCount < Right.SendCount;
                   });
  for (auto &Queued : Table.Queue) {
    if (Queued.Id != AlreadyAdded &&
        addUpdate(Table, Queued.Id, Now, BytesLeft, Message)) {
      ++Queued.SendCount;
    }
  }
  std::erase_if(Table.Queue,
                [Limit = retransmitLimit(Table)](const auto &Queued) {
                  return Queued.SendCount >= Limit;
                });
}

/** Refills the token bucket.
 * @return the number of urgent datagrams that may be sent now. */
auto refillUrgentTokens(member_table &Table, steady_time Now) -> std::size_t {
  auto Elapsed = std::chrono::duration<double>(Now - Table.UrgentRefilled);
  Table.UrgentRefilled = Now;
  auto Added = std::max(0.0, Elapsed.count()) * Table.Options.UrgentPerSecond;
  Table.UrgentTokens =
      std::min(Table.UrgentTokens + Added, Table.Options.UrgentBurst);
  return static_cast<std::size_t>(Table.UrgentTokens);
}

auto hasUrgent(const member_table &Table) -> bool {
  auto IsUrgent = [](const auto &Item) { return Item.FloodsLeft > 0; };
  return std::any_of(Table.Queue.begin(), Table.Queue.end(), IsUrgent) ||
         std::any_of(Table.Brakes.begin(), Table.Brakes.end(), IsUrgent);
}

/** Decrements the pending floods of all updates and brakes in Message. */
void decrementFloodsLeft(member_table &Table, const message &Message) {
  for (auto &Queued : Table.Queue) {
    auto IsSent = std::any_of(
        Message.Updates.begin(), Message.Updates.end(),
        [&](const auto &Update) { return Update.Member.Id == Queued.Id; });
    Queued.FloodsLeft -= IsSent && Queued.FloodsLeft > 0 ? 1 : 0;
  }
  for (auto &Brake : Table.Brakes) {
    auto IsSent = std::find(Message.Brakes.begin(), Message.Brakes.end(),
                            Brake.Notice) != Message.Brakes.end();
    Brake.FloodsLeft -= IsSent && Brake.FloodsLeft > 0 ? 1 : 0;
  }
}

} // namespace

auto ownEntry(member_table &Table) -> member_entry & {
  return Table.Entries.at(Table.Self);
}

auto isParticipating(const member_table &Table) -> bool {
  return !Table.Superseded &&
         Table.Entries.at(Table.Self).Member.State != member_state::Dead;
}

auto retransmitLimit(const member_table &Table) -> std::uint32_t {
  auto Live = std::count_if(
      Table.Entries.begin(), Table.Entries.end(), [](const auto &Item) {
        return Item.second.Member.State != member_state::Dead;
      });
  return Table.Options.RetransmitFactor *
         static_cast<std::uint32_t>(
             std::bit_width(static_cast<std::uint64_t>(Live)));
}

void enqueueUpdate(member_table &Table, const node_id &Id) {
  auto Found =
      std::find_if(Table.Queue.begin(), Table.Queue.end(),
                   [&](const auto &Queued) { return Queued.Id == Id; });
  if (Found != Table.Queue.end()) {
    Table.Queue.erase(Found);
  }
  Table.Queue.insert(Table.Queue.begin(),
                     queued_update{.Id = Id, .FloodsLeft = UrgentFloods});
}

auto buildMessage(member_table &Table, message_kind Kind,
                  std::uint64_t Sequence, const node_id &Receiver, instant Now)
    -> message {
  auto Message = message{.Kind = Kind,
                         .Sequence = Sequence,
                         .From = Table.Self,
                         .FromIncarnation = ownEntry(Table).Member.Incarnation,
                         .Config = Table.Config};
  // Reserves space for the target, which the caller sets afterwards.
  auto Target = Kind == message_kind::PingRequest
                    ? 2 * (MaxIdBytes + MaxAddressBytes)
                    : 0;
  auto Base = estimateBaseBytes(Message) + Target;
  auto BytesLeft =
      Table.Options.DatagramBytes - std::min(Base, Table.Options.DatagramBytes);
  auto Added = addReceiverRecord(Table, Receiver, Now, BytesLeft, Message);
  addBrakes(Table, BytesLeft, Message);
  addQueued(Table, Added ? Receiver : node_id{}, Now, BytesLeft, Message);
  return Message;
}

auto randomPeers(member_table &Table, std::size_t Count,
                 const node_id &Excluded) -> std::vector<node_id> {
  auto Peers = std::vector<node_id>{};
  for (const auto &[Id, Entry] : Table.Entries) {
    if (Id != Table.Self && Id != Excluded &&
        Entry.Member.State != member_state::Dead) {
      Peers.push_back(Id);
    }
  }
  Count = std::min(Count, Peers.size());
  for (auto Index = std::size_t{0}; Index < Count; ++Index) {
    auto Remaining = static_cast<std::uint32_t>(Peers.size() - Index);
    std::swap(Peers[Index],
              Peers[Index + randomBelow(Table.Random, Remaining)]);
  }
  Peers.resize(Count);
  return Peers;
}

void flushUrgent(member_table &Table, instant Now, effects &Effects) {
  auto Allowed = refillUrgentTokens(Table, Now.Steady);
  if (Allowed == 0 || !hasUrgent(Table)) {
    return;
  }
  auto Count = std::min(Allowed, Table.Options.UrgentFanout);
  auto FloodedMessage = message{};
  for (const auto &Peer : randomPeers(Table, Count, node_id{})) {
    auto Message = buildMessage(Table, message_kind::Gossip, 0, Peer, Now);
    Table.UrgentTokens -= 1;
    FloodedMessage = Message;
    Effects.Messages.push_back(
        {.Address = Table.Entries.at(Peer).Member.Addresses.Inner,
         .Message = std::move(Message)});
  }
  decrementFloodsLeft(Table, FloodedMessage);
}

void mergeBrake(member_table &Table, const brake_notice &Brake, instant Now,
                effects &Effects) {
  auto IsSame = [&](const brake_entry &Entry) {
    return Entry.Notice.Move == Brake.Move &&
           Entry.Notice.Service == Brake.Service &&
           Entry.Notice.Version == Brake.Version;
  };
  auto Age = Now.Wall.Value - Brake.IssuedAt.Value;
  auto MaxAge = Table.Options.MaxBrakeAge.count();
  if (!isValidBrake(Brake) || Age > MaxAge || Age < -MaxAge / 4 ||
      std::any_of(Table.Brakes.begin(), Table.Brakes.end(), IsSame)) {
    return;
  }
  if (Table.Brakes.size() >= Table.Options.MaxBrakes) {
    Table.Brakes.erase(Table.Brakes.begin());
  }
  Table.Brakes.push_back({.Notice = Brake, .LearnedAt = Now.Steady});
  Effects.NewBrakes.push_back(Brake);
}

} // namespace sycamorelb::membership
