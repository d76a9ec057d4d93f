/** @file node_fixture.h Nodes, a log service and upstreams in one process
 * for tests. */
#pragma once

#include "../standin/log_service.h"
#include "../standin/upstream_server.h"
#include "sycamorelb/admin/admin_client.h"
#include "sycamorelb/node/node.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sycamorelb::node_test {

/** Response to a call; Status is 0 if the connection failed. */
struct call_answer {
  int Status = 0;      ///< HTTP status.
  std::string Outcome; ///< Header x-sycamore-outcome.
  std::string Body;    ///< Body.
};

using call_headers = std::multimap<std::string, std::string>;

/** Waits at most 20 s for Condition. @return whether it became true. */
auto eventually(const std::function<bool()> &Condition) -> bool;

/** @return a declaration of zones z0 and z1, service s with versions v1 and v2,
 * the idempotent route GET /read and the non-idempotent route POST /write;
 * Timeout is the timeout of the routes in ms. */
auto declarationText(int Timeout = 5000) -> std::string;

/** Sends an HTTP request to a port on loopback. */
auto callPort(std::uint16_t Port, const std::string &Method,
              const std::string &Path, const call_headers &Headers = {},
              const std::string &Body = "") -> call_answer;

/** A mesh of Count nodes in this process; node I is in zone z(I mod 2). */
class mesh {
public:
  explicit mesh(std::size_t Count);

  /** Starts node Index, or restarts it with the same addresses. */
  void start(std::size_t Index);
  /** Destroys node Index without a drain. */
  void destroy(std::size_t Index) { Nodes[Index].reset(); }
  /** Starts a warm upstream of service s beside node Index. */
  auto addUpstream(std::size_t Index, const std::string &Version = "v1",
                   double ServiceMs = 2) -> standin::upstream_server &;

  /** @return a new operator connection to node Index. */
  auto admin(std::size_t Index) const -> std::unique_ptr<admin::admin_client>;
  /** Applies the declaration of declarationText at node Index. */
  auto apply(std::size_t Index, const std::string &Request,
             int Timeout = 5000) const -> admin::outcome;
  /** @return the configuration version in force at node Index. */
  auto version(std::size_t Index) const -> std::uint64_t;
  /** Waits until Version is in force at node Index. */
  auto waitForVersion(std::size_t Index, std::uint64_t Version) const -> bool;
  /** Applies a declaration and waits until all nodes have it and see Upstreams
   * upstreams. */
  void configure(std::size_t Upstreams);
  /** Waits until node Index sees Count upstreams that aren't draining. */
  auto waitForUpstreams(std::size_t Index, std::size_t Count) const -> bool;

  /** GET /read through node Index. */
  auto read(std::size_t Index) const -> call_answer;
  /** POST /write through node Index, with Key as idempotency key unless it is
   * empty. */
  auto write(std::size_t Index, const std::string &Key = "",
             const std::string &Token = "") const -> call_answer;
  /** Request to the ops port of node Index. */
  auto ops(std::size_t Index, const std::string &Method,
           const std::string &Path, const std::string &Body = "") const
      -> call_answer;

  standin::log_service Log; ///< Log service of the mesh.
  std::vector<settings::node_settings> Settings;
  std::vector<std::unique_ptr<node::node>> Nodes;
  std::vector<std::unique_ptr<standin::upstream_server>> Upstreams;
};

/** Assigns unused ports to all listeners of Settings. */
void choosePorts(settings::node_settings &Settings);

} // namespace sycamorelb::node_test
