/** @file codec_func.h Encoding of datagrams. Decoding is bounded in time and
 * memory for arbitrary bytes and never throws. */
#pragma once

#include "sycamorelb/inner/datagram_type.h"

namespace sycamorelb::inner {

/** @return the encoded datagram without authentication; InvalidArgument when a
 * field exceeds its limit or the result would exceed MaxDatagramBytes. */
auto encodeDatagram(const datagram &Datagram) -> result<std::string>;

/** @return the datagram; Corrupt when the bytes do not decode or a field
 * exceeds its limit. */
auto decodeDatagram(std::string_view Payload) -> result<datagram>;

} // namespace sycamorelb::inner
