/** @file operations_cmd.h Operator commands that change or show the
 * configuration. */
#pragma once

#include "node/publisher.h"
#include "sycamorelb/admin/admin_type.h"

namespace sycamorelb::node {

/** Executes operator commands. Thread safe. */
class operations {
public:
  /** Context and Publisher must outlive the object. */
  operations(node_context &Context, publisher &Publisher);

  /** Publishes a declaration; nothing is published if it is invalid. */
  auto apply(const request_id &Request, const std::string &Text,
             const std::string &File) -> admin::outcome;
  /** Starts a traffic move; the request id becomes its id. */
  auto startMove(const request_id &Request, const admin::move_request &Move)
      -> admin::outcome;
  /** Rolls back the running move of a service; all calls return to the old
   * version. */
  auto takeBackMove(const request_id &Request, const service_id &Service)
      -> admin::outcome;
  /** Takes a zone out of service or back in. */
  auto setZone(const request_id &Request, const zone_id &Zone, bool InService)
      -> admin::outcome;
  /** @return the outcome of an earlier request, and which nodes have received
   * it. */
  auto findOutcome(const request_id &Request) -> admin::outcome;
  /** @return nodes, moves and zones of the mesh. */
  auto status() const -> admin::status;
  /** @return the declaration in force. */
  auto declaration() const -> admin::declaration_text;

private:
  auto publish(const config::record &Record) -> admin::outcome;
  void measurePropagation(admin::outcome &Outcome);
  auto hasVersion(const membership::member &Member, log_offset Version) -> bool;

  node_context &Context;
  publisher &Publisher;
  std::mutex PositionsMutex; // Guards KnownPositions; leaf lock.
  std::map<node_id, log_offset> KnownPositions;
};

} // namespace sycamorelb::node
