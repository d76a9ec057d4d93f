/** @file json_layout.h log4cplus layout for JSON lines. */
#pragma once

#include <log4cplus/layout.h>
#include <string>

namespace sycamorelb::telemetry {

/**
 * Writes each event as one line with a JSON object: time, level and node,
 * followed by the fields of the JSON object in the event's message.
 */
class json_layout : public log4cplus::Layout {
public:
  /** @param NodeName id of this node, included in each line. */
  explicit json_layout(std::string NodeName);
  void
  formatAndAppend(log4cplus::tostream &Output,
                  const log4cplus::spi::InternalLoggingEvent &Event) override;

private:
  std::string Node;
};

} // namespace sycamorelb::telemetry
