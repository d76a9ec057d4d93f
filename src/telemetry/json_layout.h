/** @file json_layout.h log4cplus layout that writes JSON lines. */
#pragma once

#include <log4cplus/layout.h>
#include <string>

namespace sycamorelb::telemetry {

/**
 * Writes each event as one JSON object. The message of the event is itself an
 * encoded JSON object, to which the layout adds time, level and node.
 */
class json_layout : public log4cplus::Layout {
public:
  /** @param NodeName written with each line. */
  explicit json_layout(std::string NodeName);
  void
  formatAndAppend(log4cplus::tostream &Output,
                  const log4cplus::spi::InternalLoggingEvent &Event) override;

private:
  std::string Node;
};

} // namespace sycamorelb::telemetry
