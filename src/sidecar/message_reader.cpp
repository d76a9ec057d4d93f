/** @file message_reader.cpp Reads the messages on connections between nodes. */
#include "sidecar/message_reader.h"

#include <algorithm>
#include <utility>

namespace sycamorelb::sidecar {

using namespace inner;

/** Decodes the message at the front of a stream's input, compressed or not. */
static auto decodeNext(node_state &State, std::string_view Input)
    -> result<std::optional<decoded_mesh_message>> {
  if (!isCompressedFrame(Input)) {
    return decodeMeshMessage(Input, State.Loop.now());
  }
  auto Frame = State.Compressor.expand(Input);
  if (!isOk(Frame)) {
    return errorOf(Frame);
  }
  if (!valueOf(Frame)) {
    return std::optional<decoded_mesh_message>();
  }
  auto Decoded = decodeMeshMessage(valueOf(Frame)->Message, State.Loop.now());
  if (isOk(Decoded) && !valueOf(Decoded)) {
    return error{error_code::Corrupt, "decode_frame", "", "truncated message"};
  }
  if (isOk(Decoded)) {
    valueOf(Decoded)->EncodedBytes = valueOf(Frame)->EncodedBytes;
  }
  return Decoded;
}

/** Charges the body of a received message to the memory budget. */
static void chargeBody(node_state &State, mesh_message &Message) {
  auto Charge = [&State](std::size_t Bytes) {
    return event::memory_charge(State.Loop.memory(), Bytes);
  };
  if (auto *Forward = std::get_if<forward_message>(&Message)) {
    Forward->Request.Charge = Charge(Forward->Request.Body.size());
  } else if (auto *Reply = std::get_if<reply_message>(&Message)) {
    Reply->Response.Charge = Charge(Reply->Response.Body.size());
  }
}

/** What happens to the message at the front of a stream. */
enum class intake_step : std::uint8_t {
  Decode,    // It is decoded if it is complete.
  Wait,      // More of it must arrive before that is decided.
  Skip,      // It is refused and dropped.
  NoMemory,  // It can't be refused, and there is no memory for it.
  Malformed, // It can't be decoded.
};

/** Decides about the message at the front of a stream, and reserves the memory
 * of a large one. */
static auto examineNext(node_state &State, event::stream &Stream,
                        message_intake &Intake, const call_refusal &Refuse)
    -> intake_step {
  auto Input = Stream.input();
  auto Size = isCompressedFrame(Input) ? std::nullopt : messageSize(Input);
  if (!Size || *Size < LargeMessageBytes) {
    return intake_step::Decode;
  }
  auto Missing = *Size - std::min(*Size, Input.size());
  if (Intake.AdmittedBytes > 0 && Missing > 0) {
    return intake_step::Decode;
  }
  // Asked again when the message is complete, as others arrived meanwhile.
  auto IsNewWork = Intake.AdmittedBytes == 0 && Refuse.IsNewWork;
  if (mayReceive(*State.Loop.memory(), *Size, Missing, IsNewWork)) {
    Intake.AdmittedBytes = *Size;
    if (Missing > 0) {
      Stream.reserveInput(*Size);
    }
    return intake_step::Decode;
  }
  auto Outline = outlineMeshMessage(Input);
  if (!isOk(Outline)) {
    return intake_step::Malformed;
  }
  if (!valueOf(Outline)) {
    return Missing > 0 ? intake_step::Wait : intake_step::Malformed;
  }
  if (!valueOf(Outline)->Call) {
    return intake_step::NoMemory;
  }
  Intake = {0, *Size};
  Refuse.Handle(*valueOf(Outline)->Call);
  return intake_step::Skip;
}

/** Drops what has arrived of a refused message.
 * @return whether all of it has. */
static auto skipRefused(event::stream &Stream, message_intake &Intake) -> bool {
  auto Count = std::min(Intake.SkippedBytes, Stream.input().size());
  if (Count > 0) {
    Stream.consume(Count);
    Intake.SkippedBytes -= Count;
  }
  return Intake.SkippedBytes == 0;
}

auto readMessages(
    node_state &State, event::stream &Stream, message_intake &Intake,
    const call_refusal &Refuse,
    const std::function<bool(inner::decoded_mesh_message)> &Handle)
    -> read_end {
  while (Stream.isOpen() && skipRefused(Stream, Intake)) {
    switch (examineNext(State, Stream, Intake, Refuse)) {
    case intake_step::Decode:
      break;
    case intake_step::Wait:
      return read_end::Open;
    case intake_step::Skip:
      continue;
    case intake_step::NoMemory:
      return read_end::NoMemory;
    case intake_step::Malformed:
      return read_end::Malformed;
    }
    auto Decoded = decodeNext(State, Stream.input());
    if (!isOk(Decoded)) {
      return read_end::Malformed;
    }
    if (!valueOf(Decoded)) {
      return read_end::Open;
    }
    chargeBody(State, valueOf(Decoded)->Message);
    Intake.AdmittedBytes = 0;
    Stream.consume(valueOf(Decoded)->EncodedBytes);
    if (!Handle(std::move(*valueOf(Decoded)))) {
      return read_end::Open;
    }
  }
  return read_end::Open;
}

} // namespace sycamorelb::sidecar
