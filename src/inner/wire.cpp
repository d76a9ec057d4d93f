/** @file wire.cpp Conversion between plain structs and Cap'n Proto messages. */
#include "inner/wire.h"

#include "sycamorelb/membership/membership_func.h"

#include <algorithm>

namespace sycamorelb::inner {

using namespace membership;

namespace {

/** Sets a text field. An empty text is the default; leaving it out saves
 * bytes. */
template <class Builder>
void setText(Builder &Out, void (Builder::*Set)(capnp::Text::Reader),
             const std::string &Text) {
  if (!Text.empty()) {
    (Out.*Set)(asText(Text));
  }
}

void writeUpstream(wire::Upstream::Builder Out, const upstream_info &Upstream) {
  setText(Out, &wire::Upstream::Builder::setService, Upstream.Service.Value);
  setText(Out, &wire::Upstream::Builder::setVersion, Upstream.Version.Value);
  setText(Out, &wire::Upstream::Builder::setAddress, Upstream.Address);
  Out.setSlots(Upstream.Slots);
  Out.setConnections(Upstream.Connections);
  Out.setState(static_cast<std::uint16_t>(Upstream.State));
  Out.setLimit(Upstream.Limit);
  Out.setInFlight(Upstream.InFlight);
}

auto readUpstream(wire::Upstream::Reader In, upstream_info &Upstream) -> bool {
  Upstream.Slots = In.getSlots();
  Upstream.Connections = In.getConnections();
  Upstream.Limit = In.getLimit();
  Upstream.InFlight = In.getInFlight();
  Upstream.State = static_cast<upstream_state>(
      std::min<std::uint16_t>(In.getState(), UINT8_MAX));
  return Upstream.State <= upstream_state::Draining &&
         readText(In.getService(), MaxIdBytes, Upstream.Service.Value) &&
         readText(In.getVersion(), MaxIdBytes, Upstream.Version.Value) &&
         readText(In.getAddress(), MaxAddressBytes, Upstream.Address);
}

} // namespace

auto readText(capnp::Text::Reader In, std::size_t Limit, std::string &Out)
    -> bool {
  if (In.size() > Limit) {
    return false;
  }
  Out.assign(In.begin(), In.size());
  return true;
}

void writeUpdate(wire::MemberUpdate::Builder Out, const member_update &Update) {
  const auto &Member = Update.Member;
  setText(Out, &wire::MemberUpdate::Builder::setId, Member.Id.Value);
  Out.setIncarnation(Member.Incarnation.Value);
  setText(Out, &wire::MemberUpdate::Builder::setInnerAddress,
          Member.Addresses.Inner);
  setText(Out, &wire::MemberUpdate::Builder::setPeerAddress,
          Member.Addresses.Peer);
  setText(Out, &wire::MemberUpdate::Builder::setCallerAddress,
          Member.Addresses.Caller);
  setText(Out, &wire::MemberUpdate::Builder::setAdminAddress,
          Member.Addresses.Admin);
  setText(Out, &wire::MemberUpdate::Builder::setZone, Member.Zone.Value);
  setText(Out, &wire::MemberUpdate::Builder::setRegion, Member.Region.Value);
  Out.setState(static_cast<std::uint16_t>(Member.State));
  Out.setRevision(Member.Revision);
  Out.setConfigPosition(Member.ConfigPosition.Value);
  Out.setDeadForMs(static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Update.DeadFor.count(), 0, UINT32_MAX)));
  if (!Member.Upstreams.empty()) {
    auto Upstreams =
        Out.initUpstreams(static_cast<unsigned>(Member.Upstreams.size()));
    for (auto Index = 0U; Index < Upstreams.size(); ++Index) {
      writeUpstream(Upstreams[Index], Member.Upstreams[Index]);
    }
  }
}

auto readUpdate(wire::MemberUpdate::Reader In, member_update &Update) -> bool {
  auto &Member = Update.Member;
  auto Upstreams = In.getUpstreams();
  if (Upstreams.size() > MaxUpstreams) {
    return false;
  }
  Member.Incarnation.Value = In.getIncarnation();
  Member.State = static_cast<member_state>(
      std::min<std::uint16_t>(In.getState(), UINT8_MAX));
  Member.Revision = In.getRevision();
  Member.ConfigPosition.Value = In.getConfigPosition();
  Update.DeadFor = millis{In.getDeadForMs()};
  auto &Addresses = Member.Addresses;
  if (!readText(In.getId(), MaxIdBytes, Member.Id.Value) ||
      !readText(In.getInnerAddress(), MaxAddressBytes, Addresses.Inner) ||
      !readText(In.getPeerAddress(), MaxAddressBytes, Addresses.Peer) ||
      !readText(In.getCallerAddress(), MaxAddressBytes, Addresses.Caller) ||
      !readText(In.getAdminAddress(), MaxAddressBytes, Addresses.Admin) ||
      !readText(In.getZone(), MaxIdBytes, Member.Zone.Value) ||
      !readText(In.getRegion(), MaxIdBytes, Member.Region.Value)) {
    return false;
  }
  Member.Upstreams.resize(Upstreams.size());
  for (auto Index = 0U; Index < Upstreams.size(); ++Index) {
    if (!readUpstream(Upstreams[Index], Member.Upstreams[Index])) {
      return false;
    }
  }
  return isValidMember(Member);
}

