/** @file handshake.h Challenge-response authentication of RPC connections. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/inner/auth_func.h"

#include <openssl/rand.h>

namespace sycamorelb::inner {

inline constexpr std::size_t NonceBytes = 16;

/** Data that both sides sign. */
struct handshake {
  std::string ClientNonce; ///< Random bytes of the client.
  std::string ServerNonce; ///< Random bytes of the server.
  node_id Client;          ///< Name of the client.
  node_id Server;          ///< Name of the server.
};

/** @return a random nonce, or an empty string when the generator fails. */
inline auto makeNonce() -> std::string {
  auto Nonce = std::string(NonceBytes, '\0');
  auto *Bytes = reinterpret_cast<unsigned char *>(Nonce.data());
  return RAND_bytes(Bytes, NonceBytes) == 1 ? Nonce : std::string{};
}

/** @return the bytes to sign. The nonces have a fixed length and the names a
 * length prefix, so that different handshakes never yield equal bytes. */
inline auto handshakeBytes(const handshake &Handshake) -> std::string {
  return Handshake.ClientNonce + Handshake.ServerNonce +
         std::to_string(Handshake.Client.Value.size()) + ":" +
         Handshake.Client.Value +
         std::to_string(Handshake.Server.Value.size()) + ":" +
         Handshake.Server.Value;
}

} // namespace sycamorelb::inner
