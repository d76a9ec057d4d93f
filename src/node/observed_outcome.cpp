/** @file observed_outcome.cpp Outcomes of attempts as limits and statistics
 * count them. */
#include "node/observed_outcome.h"

namespace sycamorelb::node {

static auto notRunOutcome(const proxy::call_outcome &Outcome)
    -> limits::call_outcome {
  if (Outcome.Started) {
    return limits::call_outcome::Refused;
  }
  return Outcome.Step == "connect" ? limits::call_outcome::Unreachable
                                   : limits::call_outcome::NotStarted;
}

auto observedOutcome(const proxy::call_outcome &Outcome)
    -> limits::call_outcome {
  switch (Outcome.Kind) {
  case proxy::outcome_kind::NotRun:
    return notRunOutcome(Outcome);
  case proxy::outcome_kind::Unknown:
    return limits::call_outcome::Timeout;
  case proxy::outcome_kind::Answered:
    return Outcome.Status >= 500 ? limits::call_outcome::Failure
                                 : limits::call_outcome::Success;
  case proxy::outcome_kind::Cancelled:
    return Outcome.Started ? limits::call_outcome::Cancelled
                           : limits::call_outcome::NotStarted;
  }
  return limits::call_outcome::NotStarted;
}

auto outcomeName(proxy::outcome_kind Kind) -> const char * {
  switch (Kind) {
  case proxy::outcome_kind::NotRun:
    return "not_run";
  case proxy::outcome_kind::Unknown:
    return "unknown";
  case proxy::outcome_kind::Answered:
    return "answered";
  case proxy::outcome_kind::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

} // namespace sycamorelb::node
