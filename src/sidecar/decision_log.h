/** @file decision_log.h Rate-limited structured log. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/event/loop.h"

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string_view>
#include <variant>

namespace sycamorelb::sidecar {

/** Importance of a log event; less important events have a lower rate limit. */
enum class log_class : std::uint8_t {
  Routine,  ///< A successful call.
  Decision, ///< A refusal, a failure or a retry.
  State,    ///< A change of the node's state.
};

/** Key and value of a log line. */
struct log_field {
  std::string_view Name;                              ///< Key.
  std::variant<std::string_view, std::int64_t> Value; ///< Text or number.
};

/**
 * Writes JSON lines to standard output. Lines are buffered and written in
 * batches. Each event has a limit of lines per second; lines over the limit are
 * dropped and their number is logged.
 */
class decision_log {
public:
  decision_log(event::loop &Loop, const node_id &Node);
  ~decision_log();
  decision_log(const decision_log &) = delete;
  auto operator=(const decision_log &) -> decision_log & = delete;

  /** Logs one line, unless its event is over the limit.
   * @param Event name of the event, such as "call.refused". */
  void write(log_class Class, std::string_view Event,
             std::initializer_list<log_field> Fields);
  /** Writes the buffered lines. */
  void flush();
  /** @return the number of lines dropped since the start. */
  auto suppressed() const -> std::uint64_t;

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::sidecar
