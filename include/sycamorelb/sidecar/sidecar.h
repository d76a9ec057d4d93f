/** @file sidecar.h Sidecar process: the node that runs next to a target. */
#pragma once

#include "sycamorelb/core/result_type.h"
#include "sycamorelb/event/loop.h"
#include "sycamorelb/sidecar/settings_type.h"

#include <functional>
#include <memory>
#include <string>

namespace sycamorelb::sidecar {

/**
 * A node that accepts calls from the callers on its host, routes them to a
 * target, and runs calls of all nodes on the target of its host.
 * Single-threaded.
 */
class sidecar {
public:
  /**
   * Opens all listeners.
   * @param SettingsPath settings file, reloaded when it changes.
   * @return the node, or Unreachable if an address can't be bound.
   */
  static auto create(const node_settings &Settings,
                     const std::string &SettingsPath)
      -> result<std::unique_ptr<sidecar>>;
  /**
   * Opens all listeners of a node on an event loop that the caller runs;
   * several nodes may share it. The loop must outlive the node and not run
   * afterwards.
   * @param Incarnation greater than those of previous nodes on the same host.
   */
  static auto create(event::loop &Loop, const node_settings &Settings,
                     const std::string &SettingsPath, std::uint64_t Incarnation)
      -> result<std::unique_ptr<sidecar>>;
  ~sidecar();
  sidecar(const sidecar &) = delete;
  auto operator=(const sidecar &) -> sidecar & = delete;

  /** Starts the protocols with the store and the other nodes; run() does so
   * itself. */
  void start();
  /** Runs until SIGTERM or SIGINT, then shuts down gracefully, see stop(). */
  void run();
  /** Begins a graceful shutdown: reports not ready, still accepts calls that
   * end in time, and finishes the calls in progress. Does nothing if one has
   * begun.
   * @param OnStopped called when no call is left or the grace period is nearly
   * over. */
  void stop(std::function<void()> OnStopped);

private:
  struct implementation;
  explicit sidecar(std::unique_ptr<implementation> Impl);
  std::unique_ptr<event::loop> OwnLoop; ///< Null if the caller runs the loop.
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::sidecar
