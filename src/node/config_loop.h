/** @file config_loop.h Threads that keep the configuration up to date. */
#pragma once

#include "node/node_context.h"

#include <functional>
#include <memory>

namespace sycamorelb::node {

/** Receives configuration records from the log or from peers and notifies peers
 * of new ones. */
class config_loop {
public:
  /**
   * @param Context must outlive the loop.
   * @param OnAdvance is called after the snapshot changed, on any thread.
   */
  config_loop(node_context &Context,
              std::function<void(const config::chain_point &)> OnAdvance);
  ~config_loop();
  config_loop(const config_loop &) = delete;
  auto operator=(const config_loop &) -> config_loop & = delete;

  /** Starts the threads. */
  void start();
  /** Stops and joins the threads. */
  void stop();

  /** Records the log position of a peer, from gossip. */
  void onPeerPoint(const node_id &From, const std::string &Address,
                   const config::chain_point &Point);
  /** Handles a notice of a peer; it contains the new records if they fit. */
  void onNotice(const node_id &From, const std::string &Address,
                const inner::config_notice &Notice);

  /**
   * Reads the log once and applies the new records.
   * @param Wait long-poll timeout.
   * @return whether the log service responded.
   */
  auto readLog(millis Wait) -> bool;

  /** Waits until the snapshot reaches Position or Deadline passes.
   * @return whether the position was reached. */
  auto waitFor(log_offset Position, steady_time Deadline) -> bool;

  /** @return the time since the node learned of a position that it has not
   * reached yet; 0 if it is up to date. */
  auto timeBehind() const -> micros;
  /** @return whether the last read of the log succeeded. */
  auto logAvailable() const -> bool;

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::node
