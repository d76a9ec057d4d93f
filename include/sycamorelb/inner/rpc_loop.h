/** @file rpc_loop.h The KJ event-loop thread and its listeners. */
#pragma once

#include "sycamorelb/core/result_type.h"
#include "sycamorelb/core/unit_type.h"

#include <capnp/capability.h>
#include <functional>
#include <kj/async-io.h>
#include <memory>

namespace sycamorelb::inner {

/** Bounds of the event loop. */
struct rpc_loop_options {
  std::size_t Workers = 2;          ///< Threads for slow handlers.
  std::size_t MaxQueuedJobs = 256;  ///< Jobs waiting for a worker at most.
  millis HandshakeTime{5000};       ///< For connections of addWatchedListener.
  millis IdleTime{120'000};         ///< For connections of addWatchedListener.
  std::size_t MaxConnections = 512; ///< Accepted connections at most.
  std::uint64_t MessageWords = 256U << 10U; ///< Size of an incoming message at
                                            ///< most, in 8-byte words.
};

/** What a bootstrap tells the loop about its connection. */
struct connection_watch {
  bool Trusted = false;  ///< Whether the peer has authenticated.
  steady_time LastUse{}; ///< Time of the last call.
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

  using watched_bootstrap = std::function<capnp::Capability::Client(
      const std::shared_ptr<connection_watch> &)>;
  /** Like addListener, but closes a connection that is not trusted after
   * HandshakeTime or that was not used for IdleTime. */
  auto addWatchedListener(const std::string &Address,
                          watched_bootstrap MakeBootstrap)
      -> result<std::uint16_t>;

  /**
   * Runs Job on a worker thread and yields its outcome on the event loop. Only
   * from the event-loop thread. The promise is rejected as overloaded when too
   * many jobs wait.
   */
  auto runOnWorker(std::function<void()> Job) -> kj::Promise<void>;

  /** Closes all listeners and accepted connections and waits for running jobs;
   * no handler runs afterwards. Clients on the loop still work. */
  void stopServing();

  /** @return the executor of the event-loop thread. */
  auto executor() const -> const kj::Executor &;
  /** @return the network; only from the event-loop thread. */
  auto network() -> kj::Network &;
  /** @return the timer; only from the event-loop thread. */
  auto timer() -> kj::Timer &;
  /** @return the number of accepted connections that are open. */
  auto openConnections() const -> std::size_t;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace sycamorelb::inner
