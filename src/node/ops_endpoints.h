/** @file ops_endpoints.h HTTP endpoints of the ops port. */
#pragma once

#include "node/state_dump.h"

namespace sycamorelb::node {

/** Adds the endpoints for metrics, health, readiness, the state dump and
 * announcements to the ops server. */
void addOpsEndpoints(proxy::http_server &Server, const dump_sources &Sources,
                     admission_control &Admission);

/** @return why the node is not ready; empty if it is ready. */
auto notReadyReason(const node_context &Context) -> std::string;

/** @return the announcement in a JSON body, or InvalidArgument. */
auto parseAnnouncement(const std::string &Body) -> result<announcement>;

} // namespace sycamorelb::node
