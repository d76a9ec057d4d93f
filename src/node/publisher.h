/** @file publisher.h Appends mutations to the log and finds their outcome. */
#pragma once

#include "node/config_loop.h"
#include "sycamorelb/config/record_type.h"

#include <deque>
#include <mutex>

namespace sycamorelb::node {

/** Known outcome of a mutation. */
enum class publish_kind {
  Accepted,    ///< In force, as of the version of the result.
  Rejected,    ///< Replay rejected it; nothing changed.
  NotAccepted, ///< Certainly not in the log; nothing changed.
  Unknown,     ///< May take effect; retry with the same request id.
};

/** Outcome of a mutation. */
struct publish_result {
  publish_kind Kind = publish_kind::Unknown; ///< Outcome.
  log_offset Version; ///< Offset of its record, if known.
  std::string Reason; ///< Text for operators.
};

/** Publishes mutations. Thread safe. */
class publisher {
public:
  publisher(node_context &Context, config_loop &Config);

  /**
   * Appends a record and waits until replay has accepted or rejected it.
   * A request id with a known outcome is not appended again. A repeated request
   * never returns NotAccepted while an earlier append of this node with the
   * same request id may have taken effect.
   * @param Timeout time for append and replay.
   */
  auto publish(const config::record &Record, millis Timeout) -> publish_result;

  /** @return the outcome of an earlier request; reads the log once if it is not
   * known yet. */
  auto lookUp(const request_id &Request) -> publish_result;

private:
  auto findDecision(const request_id &Request) const
      -> std::optional<publish_result>;
  auto awaitDecision(const request_id &Request, steady_time Deadline)
      -> std::optional<publish_result>;

  auto publishOnce(const config::record &Record, millis Timeout)
      -> publish_result;
  void recordUndecided(const request_id &Request);
  auto isUndecided(const request_id &Request) -> bool;

  node_context &Context;
  config_loop &Config;
  std::mutex Mutex; // Guards Undecided; leaf lock.
  std::deque<request_id> Undecided;
};

} // namespace sycamorelb::node
