/** @file decision_log.h Log lines about decisions, bounded in volume. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/event/loop.h"

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string_view>
#include <variant>

namespace sycamorelb::sidecar {

/** Importance of a kind of line; the least important are left out first. */
enum class log_class : std::uint8_t {
  Routine,  ///< A call that was served.
  Decision, ///< A refusal, a failure or a repeat.
  State,    ///< What the process believes has changed.
};

/** Member of a log line. */
struct log_field {
  std::string_view Name;                              ///< Member name.
  std::variant<std::string_view, std::int64_t> Value; ///< Text or number.
};

/**
 * Writes JSON lines to standard output. Lines are collected and written at most
 * a few times a second. Each kind of line has a budget a second; what goes
 * beyond it is counted and told in one line.
 */
class decision_log {
public:
  decision_log(event::loop &Loop, const node_id &Node);
  ~decision_log();
  decision_log(const decision_log &) = delete;
  auto operator=(const decision_log &) -> decision_log & = delete;

  /** Writes one line.
   * @param Event kind of the line, such as "call.refused". */
  void write(log_class Class, std::string_view Event,
             std::initializer_list<log_field> Fields);
  /** Writes what is collected. */
  void flush();
  /** @return lines that were left out since the start. */
  auto suppressed() const -> std::uint64_t;

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::sidecar
