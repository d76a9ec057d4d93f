/** @file rpc_client.h Client for the RPC between nodes. */
#pragma once

#include "sycamorelb/inner/auth_func.h"
#include "sycamorelb/inner/peer_type.h"
#include "sycamorelb/inner/rpc_loop.h"

namespace sycamorelb::inner {

/** Settings of the client. */
struct rpc_client_options {
  node_id Self;                    ///< This node.
  auth_keys Keys;                  ///< Active keys.
  std::size_t MaxConnections = 64; ///< Open connections at most; at the limit,
                                   ///< the least recently used idle one is
                                   ///< closed.
  std::size_t MaxStateBytes = 32U << 20U; ///< Largest state accepted.
};

/**
 * Makes blocking calls to other nodes, from any thread but the event-loop
 * thread. All addresses are inner addresses, "ip:port". Each call ends by its
 * timeout. It fails with Unreachable when the peer did not receive it, Timeout
 * when its effect is unknown, Unauthorized when the handshake failed,
 * Overloaded when the peer is busy and Corrupt when the response exceeds a
 * limit. Errors other than Overloaded close the connection, so that an
 * unresponsive connection costs at most one timeout.
 */
class rpc_client {
public:
  /** Loop must outlive the client. */
  rpc_client(rpc_loop &Loop, const rpc_client_options &Options);
  ~rpc_client();
  rpc_client(const rpc_client &) = delete;
  auto operator=(const rpc_client &) -> rpc_client & = delete;

  auto fetchRecords(const std::string &Address,
                    const membership::config_mark &Mark, millis Timeout)
      -> result<fetched_records>;
  auto fetchState(const std::string &Address, millis Timeout)
      -> result<std::string>;
  auto exchangeMembers(const std::string &Address,
                       const membership::member_exchange &Exchange,
                       millis Timeout) -> result<membership::member_exchange>;
  auto claim(const std::string &Address,
             const std::vector<claim_request> &Batch, millis Timeout)
      -> result<std::vector<claim_verdict>>;
  auto releaseClaim(const std::string &Address, const claim_request &Claim,
                    millis Timeout) -> result<done>;
  auto sendEvidence(const std::string &Address, const std::string &Bytes,
                    millis Timeout) -> result<done>;

  /** @return the number of open connections. */
  auto openConnections() const -> std::size_t;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace sycamorelb::inner
