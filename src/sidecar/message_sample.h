/** @file message_sample.h Text that most messages between nodes resemble. */
#pragma once

#include <string>

namespace sycamorelb::sidecar {

/** @return encoded messages as they are sent most often, for the dictionary of
 * the compression. Equal in all processes of one build. */
auto sampleMessages() -> std::string;

} // namespace sycamorelb::sidecar
