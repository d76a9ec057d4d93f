/** @file proxy_core.h State shared by all calls of a proxy. */
#pragma once

#include "proxy/caller_watch.h"
#include "proxy/connection_pool.h"

#include "sycamorelb/proxy/proxy_handler.h"

#include <atomic>

namespace sycamorelb::proxy {

/** Counters behind proxy_stats. */
struct proxy_counters {
  std::atomic<std::uint64_t> Opened{0};    ///< See proxy_stats.
  std::atomic<std::uint64_t> Reused{0};    ///< See proxy_stats.
  std::atomic<std::uint64_t> Retries{0};   ///< See proxy_stats.
  std::atomic<std::uint64_t> Hedges{0};    ///< See proxy_stats.
  std::atomic<std::uint64_t> Cancelled{0}; ///< See proxy_stats.
  std::atomic<std::uint64_t> Silent{0};    ///< See proxy_stats.
  std::atomic<std::uint64_t> Truncated{0}; ///< See proxy_stats.
};

/** Options, hooks, connection pool and counters of a proxy. */
struct proxy_core {
  proxy_core(proxy_options Options, entry_hooks Entry,
             admission_hooks Admission)
      : Options(Options), Entry(std::move(Entry)),
        Admission(std::move(Admission)),
        Pool(Options.PoolIdlePerPeer, Options.PoolIdleTimeout) {}

  proxy_options Options;     ///< Limits and timeouts.
  entry_hooks Entry;         ///< Decisions of the entry node.
  admission_hooks Admission; ///< Decisions of the admission node.
  connection_pool Pool;      ///< Idle connections to peers.
  caller_watch Watch;        ///< Watches callers whose calls wait in a hook.
  proxy_counters Counters;   ///< Counters since the start.
};

} // namespace sycamorelb::proxy
