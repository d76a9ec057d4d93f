/** @file join.cpp Merging of member records, size bounds and field limits. */
#include "sycamorelb/membership/membership_func.h"

#include <algorithm>
#include <tuple>

namespace sycamorelb::membership {

namespace {

auto upstreamKey(const upstream_info &Info) {
  return std::tie(Info.Service, Info.Version, Info.Address, Info.Slots,
                  Info.Connections, Info.State, Info.Limit, Info.InFlight);
}

/** @return whether the data of Left orders before that of Right. The order is
 * total, so that ties between records of the same revision are resolved alike
 * on all nodes. */
auto isDataOrderedBefore(const member &Left, const member &Right) -> bool {
  auto Key = [](const member &Member) {
    return std::tie(Member.Revision, Member.Addresses.Inner,
                    Member.Addresses.Peer, Member.Addresses.Caller,
                    Member.Addresses.Admin, Member.Zone, Member.Region);
  };
  if (Key(Left) != Key(Right)) {
    return Key(Left) < Key(Right);
  }
  return std::lexicographical_compare(
      Left.Upstreams.begin(), Left.Upstreams.end(), Right.Upstreams.begin(),
      Right.Upstreams.end(), [](const auto &One, const auto &Other) {
        return upstreamKey(One) < upstreamKey(Other);
      });
}

/** Maximum size of a word in Cap'n Proto's packed encoding: a tag, eight bytes,
 * and the count that follows a word without zero bytes. */
constexpr std::size_t PackedWordBytes = 10;
/** Maximum size of a packed pointer: a tag, and two bytes each for offset and
 * length, as pointers do not leave the datagram. */
constexpr std::size_t PackedPointerBytes = 5;

/** @return the maximum size of a packed text with its pointer; an empty text is
 * not encoded. */
auto packedTextBytes(const std::string &Text) -> std::size_t {
  auto Length = Text.size();
  return Length == 0 ? 2 : Length + 2 * (Length / 8) + 2 + PackedPointerBytes;
}

/** @return the number of bytes of Value that are not zero. */
auto nonZeroBytes(std::uint64_t Value) -> std::size_t {
  auto Bytes = std::size_t{0};
  for (; Value != 0; Value >>= 8U) {
    Bytes += (Value & 0xffU) != 0 ? 1 : 0;
  }
  return Bytes;
}

/** Maximum overhead of a packed word over its nonzero bytes. */
constexpr std::size_t PackedTagBytes = 2;

auto isWithinLimit(const std::string &Text, std::size_t Limit) -> bool {
  return Text.size() <= Limit;
}

/** Bound that leaves room to increment an incarnation without overflow. */
constexpr std::uint64_t MaxIncarnation = std::uint64_t{1} << 62U;

} // namespace

auto mergeRecords(const member &Left, const member &Right) -> member {
  if (Left.Incarnation != Right.Incarnation) {
    return Left.Incarnation < Right.Incarnation ? Right : Left;
  }
  auto Merged = isDataOrderedBefore(Left, Right) ? Right : Left;
  Merged.State = std::max(Left.State, Right.State);
  Merged.ConfigPosition = std::max(Left.ConfigPosition, Right.ConfigPosition);
  return Merged;
}

auto estimateBytes(const member_update &Update) -> std::size_t {
  const auto &Member = Update.Member;
  auto Bytes = 4 * PackedWordBytes + 2 * PackedPointerBytes +
               packedTextBytes(Member.Id.Value) +
               packedTextBytes(Member.Addresses.Inner) +
               packedTextBytes(Member.Addresses.Peer) +
               packedTextBytes(Member.Addresses.Caller) +
               packedTextBytes(Member.Addresses.Admin) +
               packedTextBytes(Member.Zone.Value) +
               packedTextBytes(Member.Region.Value);
  for (const auto &Upstream : Member.Upstreams) {
    Bytes += 3 * PackedTagBytes + nonZeroBytes(Upstream.Slots) +
             nonZeroBytes(Upstream.Connections) + nonZeroBytes(Upstream.Limit) +
             nonZeroBytes(Upstream.InFlight) + 1 +
             packedTextBytes(Upstream.Service.Value) +
             packedTextBytes(Upstream.Version.Value) +
             packedTextBytes(Upstream.Address);
  }
  return Bytes;
}

auto estimateBytes(const brake_notice &Brake) -> std::size_t {
  return PackedWordBytes + packedTextBytes(Brake.Move.Value) +
         packedTextBytes(Brake.Service.Value) +
         packedTextBytes(Brake.Version.Value) + packedTextBytes(Brake.Reason);
}

auto estimateBaseBytes(const message &Message) -> std::size_t {
  // 21 bytes of authentication; the segment table; the envelope with a wall
  // time of 6 bytes (8 bytes reserved) and the type of the body; the message
  // with its numbers; two lists with a tag each.
  return 21 + PackedWordBytes + 2 * PackedWordBytes + 5 * PackedTagBytes + 1 +
         nonZeroBytes(Message.Sequence) +
         nonZeroBytes(Message.FromIncarnation.Value) +
         nonZeroBytes(Message.Config.Position.Value) +
         nonZeroBytes(Message.Config.ChainHash) + 6 * PackedPointerBytes +
         packedTextBytes(Message.From.Value) +
         packedTextBytes(Message.Target.Value) +
         packedTextBytes(Message.TargetAddress);
}

auto isValidMember(const member &Member) -> bool {
  const auto &Addresses = Member.Addresses;
  auto IsValidUpstream = [](const upstream_info &Upstream) {
    return isWithinLimit(Upstream.Service.Value, MaxIdBytes) &&
           isWithinLimit(Upstream.Version.Value, MaxIdBytes) &&
           isWithinLimit(Upstream.Address, MaxAddressBytes) &&
           Upstream.State <= upstream_state::Draining;
  };
  return !Member.Id.Value.empty() &&
         isWithinLimit(Member.Id.Value, MaxIdBytes) &&
         isWithinLimit(Member.Zone.Value, MaxIdBytes) &&
         isWithinLimit(Member.Region.Value, MaxIdBytes) &&
         isWithinLimit(Addresses.Inner, MaxAddressBytes) &&
         isWithinLimit(Addresses.Peer, MaxAddressBytes) &&
         isWithinLimit(Addresses.Caller, MaxAddressBytes) &&
         isWithinLimit(Addresses.Admin, MaxAddressBytes) &&
         Member.State <= member_state::Dead &&
         Member.Incarnation.Value < MaxIncarnation &&
         Member.Upstreams.size() <= MaxUpstreams &&
         std::all_of(Member.Upstreams.begin(), Member.Upstreams.end(),
                     IsValidUpstream) &&
         estimateBytes(member_update{.Member = Member}) <= MaxRecordBytes;
}

auto isValidBrake(const brake_notice &Brake) -> bool {
  return isWithinLimit(Brake.Move.Value, MaxIdBytes) &&
         isWithinLimit(Brake.Service.Value, MaxIdBytes) &&
         isWithinLimit(Brake.Version.Value, MaxIdBytes) &&
         isWithinLimit(Brake.Reason, MaxReasonBytes);
}

} // namespace sycamorelb::membership
