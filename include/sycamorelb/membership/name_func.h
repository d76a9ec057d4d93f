/** @file name_func.h Names of states in logs, state dumps and command output.
 */
#pragma once

#include "sycamorelb/membership/member_type.h"

namespace sycamorelb::membership {

/** @return the name of a member's state. */
constexpr auto stateName(member_state State) -> const char * {
  switch (State) {
  case member_state::Alive:
    return "alive";
  case member_state::Suspect:
    return "suspect";
  case member_state::Leaving:
    return "leaving";
  case member_state::Dead:
    return "dead";
  }
  return "dead";
}

/** @return the name of an upstream's load state. */
constexpr auto upstreamStateName(upstream_state State) -> const char * {
  switch (State) {
  case upstream_state::Cold:
    return "cold";
  case upstream_state::Warm:
    return "warm";
  case upstream_state::Draining:
    return "draining";
  }
  return "draining";
}

} // namespace sycamorelb::membership
