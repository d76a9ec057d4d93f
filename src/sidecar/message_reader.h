/** @file message_reader.h Reads the messages on connections between nodes. */
#pragma once

#include "sidecar/message_intake.h"
#include "sidecar/node_state.h"
#include "sycamorelb/event/stream.h"
#include "sycamorelb/inner/mesh_message_type.h"

#include <cstdint>
#include <functional>

namespace sycamorelb::sidecar {

/** What to do with a large call or reply without memory for it. */
struct call_refusal {
  bool IsNewWork = false; ///< The messages are calls that can run elsewhere.
  /** Called once for each, before its rest is dropped. */
  std::function<void(inner::call_number)> Handle;
};

/** Whether more messages can be read. */
enum class read_end : std::uint8_t {
  Open,      ///< Yes, or the connection was closed meanwhile.
  Malformed, ///< No: the input can't be decoded.
  NoMemory,  ///< No: there is no memory for a message that can't be refused.
};

/** Decodes all complete messages at the front of a stream, until Handle returns
 * false or the stream is closed. The memory of large ones is charged before
 * they are received. */
auto readMessages(
    node_state &State, event::stream &Stream, message_intake &Intake,
    const call_refusal &Refuse,
    const std::function<bool(inner::decoded_mesh_message)> &Handle) -> read_end;

} // namespace sycamorelb::sidecar
