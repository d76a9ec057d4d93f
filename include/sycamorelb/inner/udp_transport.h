/** @file udp_transport.h UDP socket for authenticated datagrams. */
#pragma once

#include "sycamorelb/inner/auth_func.h"
#include "sycamorelb/inner/datagram_type.h"

#include <memory>
#include <optional>

namespace sycamorelb::inner {

/** Counters since the socket was opened. */
struct udp_counters {
  std::uint64_t DatagramsIn = 0;          ///< Datagrams accepted.
  std::uint64_t BytesIn = 0;              ///< Their size, with header and MAC.
  std::uint64_t DatagramsOut = 0;         ///< Datagrams sent.
  std::uint64_t BytesOut = 0;             ///< Their size, with header and MAC.
  std::uint64_t DroppedOversized = 0;     ///< Longer than MaxDatagramBytes.
  std::uint64_t DroppedUnauthorized = 0;  ///< Wrong header, key id or MAC.
  std::uint64_t DroppedMalformed = 0;     ///< Not decodable.
  std::uint64_t DroppedOutsideWindow = 0; ///< Send time outside AuthWindow.
  std::uint64_t DroppedSend = 0;          ///< Encoding or sending failed.
};

/** A datagram that passed authentication. */
struct received_datagram {
  std::string Address; ///< Source, "ip:port".
  datagram Datagram;   ///< Content.
};

/** Owns the UDP socket. One thread receives; any thread may send. */
class udp_transport {
public:
  /** Binds Address ("ip:port", port 0 for any); Unreachable when the address
   * cannot be bound, InvalidArgument for an invalid address or key list. */
  static auto open(const std::string &Address, const node_id &Self,
                   const auth_keys &Keys)
      -> result<std::unique_ptr<udp_transport>>;
  ~udp_transport();
  udp_transport(const udp_transport &) = delete;
  auto operator=(const udp_transport &) -> udp_transport & = delete;

  /** Signs and sends a datagram; never blocks. */
  auto send(const std::string &Address, const datagram_body &Body)
      -> result<done>;
  /** Waits for a valid datagram; dropped datagrams do not extend the wait.
   * @return nothing after Timeout or after wake(). */
  auto receive(millis Timeout) -> std::optional<received_datagram>;
  /** Makes receive() return early; may be called on any thread. */
  void wake();
  /** Replaces the active keys; may be called on any thread. */
  auto setKeys(const auth_keys &Keys) -> result<done>;
  /** @return the bound address, "ip:port". */
  auto localAddress() const -> std::string;
  /** @return the counters; may be called on any thread. */
  auto counters() const -> udp_counters;

private:
  struct impl;
  explicit udp_transport(std::unique_ptr<impl> Impl);
  std::unique_ptr<impl> Impl;
};

} // namespace sycamorelb::inner
