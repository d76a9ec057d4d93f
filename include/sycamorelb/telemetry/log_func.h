/** @file log_func.h Structured logging: one JSON object per line. */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/result_type.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace sycamorelb::telemetry {

/** Severity of a log line. */
enum class log_level { Debug, Info, Warning, Error };

/** Context of a log line. */
struct log_context {
  std::string Step;      ///< Step of the program, such as "log.append".
  std::string Peer;      ///< Peer involved; empty for a local step.
  std::string RequestId; ///< Request id; empty if there is none.
};

/**
 * Starts logging to standard error.
 * @param Level lowest level that is logged.
 * @param Node id of this node, included in each line.
 */
void startLogging(log_level Level, const node_id &Node);

/** Logs one line; does nothing before startLogging(). */
void logLine(log_level Level, const log_context &Context,
             std::string_view Message);

/** Logs one line with additional fields. */
void logLine(log_level Level, const log_context &Context,
             std::string_view Message, const nlohmann::json &Fields);

/** Logs an error with its step, peer and code. */
void logError(log_level Level, const error &Error);

/** @return the level of a name such as "info", or an InvalidArgument error. */
auto parseLogLevel(std::string_view Name) -> result<log_level>;

} // namespace sycamorelb::telemetry
