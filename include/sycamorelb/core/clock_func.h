/** @file clock_func.h Clock access; decision logic takes times as parameters.
 */
#pragma once

#include "sycamorelb/core/unit_type.h"

namespace sycamorelb {

/** @return the monotonic time. */
auto steadyNow() -> steady_time;

/** @return the wall time. */
auto wallNow() -> wall_ms;

} // namespace sycamorelb
