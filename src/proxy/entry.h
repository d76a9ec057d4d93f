/** @file entry.h Attempts, retries and hedging of a call at its entry node. */
#pragma once

#include "proxy/admission.h"

namespace sycamorelb::proxy {

/** Handles a call that arrived at the caller port. */
void handleEntry(proxy_core &Core, exchange &Exchange);

} // namespace sycamorelb::proxy
