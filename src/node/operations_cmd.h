/** @file operations_cmd.h Operators' commands: checked in full, then published.
 */
#pragma once

#include "node/publisher.h"
#include "sycamorelb/admin/admin_type.h"

namespace sycamorelb::node {

/** Carries out the commands of operators on one node. Thread safe. */
class operations {
public:
  /** All must outlive the object. */
  operations(node_context &Context, publisher &Publisher);

  /** Publishes a declaration; nothing is published when it has a fault. */
  auto apply(const request_id &Request, const std::string &Text,
             const std::string &File) -> admin::outcome;
  /** Starts a traffic move; its id is the request id. */
  auto startMove(const request_id &Request, const admin::move_request &Move)
      -> admin::outcome;
  /** Ends the running move of a service; all calls return to the old version.
   */
  auto takeBackMove(const request_id &Request, const service_id &Service)
      -> admin::outcome;
  /** Takes a zone out of service or back in. */
  auto setZone(const request_id &Request, const zone_id &Zone, bool InService)
      -> admin::outcome;
  /** @return the fate of an earlier request and how far it has spread. */
  auto findOutcome(const request_id &Request) -> admin::outcome;
  /** @return the state of the mesh. */
  auto status() const -> admin::status;
  /** @return the declaration in force. */
  auto declaration() const -> admin::declaration_text;

private:
  auto publish(const config::record &Record) -> admin::outcome;
  void measureSpread(admin::outcome &Outcome);
  auto holds(const membership::member &Member, log_offset Version) -> bool;

  node_context &Context;
  publisher &Publisher;
  std::mutex SpreadMutex; // Guards KnownPositions; leaf lock.
  std::map<node_id, log_offset> KnownPositions;
};

} // namespace sycamorelb::node
