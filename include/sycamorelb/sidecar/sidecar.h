/** @file sidecar.h Node beside a target on the users' platform. */
#pragma once

#include "sycamorelb/core/result_type.h"
#include "sycamorelb/sidecar/settings_type.h"

#include <memory>
#include <string>

namespace sycamorelb::sidecar {

/**
 * A node that serves the callers on its host and runs calls at the target
 * beside it. One thread does all the work.
 */
class sidecar {
public:
  /**
   * Opens all listeners.
   * @param SettingsPath file that is read again when it changes.
   * @return the node, or Unreachable if an address can't be bound.
   */
  static auto create(const node_settings &Settings,
                     const std::string &SettingsPath)
      -> result<std::unique_ptr<sidecar>>;
  ~sidecar();
  sidecar(const sidecar &) = delete;
  auto operator=(const sidecar &) -> sidecar & = delete;

  /** Runs until SIGTERM or SIGINT, then stops gracefully: it stops being
   * ready, answers the calls in progress and new ones for a while, and ends
   * when none is left or the time for a stop is over. */
  void run();

private:
  struct implementation;
  explicit sidecar(std::unique_ptr<implementation> Impl);
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::sidecar
