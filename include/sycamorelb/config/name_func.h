/** @file name_func.h Names of move phases in stored states and output. */
#pragma once

#include "sycamorelb/config/state_type.h"

namespace sycamorelb::config {

/** @return the external name of a move phase. */
constexpr auto phaseName(move_phase Phase) -> const char * {
  switch (Phase) {
  case move_phase::Running:
    return "running";
  case move_phase::Done:
    return "done";
  case move_phase::TakenBack:
    return "taken_back";
  }
  return "running";
}

} // namespace sycamorelb::config
