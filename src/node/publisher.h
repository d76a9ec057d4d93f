/** @file publisher.h Publishes mutations in the log and finds their fate. */
#pragma once

#include "node/config_loop.h"
#include "sycamorelb/config/record_type.h"

#include <deque>
#include <mutex>

namespace sycamorelb::node {

/** What is known about the fate of a mutation. */
enum class publish_kind {
  Accepted,    ///< In force; the outcome names the version.
  Rejected,    ///< Replay rejected it; nothing changed.
  NotAccepted, ///< The log certainly did not take it; nothing changed.
  Unknown,     ///< It may take effect; ask again with the same request id.
};

/** Fate of a mutation. */
struct publish_result {
  publish_kind Kind = publish_kind::Unknown; ///< Fate.
  log_offset Version;                        ///< Deciding record, if known.
  std::string Reason;                        ///< For people.
};

/** Publishes mutations. Thread safe. */
class publisher {
public:
  publisher(node_context &Context, config_loop &Config);

  /**
   * Appends a record and waits until replay has decided.
   * A request id whose outcome is known is not appended again. A repeat is
   * never answered NotAccepted while an earlier append of this node with the
   * same request id may have taken effect.
   * @param Timeout time for append and decision.
   */
  auto publish(const config::record &Record, millis Timeout) -> publish_result;

  /** @return the fate of an earlier request, after one read of the log. */
  auto lookUp(const request_id &Request) -> publish_result;

private:
  auto decided(const request_id &Request) const
      -> std::optional<publish_result>;
  auto awaitDecision(const request_id &Request, steady_time Deadline)
      -> std::optional<publish_result>;

  auto publishOnce(const config::record &Record, millis Timeout)
      -> publish_result;
  void noteUnknown(const request_id &Request);
  auto wasUnknown(const request_id &Request) -> bool;

  node_context &Context;
  config_loop &Config;
  std::mutex Mutex; // Guards Undecided; leaf lock.
  std::deque<request_id> Undecided;
};

} // namespace sycamorelb::node
