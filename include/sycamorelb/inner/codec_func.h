/** @file codec_func.h Encoding of datagrams. Decoding never throws and has
 * bounded time and memory use for arbitrary input. */
#pragma once

#include "sycamorelb/inner/datagram_type.h"

namespace sycamorelb::inner {

/** @return the encoded datagram without header and MAC; InvalidArgument when
 * the signed datagram would exceed MaxDatagramBytes. */
auto encodeDatagram(const datagram &Datagram) -> result<std::string>;

/** @return the datagram; Corrupt when the bytes are malformed or a field
 * exceeds its limit. */
auto decodeDatagram(std::string_view Payload) -> result<datagram>;

} // namespace sycamorelb::inner
