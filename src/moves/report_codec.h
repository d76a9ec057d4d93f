/** @file report_codec.h Sizes of the parts of an encoded evidence report. */
#pragma once

#include "sycamorelb/moves/evidence_func.h"

namespace sycamorelb::moves {

/** Largest size of a window without its tallies: number and flags. */
inline constexpr std::size_t WindowOverhead = 12;

/** @return the encoded size of a tally. */
auto tallySize(const tally &Tally) -> std::size_t;

/** @return the largest encoded size of a route without its tallies. */
auto routeSize(const route_id &Route) -> std::size_t;

/** @return the largest encoded size of a report without its routes. */
auto headerSize(const evidence_report &Report) -> std::size_t;

} // namespace sycamorelb::moves
