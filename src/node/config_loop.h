/** @file config_loop.h Threads that keep the snapshot current. */
#pragma once

#include "node/node_context.h"

#include <functional>
#include <memory>

namespace sycamorelb::node {

/** Reads the log or pulls from peers, and passes advances on. */
class config_loop {
public:
  /**
   * @param Context must outlive the loop.
   * @param OnAdvance runs after the snapshot changed, on any thread.
   */
  config_loop(node_context &Context,
              std::function<void(const config::chain_point &)> OnAdvance);
  ~config_loop();
  config_loop(const config_loop &) = delete;
  auto operator=(const config_loop &) -> config_loop & = delete;

  /** Starts the threads. */
  void start();
  /** Ends the threads. */
  void stop();

  /** Notes the position of a peer, from gossip. */
  void onPeerPoint(const node_id &From, const std::string &Address,
                   const config::chain_point &Point);
  /** Takes a notice of a peer, with records if they fitted. */
  void onNotice(const node_id &From, const std::string &Address,
                const inner::config_notice &Notice);

  /**
   * Reads the log once and applies what is new.
   * @param Wait long-poll time.
   * @return whether the log answered.
   */
  auto readLog(millis Wait) -> bool;

  /** Waits until the snapshot is at Position or Deadline passes.
   * @return whether the position was reached. */
  auto waitFor(log_offset Position, steady_time Deadline) -> bool;

  /** @return the time since the node first heard of a position that it does not
   * hold; 0 if it is current. */
  auto behind() const -> micros;
  /** @return whether the last contact with the log succeeded. */
  auto logAvailable() const -> bool;

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::node
