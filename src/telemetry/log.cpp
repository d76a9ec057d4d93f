/** @file log.cpp JSON Lines logging based on log4cplus. */
#include "sycamorelb/telemetry/log_func.h"

#include "telemetry/json_layout.h"

#include <atomic>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <memory>
#include <nlohmann/json.hpp>

namespace sycamorelb::telemetry {

static auto Started = std::atomic<bool>(false);

static auto toLog4cplus(log_level Level) -> log4cplus::LogLevel {
  switch (Level) {
  case log_level::Debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case log_level::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case log_level::Warning:
    return log4cplus::WARN_LOG_LEVEL;
  case log_level::Error:
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

static auto levelName(log4cplus::LogLevel Level) -> const char * {
  if (Level >= log4cplus::ERROR_LOG_LEVEL) {
    return "error";
  }
  if (Level >= log4cplus::WARN_LOG_LEVEL) {
    return "warning";
  }
  return Level >= log4cplus::INFO_LOG_LEVEL ? "info" : "debug";
}

json_layout::json_layout(std::string NodeName) : Node(std::move(NodeName)) {}

void json_layout::formatAndAppend(
    log4cplus::tostream &Output,
    const log4cplus::spi::InternalLoggingEvent &Event) {
  auto Time = std::chrono::duration_cast<std::chrono::milliseconds>(
      Event.getTimestamp().time_since_epoch());
  auto Line = nlohmann::ordered_json{
      {"time_ms", Time.count()},
      {"level", levelName(Event.getLogLevel())},
      {"node", Node},
  };
  auto MessageFields =
      nlohmann::ordered_json::parse(Event.getMessage(), nullptr,
                                    /*allow_exceptions=*/false);
  if (MessageFields.is_object()) {
    Line.update(MessageFields);
  } else {
    Line["message"] = Event.getMessage();
  }
  Output << Line.dump(-1, ' ', false,
                      nlohmann::ordered_json::error_handler_t::replace)
         << '\n';
}

void startLogging(log_level Level, const node_id &Node) {
  static auto Initializer = log4cplus::Initializer();
  auto Appender = log4cplus::SharedAppenderPtr(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/true,
                                     /*immediateFlush=*/true));
  Appender->setLayout(std::make_unique<json_layout>(Node.Value));
  auto Root = log4cplus::Logger::getRoot();
  Root.removeAllAppenders();
  Root.addAppender(Appender);
  Root.setLogLevel(toLog4cplus(Level));
  Started = true;
}

void logLine(log_level Level, const log_context &Context,
             std::string_view Message, const nlohmann::json &Fields) {
  if (!Started) {
    return;
  }
  auto Root = log4cplus::Logger::getRoot();
  if (!Root.isEnabledFor(toLog4cplus(Level))) {
    return;
  }
  auto Line = nlohmann::ordered_json{{"step", Context.Step}};
  if (!Context.Peer.empty()) {
    Line["peer"] = Context.Peer;
  }
  if (!Context.RequestId.empty()) {
    Line["request_id"] = Context.RequestId;
  }
  Line["message"] = Message;
  for (const auto &[Name, Value] : Fields.items()) {
    Line[Name] = Value;
  }
  Root.log(toLog4cplus(Level),
           Line.dump(-1, ' ', false,
                     nlohmann::ordered_json::error_handler_t::replace));
}

void logLine(log_level Level, const log_context &Context,
             std::string_view Message) {
  logLine(Level, Context, Message, nlohmann::json::object());
}

void logError(log_level Level, const error &Error) {
  logLine(Level, {Error.Step, Error.Peer, ""}, Error.Message,
          {{"code", errorCodeName(Error.Code)}});
}

auto parseLogLevel(std::string_view Name) -> result<log_level> {
  if (Name == "debug") {
    return log_level::Debug;
  }
  if (Name == "info") {
    return log_level::Info;
  }
  if (Name == "warning") {
    return log_level::Warning;
  }
  if (Name == "error") {
    return log_level::Error;
  }
  return error{error_code::InvalidArgument, "settings.log_level", "",
               "the log level must be debug, info, warning or error"};
}

} // namespace sycamorelb::telemetry
