/** @file socket_address.h Addresses of sockets, for the sources of this package
 * only. */
#pragma once

#include "sycamorelb/event/stream.h"

#include <netinet/in.h>

namespace sycamorelb::event {

/** @return the address for system calls. */
auto socketAddress(const endpoint &Endpoint) -> sockaddr_in;

} // namespace sycamorelb::event
