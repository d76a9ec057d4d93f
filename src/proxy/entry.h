/** @file entry.h Picks targets for a call and tries them. */
#pragma once

#include "proxy/admission.h"

namespace sycamorelb::proxy {

/** Handles a call from a caller. */
void handleEntry(proxy_core &Core, exchange &Exchange);

} // namespace sycamorelb::proxy
