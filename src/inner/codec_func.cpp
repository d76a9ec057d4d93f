/** @file codec_func.cpp Encoding of datagrams as packed Cap'n Proto. */
#include "sycamorelb/inner/codec_func.h"

#include "inner/wire.h"
#include "sycamorelb/inner/auth_func.h"
#include "sycamorelb/membership/membership_func.h"

#include <algorithm>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

namespace sycamorelb::inner {

using namespace membership;

namespace {

/** Limit on the unpacked size, because two packed bytes can expand to 256 zero
 * words. Valid datagrams are far smaller. */
constexpr std::uint64_t MaxUnpackedWords = 4096;
/** Largest number of entries in a list of a datagram; an update or a brake
 * takes more than 16 bytes. */
constexpr unsigned MaxListItems = MaxDatagramBytes / 16;

auto makeError(error_code Code, const char *Step, std::string Message)
    -> error {
  return {
      .Code = Code, .Step = Step, .Peer = {}, .Message = std::move(Message)};
}

void writeGossip(wire::Gossip::Builder Out, const message &Message) {
  Out.setKind(static_cast<std::uint16_t>(Message.Kind));
  Out.setSequence(Message.Sequence);
  Out.setFromIncarnation(Message.FromIncarnation.Value);
  if (!Message.Target.Value.empty()) {
    Out.setTarget(asText(Message.Target.Value));
  }
  if (!Message.TargetAddress.empty()) {
    Out.setTargetAddress(asText(Message.TargetAddress));
  }
  Out.setPosition(Message.Config.Position.Value);
  Out.setChainHash(Message.Config.ChainHash);
  if (!Message.Updates.empty()) {
    auto Updates =
        Out.initUpdates(static_cast<unsigned>(Message.Updates.size()));
    for (auto Index = 0U; Index < Updates.size(); ++Index) {
      writeUpdate(Updates[Index], Message.Updates[Index]);
    }
  }
  if (!Message.Brakes.empty()) {
    auto Brakes = Out.initBrakes(static_cast<unsigned>(Message.Brakes.size()));
    for (auto Index = 0U; Index < Brakes.size(); ++Index) {
      const auto &Brake = Message.Brakes[Index];
      Brakes[Index].setMove(asText(Brake.Move.Value));
      Brakes[Index].setService(asText(Brake.Service.Value));
      Brakes[Index].setVersion(asText(Brake.Version.Value));
      Brakes[Index].setIssuedAtMs(Brake.IssuedAt.Value);
      Brakes[Index].setReason(asText(Brake.Reason));
    }
  }
}

auto readBrake(wire::Brake::Reader In, brake_notice &Brake) -> bool {
  Brake.IssuedAt.Value = In.getIssuedAtMs();
  return readText(In.getMove(), MaxIdBytes, Brake.Move.Value) &&
         readText(In.getService(), MaxIdBytes, Brake.Service.Value) &&
         readText(In.getVersion(), MaxIdBytes, Brake.Version.Value) &&
         readText(In.getReason(), MaxReasonBytes, Brake.Reason);
}

auto readGossip(wire::Gossip::Reader In, message &Message) -> bool {
  auto Updates = In.getUpdates();
  auto Brakes = In.getBrakes();
  if (In.getKind() > static_cast<std::uint16_t>(message_kind::Gossip) ||
      Updates.size() > MaxListItems || Brakes.size() > MaxListItems ||
      !readText(In.getTarget(), MaxIdBytes, Message.Target.Value) ||
      !readText(In.getTargetAddress(), MaxAddressBytes,
                Message.TargetAddress)) {
    return false;
  }
  Message.Kind = static_cast<message_kind>(In.getKind());
  Message.Sequence = In.getSequence();
  Message.FromIncarnation.Value = In.getFromIncarnation();
  Message.Config = {.Position = {In.getPosition()},
                    .ChainHash = In.getChainHash()};
  Message.Updates.resize(Updates.size());
  Message.Brakes.resize(Brakes.size());
  for (auto Index = 0U; Index < Updates.size(); ++Index) {
    if (!readUpdate(Updates[Index], Message.Updates[Index])) {
      return false;
    }
  }
  for (auto Index = 0U; Index < Brakes.size(); ++Index) {
    if (!readBrake(Brakes[Index], Message.Brakes[Index])) {
      return false;
    }
  }
  return true;
}

void writeNotice(wire::ConfigNotice::Builder Out, const config_notice &Notice) {
  Out.setPosition(Notice.Config.Position.Value);
  Out.setChainHash(Notice.Config.ChainHash);
  Out.setVersion(Notice.Version.Value);
  Out.setBasePosition(Notice.Base.Position.Value);
  Out.setBaseHash(Notice.Base.ChainHash);
  writeRecords(Out.initRecords(static_cast<unsigned>(Notice.Records.size())),
               Notice.Records);
}

auto readNotice(wire::ConfigNotice::Reader In, config_notice &Notice) -> bool {
  Notice.Config = {.Position = {In.getPosition()},
                   .ChainHash = In.getChainHash()};
  Notice.Version.Value = In.getVersion();
  Notice.Base = {.Position = {In.getBasePosition()},
                 .ChainHash = In.getBaseHash()};
  return In.getRecords().size() <= MaxListItems &&
         readRecords(In.getRecords(), Notice.Records);
}

auto readDatagram(wire::Datagram::Reader In, datagram &Datagram) -> bool {
  Datagram.SentAt.Value = In.getSentAtMs();
  if (!readText(In.getFrom(), MaxIdBytes, Datagram.From.Value) ||
      Datagram.From.Value.empty()) {
    return false;
  }
  switch (In.which()) {
  case wire::Datagram::GOSSIP: {
    auto &Message = Datagram.Body.emplace<message>();
    Message.From = Datagram.From;
    return readGossip(In.getGossip(), Message);
  }
  case wire::Datagram::CONFIG_NOTICE:
    return readNotice(In.getConfigNotice(),
                      Datagram.Body.emplace<config_notice>());
  case wire::Datagram::EVIDENCE:
    Datagram.Body = evidence_report{std::string(asBytes(In.getEvidence()))};
    return true;
  }
  return false;
}

void writeDatagram(wire::Datagram::Builder Out, const datagram &Datagram) {
  Out.setFrom(asText(Datagram.From.Value));
  Out.setSentAtMs(Datagram.SentAt.Value);
  if (const auto *Message = std::get_if<message>(&Datagram.Body)) {
    writeGossip(Out.initGossip(), *Message);
  } else if (const auto *Notice = std::get_if<config_notice>(&Datagram.Body)) {
    writeNotice(Out.initConfigNotice(), *Notice);
  } else {
    Out.setEvidence(asData(std::get<evidence_report>(Datagram.Body).Bytes));
  }
}

} // namespace

auto encodeDatagram(const datagram &Datagram) -> result<std::string> {
  auto Message = capnp::MallocMessageBuilder{};
  writeDatagram(Message.initRoot<wire::Datagram>(), Datagram);
  auto Words = capnp::computeSerializedSizeInWords(Message);
  if (Words > MaxUnpackedWords) {
    return makeError(error_code::InvalidArgument, "encode datagram",
                     "a datagram of " + std::to_string(Words) +
                         " words exceeds the size limit");
  }
  kj::VectorOutputStream Out{Words * sizeof(capnp::word)};
  capnp::writePackedMessage(Out, Message);
  auto Bytes = Out.getArray();
  if (Bytes.size() + DatagramOverhead > MaxDatagramBytes) {
    return makeError(error_code::InvalidArgument, "encode datagram",
                     "a datagram of " + std::to_string(Bytes.size()) +
                         " bytes exceeds the size limit");
  }
  return std::string(Bytes.asChars().begin(), Bytes.size());
}

auto decodeDatagram(std::string_view Payload) -> result<datagram> {
  auto CorruptError = [](std::string Message) {
    return makeError(error_code::Corrupt, "decode datagram",
                     std::move(Message));
  };
  if (Payload.size() > MaxDatagramBytes) {
    return CorruptError("the datagram exceeds the size limit");
  }
  auto Datagram = inner::datagram{};
  auto IsValid = false;
  auto Failure = kj::runCatchingExceptions([&]() {
    auto Bytes = asData(Payload);
    auto Words = capnp::computeUnpackedSizeInWords(Bytes);
    if (Words > MaxUnpackedWords) {
      return;
    }
    kj::ArrayInputStream In{Bytes};
    capnp::PackedMessageReader Reader{
        In, capnp::ReaderOptions{.traversalLimitInWords = MaxUnpackedWords,
                                 .nestingLimit = 8}};
    IsValid = readDatagram(Reader.getRoot<wire::Datagram>(), Datagram);
  });
  KJ_IF_MAYBE (Exception, Failure) {
    return CorruptError(Exception->getDescription().cStr());
  }
  if (!IsValid) {
    return CorruptError("a field is invalid or exceeds its limit");
  }
  return Datagram;
}

} // namespace sycamorelb::inner
