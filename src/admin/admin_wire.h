/** @file admin_wire.h Conversion between plain structs and the admin schema. */
#pragma once

#include "admin.capnp.h"
#include "sycamorelb/admin/admin_type.h"

namespace sycamorelb::admin {

void writeOutcome(wire::Outcome::Builder Out, const outcome &Outcome);
auto readOutcome(wire::Outcome::Reader In) -> outcome;
void writeStatus(wire::Status::Builder Out, const status &Status);
auto readStatus(wire::Status::Reader In) -> status;
void writeMove(wire::MoveRequest::Builder Out, const move_request &Move);
auto readMove(wire::MoveRequest::Reader In) -> move_request;

} // namespace sycamorelb::admin
