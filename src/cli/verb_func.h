/** @file verb_func.h Functions that run the verbs. */
#pragma once

#include "cli/cli_type.h"

namespace sycamorelb::cli {

auto runNode(const arguments &Arguments) -> exit_code;
auto runExplain(const arguments &Arguments) -> exit_code;
auto runSidecar(const arguments &Arguments) -> exit_code;
auto runCheck(const arguments &Arguments) -> exit_code;
auto runApply(const arguments &Arguments) -> exit_code;
auto runDiff(const arguments &Arguments) -> exit_code;
auto runMove(const arguments &Arguments) -> exit_code;
auto runZone(const arguments &Arguments) -> exit_code;
auto runOutcome(const arguments &Arguments) -> exit_code;
auto runStatus(const arguments &Arguments) -> exit_code;
auto runDump(const arguments &Arguments) -> exit_code;
auto runDrain(const arguments &Arguments) -> exit_code;
auto runVersion(const arguments &Arguments) -> exit_code;

} // namespace sycamorelb::cli
