/** @file gossip_codec.h Encoding of gossip as Cap'n Proto. Private to the
 * codec of mesh messages. */
#pragma once

#include "sycamorelb/core/number_func.h"
#include "sycamorelb/inner/mesh_message_type.h"

#include "mesh.capnp.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sycamorelb::inner {

inline auto textOf(capnp::Text::Reader Text) -> std::string {
  return {Text.begin(), Text.size()};
}

/** Longest time and age in a message. */
inline constexpr auto MaxMessageTime = MaxTime.count();

/** @return the time in a message, bounded so that sums with it can't overflow.
 */
inline auto timeOf(std::int64_t Micros) -> micros {
  return micros(std::clamp(Micros, -MaxMessageTime, MaxMessageTime));
}

inline auto dataOf(capnp::Data::Reader Data) -> std::string {
  return {Data.asChars().begin(), Data.size()};
}

inline auto asData(std::string_view Text) -> capnp::Data::Reader {
  return {reinterpret_cast<const kj::byte *>(Text.data()), Text.size()};
}

void writeHost(mesh_wire::Host::Builder Out, const mesh::host_record &Host);

/** @return the record, or nothing if its name, address or numbers are invalid.
 */
auto readHost(mesh_wire::Host::Reader In) -> std::optional<mesh::host_record>;

void writeGossip(mesh_wire::Gossip::Builder Out, const gossip_message &Message,
                 steady_time Now);

/** @return the message, or nothing if its sender is invalid. Invalid host and
 * rollout entries are skipped. */
auto readGossip(mesh_wire::Gossip::Reader In, steady_time Now)
    -> std::optional<gossip_message>;

} // namespace sycamorelb::inner