void writeRecords(capnp::List<wire::Record>::Builder Out,
                  const record_list &Records) {
  for (auto Index = 0U; Index < Out.size(); ++Index) {
    Out[Index].setOffset(Records[Index].Offset.Value);
    Out[Index].setBytes(asData(Records[Index].Bytes));
  }
}

auto readRecords(capnp::List<wire::Record>::Reader In, record_list &Records)
    -> bool {
  if (In.size() > MaxRecords) {
    return false;
  }
  auto Total = std::size_t{0};
  for (auto Record : In) {
    auto Bytes = asBytes(Record.getBytes());
    Total += Bytes.size();
    if (Total > 2 * MaxRecordsBytes) {
      return false;
    }
    Records.push_back(
        {.Offset = {Record.getOffset()}, .Bytes = std::string(Bytes)});
  }
  return true;
}

void writeMark(wire::ConfigMark::Builder Out, const config_mark &Mark) {
  Out.setPosition(Mark.Position.Value);
  Out.setChainHash(Mark.ChainHash);
}

auto readMark(wire::ConfigMark::Reader In) -> config_mark {
  return {.Position = {In.getPosition()}, .ChainHash = In.getChainHash()};
}

void writeExchange(wire::Exchange::Builder Out,
                   const member_exchange &Exchange) {
  if (Exchange.Digest) {
    auto Digest = Out.initDigest(DigestBuckets);
    for (auto Index = 0U; Index < DigestBuckets; ++Index) {
      Digest.set(Index, Exchange.Digest->at(Index));
    }
  }
  auto Count = std::min(Exchange.Updates.size(), MaxExchangeUpdates);
  auto Updates = Out.initUpdates(static_cast<unsigned>(Count));
  for (auto Index = 0U; Index < Count; ++Index) {
    writeUpdate(Updates[Index], Exchange.Updates[Index]);
  }
}

auto readExchange(wire::Exchange::Reader In, member_exchange &Exchange)
    -> bool {
  auto Digest = In.getDigest();
  auto Updates = In.getUpdates();
  if ((Digest.size() != 0 && Digest.size() != DigestBuckets) ||
      Updates.size() > MaxExchangeUpdates) {
    return false;
  }
  if (Digest.size() != 0) {
    std::copy(Digest.begin(), Digest.end(), Exchange.Digest.emplace().begin());
  }
  for (auto Item : Updates) {
    auto &Update = Exchange.Updates.emplace_back();
    if (!readUpdate(Item, Update)) {
      return false;
    }
  }
  return true;
}

void writeClaim(wire::ClaimRequest::Builder Out, const claim_request &Claim) {
  Out.setPartition(Claim.Partition);
  Out.setKeyHash(Claim.KeyHash);
  Out.setNode(asText(Claim.Node.Value));
  Out.setIncarnation(Claim.Incarnation.Value);
  Out.setAttempt(asText(Claim.AttemptId));
  Out.setAtMs(Claim.At.Value);
  Out.setStatus(Claim.Status);
}

auto readClaim(wire::ClaimRequest::Reader In, claim_request &Claim) -> bool {
  Claim.Partition = In.getPartition();
  Claim.KeyHash = In.getKeyHash();
  Claim.Incarnation.Value = In.getIncarnation();
  Claim.At.Value = In.getAtMs();
  Claim.Status = In.getStatus();
  return readText(In.getNode(), MaxIdBytes, Claim.Node.Value) &&
         readText(In.getAttempt(), MaxAttemptBytes, Claim.AttemptId);
}

void writeVerdict(wire::ClaimVerdict::Builder Out,
                  const claim_verdict &Verdict) {
  Out.setResult(static_cast<std::uint16_t>(Verdict.Result));
  Out.setHeldByNode(asText(Verdict.HeldByNode.Value));
  Out.setHeldByIncarnation(Verdict.HeldByIncarnation.Value);
  Out.setHeldByAttempt(asText(Verdict.HeldByAttempt));
  Out.setHeldStatus(Verdict.HeldStatus);
  Out.setReason(asText(Verdict.Reason.substr(0, MaxReasonBytes)));
}

auto readVerdict(wire::ClaimVerdict::Reader In, claim_verdict &Verdict)
    -> bool {
  if (In.getResult() > static_cast<std::uint16_t>(claim_result::Refused)) {
    return false;
  }
  Verdict.Result = static_cast<claim_result>(In.getResult());
  Verdict.HeldByIncarnation.Value = In.getHeldByIncarnation();
  Verdict.HeldStatus = In.getHeldStatus();
  return readText(In.getHeldByNode(), MaxIdBytes, Verdict.HeldByNode.Value) &&
         readText(In.getHeldByAttempt(), MaxAttemptBytes,
                  Verdict.HeldByAttempt) &&
         readText(In.getReason(), MaxReasonBytes, Verdict.Reason);
}

} // namespace sycamorelb::inner
