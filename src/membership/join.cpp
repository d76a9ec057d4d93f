/** @file join.cpp Join of member records, and limits of their fields. */
#include "sycamorelb/membership/membership_func.h"

#include <algorithm>
#include <tuple>

namespace sycamorelb::membership {

namespace {

auto upstreamKey(const upstream_info &Info) {
  return std::tie(Info.Service, Info.Version, Info.Address, Info.Slots,
                  Info.Connections, Info.State, Info.Limit, Info.InFlight);
}

/** @return whether the data of Left orders before that of Right; breaks ties
 * between records that claim the same revision. */
auto isDataLess(const member &Left, const member &Right) -> bool {
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

/** Size of a packed word at most: a tag, eight bytes, and the count that
 * follows a word without zero bytes. */
constexpr std::size_t WordBytes = 10;
/** Size of a packed pointer at most: a tag, and two bytes each for offset and
 * length, as targets lie within one datagram. */
constexpr std::size_t PointerBytes = 5;

/** @return the size of a packed text at most, with its pointer; an empty text
 * is not written. */
auto textBytes(const std::string &Text) -> std::size_t {
  auto Length = Text.size();
  return Length == 0 ? 2 : Length + 2 * (Length / 8) + 2 + PointerBytes;
}

/** @return the number of bytes of Value that are not zero. */
auto numberBytes(std::uint64_t Value) -> std::size_t {
  auto Bytes = std::size_t{0};
  for (; Value != 0; Value >>= 8U) {
    Bytes += (Value & 0xffU) != 0 ? 1 : 0;
  }
  return Bytes;
}

/** Size of a packed word without its bytes that are not zero, at most. */
constexpr std::size_t TagBytes = 2;

auto isShort(const std::string &Text, std::size_t Limit) -> bool {
  return Text.size() <= Limit;
}

/** Greater incarnations could not be outbid without an overflow. */
constexpr std::uint64_t MaxIncarnation = std::uint64_t{1} << 62U;

} // namespace

auto joinMembers(const member &Left, const member &Right) -> member {
  if (Left.Incarnation != Right.Incarnation) {
    return Left.Incarnation < Right.Incarnation ? Right : Left;
  }
  auto Joined = isDataLess(Left, Right) ? Right : Left;
  Joined.State = std::max(Left.State, Right.State);
  Joined.ConfigPosition = std::max(Left.ConfigPosition, Right.ConfigPosition);
  return Joined;
}

auto estimateBytes(const member_update &Update) -> std::size_t {
  const auto &Member = Update.Member;
  auto Bytes =
      4 * WordBytes + 2 * PointerBytes + textBytes(Member.Id.Value) +
      textBytes(Member.Addresses.Inner) + textBytes(Member.Addresses.Peer) +
      textBytes(Member.Addresses.Caller) + textBytes(Member.Addresses.Admin) +
      textBytes(Member.Zone.Value) + textBytes(Member.Region.Value);
  for (const auto &Upstream : Member.Upstreams) {
    Bytes += 3 * TagBytes + numberBytes(Upstream.Slots) +
             numberBytes(Upstream.Connections) + numberBytes(Upstream.Limit) +
             numberBytes(Upstream.InFlight) + 1 +
             textBytes(Upstream.Service.Value) +
             textBytes(Upstream.Version.Value) + textBytes(Upstream.Address);
  }
  return Bytes;
}

auto estimateBytes(const brake_notice &Brake) -> std::size_t {
  return WordBytes + textBytes(Brake.Move.Value) +
         textBytes(Brake.Service.Value) + textBytes(Brake.Version.Value) +
         textBytes(Brake.Reason);
}

auto estimateBaseBytes(const message &Message) -> std::size_t {
  // 21 bytes of authentication; the segment table; the envelope with a wall
  // time of 6 bytes and the type of the body, but 8 bytes to be safe; the
  // message with its numbers; two lists with a tag each.
  return 21 + WordBytes + 2 * WordBytes + 5 * TagBytes + 1 +
         numberBytes(Message.Sequence) +
         numberBytes(Message.FromIncarnation.Value) +
         numberBytes(Message.Config.Position.Value) +
         numberBytes(Message.Config.ChainHash) + 6 * PointerBytes +
         textBytes(Message.From.Value) + textBytes(Message.Target.Value) +
         textBytes(Message.TargetAddress);
}

auto isValidMember(const member &Member) -> bool {
  const auto &Addresses = Member.Addresses;
  auto IsValidUpstream = [](const upstream_info &Upstream) {
    return isShort(Upstream.Service.Value, MaxIdBytes) &&
           isShort(Upstream.Version.Value, MaxIdBytes) &&
           isShort(Upstream.Address, MaxAddressBytes) &&
           Upstream.State <= upstream_state::Draining;
  };
  return !Member.Id.Value.empty() && isShort(Member.Id.Value, MaxIdBytes) &&
         isShort(Member.Zone.Value, MaxIdBytes) &&
         isShort(Member.Region.Value, MaxIdBytes) &&
         isShort(Addresses.Inner, MaxAddressBytes) &&
         isShort(Addresses.Peer, MaxAddressBytes) &&
         isShort(Addresses.Caller, MaxAddressBytes) &&
         isShort(Addresses.Admin, MaxAddressBytes) &&
         Member.State <= member_state::Dead &&
         Member.Incarnation.Value < MaxIncarnation &&
         Member.Upstreams.size() <= MaxUpstreams &&
         std::all_of(Member.Upstreams.begin(), Member.Upstreams.end(),
                     IsValidUpstream) &&
         estimateBytes(member_update{.Member = Member}) <= MaxRecordBytes;
}

auto isValidBrake(const brake_notice &Brake) -> bool {
  return isShort(Brake.Move.Value, MaxIdBytes) &&
         isShort(Brake.Service.Value, MaxIdBytes) &&
         isShort(Brake.Version.Value, MaxIdBytes) &&
         isShort(Brake.Reason, MaxReasonBytes);
}

} // namespace sycamorelb::membership
