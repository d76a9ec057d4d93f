/** @file load_header.h Load report in the responses of an admission node. */
#pragma once

#include <string_view>

namespace sycamorelb::node {

/** "limit,in-flight,cold" of the upstream that answered; cold is 0 or 1. */
inline constexpr std::string_view LoadHeader = "x-sycamore-load";

} // namespace sycamorelb::node
