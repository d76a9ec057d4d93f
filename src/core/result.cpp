/** @file result.cpp Error code names and error descriptions. */
#include "sycamorelb/core/result_type.h"

namespace sycamorelb {

auto errorCodeName(error_code Code) -> const char * {
  switch (Code) {
  case error_code::InvalidArgument:
    return "invalid_argument";
  case error_code::NotFound:
    return "not_found";
  case error_code::Conflict:
    return "conflict";
  case error_code::Unreachable:
    return "unreachable";
  case error_code::Timeout:
    return "timeout";
  case error_code::Overloaded:
    return "overloaded";
  case error_code::Unauthorized:
    return "unauthorized";
  case error_code::Corrupt:
    return "corrupt";
  case error_code::Internal:
    return "internal";
  }
  return "internal";
}

auto describe(const error &Error) -> std::string {
  auto Text = Error.Step;
  if (!Error.Peer.empty()) {
    Text += " at " + Error.Peer;
  }
  return Text + ": " + errorCodeName(Error.Code) + ": " + Error.Message;
}

} // namespace sycamorelb
