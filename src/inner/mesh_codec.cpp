/** @file mesh_codec.cpp Encoding of mesh messages as Cap'n Proto. */
#include "sycamorelb/inner/mesh_message_type.h"

#include "inner/gossip_codec.h"
#include "sycamorelb/core/number_func.h"

#include <algorithm>
#include <array>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstdint>
#include <cstring>
#include <kj/io.h>

namespace sycamorelb::inner {

namespace {

/** Size of the length prefix of a message. */
constexpr auto LengthBytes = std::size_t{4};
/** Most segments of a message whose outline is read: large bodies and headers
 * have segments of their own, which double in size. */
constexpr auto MaxSegments = std::uint32_t{64};
/** Largest first segment of which an outline is read, in words; this encoder
 * begins with 1024. */
constexpr auto MaxOutlineWords = std::uint32_t{4096};

template <class Builder>
void writeHeaders(Builder Out, const proxy::header_list &Headers) {
  for (auto Index = 0U; Index < Headers.size(); ++Index) {
    Out[Index].setName(Headers[Index].Name);
    Out[Index].setValue(Headers[Index].Value);
  }
}

auto readHeaders(capnp::List<mesh_wire::Header>::Reader In)
    -> proxy::header_list {
  auto Headers = proxy::header_list();
  Headers.reserve(In.size());
  for (auto Header : In) {
    Headers.push_back({textOf(Header.getName()), textOf(Header.getValue())});
  }
  return Headers;
}

void writeNotice(mesh_wire::TargetNotice::Builder Out,
                 const mesh::target_notice &Notice) {
  Out.setTarget(Notice.Target.Value);
  Out.setBornAt(Notice.StartedAtMs);
  Out.setLimited(Notice.CallsPerSecond.has_value());
  Out.setCallsPerSecond(Notice.CallsPerSecond.value_or(0));
  Out.setLeaving(Notice.Leaving);
}

auto readNotice(mesh_wire::TargetNotice::Reader In) -> mesh::target_notice {
  auto Notice = mesh::target_notice();
  Notice.Target.Value = textOf(In.getTarget());
  Notice.StartedAtMs = In.getBornAt();
  if (In.getLimited() && In.getCallsPerSecond() >= 0) {
    Notice.CallsPerSecond = In.getCallsPerSecond();
  }
  Notice.Leaving = In.getLeaving();
  return Notice;
}

/** Smallest body that is referenced instead of copied into the message. */
constexpr auto MinReferencedBytes = std::size_t{64} * 1024;

/** @return whether the memory of a body can be part of a message: it begins at
 * a word, and the string owns its last word as a whole. */
auto isReferable(const std::string &Body) -> bool {
  auto Words = (Body.size() + sizeof(capnp::word) - 1) / sizeof(capnp::word);
  return Body.size() >= MinReferencedBytes &&
         reinterpret_cast<std::uintptr_t>(Body.data()) % sizeof(capnp::word) ==
             0 &&
         Body.capacity() + 1 >= Words * sizeof(capnp::word);
}

/** Writes the body of a request or response, which outlives the message. */
template <class Builder> void writeBody(Builder Out, const std::string &Body) {
  if (isReferable(Body)) {
    Out.adoptBody(
        capnp::Orphanage::getForMessageContaining(Out).referenceExternalData(
            asData(Body)));
  } else {
    Out.setBody(asData(Body));
  }
}

void writeForward(mesh_wire::Forward::Builder Out,
                  const forward_message &Message) {
  Out.setCall(Message.Call.Value);
  Out.setService(Message.Service.Value);
  Out.setVersion(Message.Version.Value);
  Out.setRoute(Message.Route.Value);
  Out.setCallerService(Message.CallerService.Value);
  const auto &Request = Message.Request;
  Out.setMethod(Request.Method);
  Out.setTarget(Request.Target);
  writeHeaders(Out.initHeaders(static_cast<unsigned>(Request.Headers.size())),
               Request.Headers);
  writeBody(Out, Request.Body);
  Out.setHasBody(Request.HasBody);
  Out.setKind(static_cast<std::uint16_t>(Message.Kind));
  Out.setPriority(Message.Priority);
  Out.setOnTimeMicros(Message.TimeToStartOnTime.count());
  Out.setStartMicros(Message.TimeToLatestStart.count());
  Out.setLeftMicros(Message.TimeLeft.count());
  if (!Message.Notice.Target.Value.empty()) {
    writeNotice(Out.initNotice(), Message.Notice);
  }
  Out.setCustomer(Message.Customer.Value);
  if (Message.ColdCallsPerSecond) {
    Out.setColdCallsPerSecond(*Message.ColdCallsPerSecond);
  }
}

auto readForward(mesh_wire::Forward::Reader In) -> forward_message {
  auto Message = forward_message();
  Message.Call.Value = In.getCall();
  Message.Service.Value = textOf(In.getService());
  Message.Version.Value = textOf(In.getVersion());
  Message.Route.Value = textOf(In.getRoute());
  Message.CallerService.Value = textOf(In.getCallerService());
  auto &Request = Message.Request;
  Request.Method = textOf(In.getMethod());
  Request.Target = textOf(In.getTarget());
  Request.Path = Request.Target.substr(0, Request.Target.find_first_of("?#"));
  Request.Headers = readHeaders(In.getHeaders());
  Request.Body = dataOf(In.getBody());
  Request.HasBody = In.getHasBody();
  Message.Kind = static_cast<mesh::call_kind>(std::min<std::uint16_t>(
      In.getKind(), static_cast<std::uint16_t>(mesh::call_kind::Upload)));
  Message.Priority = In.getPriority();
  Message.TimeToStartOnTime = timeOf(In.getOnTimeMicros());
  Message.TimeToLatestStart = timeOf(In.getStartMicros());
  Message.TimeLeft = timeOf(In.getLeftMicros());
  Message.Notice = readNotice(In.getNotice());
  Message.Customer.Value = textOf(In.getCustomer());
  if (In.getColdCallsPerSecond() >= 0) {
    Message.ColdCallsPerSecond = In.getColdCallsPerSecond();
  }
  return Message;
}

void writeLoad(mesh_wire::Load::Builder Out,
               const dispatch::load_report &Load) {
  Out.setRunning(Load.Running);
  Out.setQueued(Load.Queued);
  Out.setSlots(Load.Slots);
  Out.setMeanRunMicros(microsIn32Bits(Load.MeanRun));
  Out.setFailurePpm(Load.FailurePpm);
  Out.setCold(Load.Cold);
  Out.setLinkKbps(Load.LinkKbps);
  Out.setLinkBusyPpm(Load.LinkBusyPpm);
  Out.setBulkPpm(Load.BulkPpm);
  Out.setWaitMicros(microsIn32Bits(Load.Wait));
  Out.setStartGapMicros(microsIn32Bits(Load.StartGap));
  Out.setConcurrency(Load.Concurrency);
  Out.setWorkPercent(Load.WorkPercent);
}

auto readLoad(mesh_wire::Load::Reader In) -> dispatch::load_report {
  return {In.getRunning(),
          In.getQueued(),
          In.getSlots(),
          micros(In.getMeanRunMicros()),
          In.getFailurePpm(),
          In.getCold(),
          In.getLinkKbps(),
          In.getLinkBusyPpm(),
          In.getBulkPpm(),
          micros(In.getWaitMicros()),
          micros(In.getStartGapMicros()),
          In.getConcurrency(),
          In.getWorkPercent()};
}

void writeReply(mesh_wire::Reply::Builder Out, const reply_message &Message) {
  Out.setCall(Message.Call.Value);
  Out.setOutcome(static_cast<std::uint16_t>(Message.Outcome));
  Out.setArrived(Message.ReachedTarget);
  const auto &Response = Message.Response;
  Out.setStatus(static_cast<std::uint32_t>(Response.Status));
  writeHeaders(Out.initHeaders(static_cast<unsigned>(Response.Headers.size())),
               Response.Headers);
  writeBody(Out, Response.Body);
  Out.setReason(Message.Reason);
  writeLoad(Out.initLoad(), Message.Load);
  Out.setRunMicros(microsIn32Bits(Message.RunTime));
  Out.setRouteMeanMicros(microsIn32Bits(Message.MeanRouteRunTime));
  if (!Message.Notice.Target.Value.empty()) {
    writeNotice(Out.initNotice(), Message.Notice);
  }
}

auto readReply(mesh_wire::Reply::Reader In) -> reply_message {
  auto Message = reply_message();
  Message.Call.Value = In.getCall();
  Message.Outcome = static_cast<reply_outcome>(std::min<std::uint16_t>(
      In.getOutcome(), static_cast<std::uint16_t>(reply_outcome::Unknown)));
  Message.ReachedTarget = In.getArrived();
  Message.Response.Status = static_cast<int>(In.getStatus());
  Message.Response.Headers = readHeaders(In.getHeaders());
  Message.Response.Body = dataOf(In.getBody());
  Message.Reason = textOf(In.getReason());
  Message.Load = readLoad(In.getLoad());
  Message.RunTime = micros(In.getRunMicros());
  Message.MeanRouteRunTime = micros(In.getRouteMeanMicros());
  Message.Notice = readNotice(In.getNotice());
  return Message;
}

/** Appends what is written to a string. */
class string_output final : public kj::OutputStream {
public:
  explicit string_output(std::string &Out) : Out(Out) {}
  void write(const void *Bytes, std::size_t Size) override {
    Out.append(static_cast<const char *>(Bytes), Size);
  }

private:
  std::string &Out;
};

/** Writes a mesh_message into the union of the Cap'n Proto message. */
struct message_writer {
  mesh_wire::Message::Builder Out;
  steady_time Now;

