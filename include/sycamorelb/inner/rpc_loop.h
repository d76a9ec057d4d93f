/** @file rpc_loop.h The KJ event-loop thread and its listeners. */
#pragma once

#include "sycamorelb/core/result_type.h"
#include "sycamorelb/core/unit_type.h"

#include <capnp/capability.h>
#include <functional>
#include <kj/async-io.h>
#include <memory>

namespace sycamorelb::inner {

/** Limits of the event loop. */
struct rpc_loop_options {
  std::size_t Workers = 2;                  ///< Threads for slow handlers.
  std::size_t MaxQueuedJobs = 256;          ///< Jobs in the queue at most.
  millis HandshakeTimeout{5000};            ///< See addListenerWithTimeouts.
  millis IdleTimeout{120'000};              ///< See addListenerWithTimeouts.
  std::size_t MaxConnections = 512;         ///< Accepted connections at most.
  std::uint64_t MessageWords = 256U << 10U; ///< Largest incoming message, in
                                            ///< 8-byte words.
};

/** Activity of a connection. The bootstrap capability updates it; the loop
 * reads it to apply the timeouts. */
struct connection_activity {
  bool Authenticated = false; ///< Whether the peer has authenticated.
  steady_time LastUse{};      ///< Time of the last call.
};

/** Owns the event-loop thread. The destructor closes all connections. */
class rpc_loop {
public:
  explicit rpc_loop(const rpc_loop_options &Options = {});
  ~rpc_loop();
  rpc_loop(const rpc_loop &) = delete;
  auto operator=(const rpc_loop &) -> rpc_loop & = delete;

  /**
   * Accepts Cap'n Proto RPC connections on Address ("ip:port", port 0 for any).
   * @param MakeBootstrap makes the bootstrap capability of each connection; it
   * runs on the event-loop thread.
   * @return the bound port; Unreachable when the address cannot be bound.
   */
  auto addListener(const std::string &Address,
                   std::function<capnp::Capability::Client()> MakeBootstrap)
      -> result<std::uint16_t>;

  using bootstrap_factory = std::function<capnp::Capability::Client(
      const std::shared_ptr<connection_activity> &)>;
  /** Like addListener, but closes a connection that is not authenticated within
   * HandshakeTimeout or that is idle for IdleTimeout. */
  auto addListenerWithTimeouts(const std::string &Address,
                               bootstrap_factory MakeBootstrap)
      -> result<std::uint16_t>;

  /**
   * Runs Job on a worker thread and resolves the promise on the event loop.
   * Must be called on the event-loop thread. The promise is rejected as
   * overloaded when the queue is full.
   */
  auto runOnWorker(std::function<void()> Job) -> kj::Promise<void>;

  /** Closes all listeners and accepted connections and waits for running jobs;
   * no handler runs afterwards. Clients on the loop continue to work. */
  void stopServing();

  /** @return the executor of the event-loop thread. */
  auto executor() const -> const kj::Executor &;
  /** @return the network; call only on the event-loop thread. */
  auto network() -> kj::Network &;
  /** @return the timer; call only on the event-loop thread. */
  auto timer() -> kj::Timer &;
  /** @return the number of accepted connections that are open. */
  auto openConnections() const -> std::size_t;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace sycamorelb::inner
