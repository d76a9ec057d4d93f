/** @file auth_func.h Authentication between nodes with shared keys. */
#pragma once

#include "sycamorelb/core/result_type.h"
#include "sycamorelb/core/unit_type.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorelb::inner {

/** A shared secret with its id. */
struct auth_key {
  std::uint32_t Id = 0; ///< Sent with each signature; unique in its list.
  std::string Secret;   ///< At least 16 bytes.
};

/** Active keys: the first one signs, all of them verify. To rotate keys, append
 * the new key on all nodes, then move it to the front, then remove the old
 * one. */
using auth_keys = std::vector<auth_key>;

/** Largest accepted difference between the send time of a message and the wall
 * clock of the receiver. */
inline constexpr millis AuthWindow{30'000};

/** Size of a truncated HMAC-SHA256. */
inline constexpr std::size_t MacBytes = 16;
/** Bytes that signDatagram adds: format, key id and MAC. */
inline constexpr std::size_t DatagramOverhead = 1 + 4 + MacBytes;
using mac = std::array<std::uint8_t, MacBytes>;

/** Purpose of a signature. It is part of the signed bytes, so that a signature
 * for one purpose is invalid for all others. */
enum class auth_purpose : std::uint8_t {
  Datagram = 1,
  Request = 2,
  RpcServer = 3,
  RpcClient = 4,
  AdminServer = 5,
  AdminClient = 6,
};

/** Checks a key list: not empty, unique ids, secrets of at least 16 bytes. */
auto checkKeys(const auth_keys &Keys) -> result<done>;

/** @return the truncated HMAC-SHA256 of Purpose and Data. */
auto computeMac(const auth_key &Key, auth_purpose Purpose,
                std::string_view Data) -> mac;

/** @return whether Mac is valid under the key with id KeyId. The comparison
 * takes constant time. */
auto verifyMac(const auth_keys &Keys, std::uint32_t KeyId, auth_purpose Purpose,
               std::string_view Data, std::string_view Mac) -> bool;

/** @return the payload with its header and MAC, ready to send. */
auto signDatagram(const auth_keys &Keys, std::string_view Payload)
    -> std::string;

/** @return the payload of a datagram as a view into Bytes; Unauthorized when
 * the header, key id or MAC is invalid. */
auto verifyDatagram(const auth_keys &Keys, std::string_view Bytes)
    -> result<std::string_view>;

/** @return whether a message sent at SentAt is within AuthWindow of Now. */
auto isWithinAuthWindow(wall_ms SentAt, wall_ms Now) -> bool;

/** @return the value of the header x-sycamore-auth for a request to a node. */
auto makeRequestAuth(const auth_keys &Keys, std::string_view Method,
                     std::string_view Path, std::string_view AttemptId,
                     wall_ms Now) -> std::string;

/** @return whether a value of the header x-sycamore-auth is valid for the
 * request and its time is within AuthWindow of Now. */
auto checkRequestAuth(const auth_keys &Keys, std::string_view Header,
                      std::string_view Method, std::string_view Path,
                      std::string_view AttemptId, wall_ms Now) -> bool;

} // namespace sycamorelb::inner