  void operator()(const forward_message &Message) {
    writeForward(Out.initForward(), Message);
  }
  void operator()(const reply_message &Message) {
    writeReply(Out.initReply(), Message);
  }
  void operator()(const cancel_message &Message) {
    Out.setCancel(Message.Call.Value);
  }
  void operator()(const resume_message &Message) {
    auto Resume = Out.initResume();
    Resume.setCall(Message.Call.Value);
    Resume.setAgeMicros(Message.Age.count());
    Resume.setProcess(Message.Process.Value);
  }
  void operator()(const gossip_message &Message) {
    writeGossip(Out.initGossip(), Message, Now);
  }
  void operator()(const opened_message &Message) {
    writeHost(Out.initOpened(), Message.Sender);
  }
  void operator()(const ping_message & /*Message*/) { Out.setPing(); }
  void operator()(const pong_message & /*Message*/) { Out.setPong(); }
};

auto readMessage(mesh_wire::Message::Reader In, steady_time Now)
    -> std::optional<mesh_message> {
  switch (In.which()) {
  case mesh_wire::Message::FORWARD:
    return readForward(In.getForward());
  case mesh_wire::Message::REPLY:
    return readReply(In.getReply());
  case mesh_wire::Message::CANCEL:
    return cancel_message{{In.getCancel()}};
  case mesh_wire::Message::RESUME:
    return resume_message{{In.getResume().getCall()},
                          timeOf(In.getResume().getAgeMicros()),
                          {In.getResume().getProcess()}};
  case mesh_wire::Message::GOSSIP:
    if (auto Gossip = readGossip(In.getGossip(), Now)) {
      return std::move(*Gossip);
    }
    return std::nullopt;
  case mesh_wire::Message::OPENED:
    if (auto Sender = readHost(In.getOpened())) {
      return opened_message{std::move(*Sender)};
    }
    return std::nullopt;
  case mesh_wire::Message::PING:
    return ping_message{};
  case mesh_wire::Message::PONG:
    return pong_message{};
  }
  return std::nullopt;
}

auto corruptMessage(std::string Message) -> error {
  return {error_code::Corrupt, "decode_mesh_message", "", std::move(Message)};
}

} // namespace

auto encodeMeshMessage(const mesh_message &Message, steady_time Now)
    -> std::string {
  auto Builder = capnp::MallocMessageBuilder();
  auto Root = Builder.initRoot<mesh_wire::Message>();
  Root.setSentAt(Now.time_since_epoch().count());
  std::visit(message_writer{Root, Now}, Message);
  // Written once into the result: bodies are large.
  auto Segments = Builder.getSegmentsForOutput();
  auto Length = static_cast<std::uint32_t>(
      capnp::computeSerializedSizeInWords(Segments) * sizeof(capnp::word));
  auto Out = std::string();
  Out.reserve(LengthBytes + Length);
  Out.append(reinterpret_cast<const char *>(&Length), LengthBytes);
  auto Sink = string_output(Out);
  capnp::writeMessage(Sink, Segments);
  return Out;
}

auto messageSize(std::string_view Bytes) -> std::optional<std::size_t> {
  auto Length = std::uint32_t{0};
  if (Bytes.size() < LengthBytes) {
    return std::nullopt;
  }
  std::memcpy(&Length, Bytes.data(), LengthBytes);
  return Length > MaxMeshMessageBytes
             ? std::nullopt
             : std::optional(LengthBytes + std::size_t{Length});
}

auto decodeMeshMessage(std::string_view Bytes, steady_time Now)
    -> result<std::optional<decoded_mesh_message>> {
  auto Length = std::uint32_t{0};
  if (Bytes.size() < LengthBytes) {
    return std::optional<decoded_mesh_message>();
  }
  std::memcpy(&Length, Bytes.data(), LengthBytes);
  if (Length > MaxMeshMessageBytes || Length % sizeof(capnp::word) != 0) {
    return corruptMessage("invalid message length " + std::to_string(Length));
  }
  if (Bytes.size() < LengthBytes + Length) {
    return std::optional<decoded_mesh_message>();
  }
  const auto *Content = Bytes.data() + LengthBytes;
  auto Copy = kj::Array<capnp::word>();
  auto Words = kj::ArrayPtr<const capnp::word>(
      reinterpret_cast<const capnp::word *>(Content),
      Length / sizeof(capnp::word));
  if (reinterpret_cast<std::uintptr_t>(Content) % sizeof(capnp::word) != 0) {
    Copy = kj::heapArray<capnp::word>(Words.size());
    std::memcpy(Copy.begin(), Content, Length);
    Words = Copy;
  }
  try {
    auto Options = capnp::ReaderOptions();
    Options.traversalLimitInWords = 4 * Words.size() + 1024;
    auto Reader = capnp::FlatArrayMessageReader(Words, Options);
    auto Root = Reader.getRoot<mesh_wire::Message>();
    auto Message = readMessage(Root, Now);
    if (!Message) {
      return corruptMessage("unknown message type or invalid sender");
    }
    return std::optional<decoded_mesh_message>(decoded_mesh_message{
        std::move(*Message), steady_time(micros(Root.getSentAt())),
        LengthBytes + Length});
  } catch (const kj::Exception &Failure) {
    return corruptMessage(Failure.getDescription().cStr());
  }
}

auto outlineMeshMessage(std::string_view Bytes)
    -> result<std::optional<mesh_message_outline>> {
  using outline = std::optional<mesh_message_outline>;
  // The frame of a Cap'n Proto message: the number of segments less one, their
  // sizes in words, padding to a word. The first one has the numbers of a call.
  constexpr auto CountBytes = sizeof(std::uint32_t);
  constexpr auto WordBytes = sizeof(capnp::word);
  auto Counts =
      std::array<std::uint32_t, 2>(); // Segments less one, first size.
  if (Bytes.size() < LengthBytes + sizeof(Counts)) {
    return outline();
  }
  std::memcpy(Counts.data(), Bytes.data() + LengthBytes, sizeof(Counts));
  auto [Others, FirstWords] = Counts;
  if (Others >= MaxSegments || FirstWords > MaxOutlineWords) {
    return outline(mesh_message_outline());
  }
  auto TableBytes =
      (CountBytes * (Others + 2) + WordBytes - 1) / WordBytes * WordBytes;
  auto FirstBytes = FirstWords * WordBytes;
  if (Bytes.size() < LengthBytes + TableBytes + FirstBytes) {
    return outline();
  }
  auto First = kj::heapArray<capnp::word>(FirstWords);
  std::memcpy(First.begin(), Bytes.data() + LengthBytes + TableBytes,
              FirstBytes);
  auto Segment = kj::ArrayPtr<const capnp::word>(First);
  try {
    auto Reader = capnp::SegmentArrayMessageReader(kj::arrayPtr(&Segment, 1));
    auto Root = Reader.getRoot<mesh_wire::Message>();
    auto Outline = mesh_message_outline();
    if (Root.isForward()) {
      Outline.Call = call_number{Root.getForward().getCall()};
    } else if (Root.isReply()) {
      Outline.Call = call_number{Root.getReply().getCall()};
    }
    return outline(Outline);
  } catch (const kj::Exception &Failure) {
    return corruptMessage(Failure.getDescription().cStr());
  }
}

auto decodeGossip(std::string_view Bytes, steady_time Now)
    -> std::optional<gossip_message> {
  auto Decoded = decodeMeshMessage(Bytes, Now);
  auto *Gossip = isOk(Decoded) && valueOf(Decoded)
                     ? std::get_if<gossip_message>(&valueOf(Decoded)->Message)
                     : nullptr;
  return Gossip == nullptr ? std::nullopt
                           : std::make_optional(std::move(*Gossip));
}

} // namespace sycamorelb::inner
