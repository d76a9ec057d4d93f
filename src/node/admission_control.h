/** @file admission_control.h Admission control of the upstreams beside this
 * node. */
#pragma once

#include "node/brake_board.h"
#include "node/node_context.h"
#include "sycamorelb/moves/move_type.h"
#include "sycamorelb/proxy/proxy_handler.h"

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>

namespace sycamorelb::node {

/** Announcement that an upstream sent. */
struct announcement {
  membership::upstream_info Info; ///< Its service, version and capacity.
  std::string Instance;           ///< Differs after a restart; may be empty.
};

/** A finished call; evidence on the version that ran it. */
struct finished_call {
  service_id Service;        ///< Service.
  version_id Version;        ///< Version that ran it.
  route_id Route;            ///< Route of the call.
  moves::call_sample Sample; ///< Outcome and latency.
};

/** Owns the announced upstreams, their limits and queues. Thread safe. */
class admission_control {
public:
  /**
   * @param OnFinished receives each call that an upstream worked on.
   */
  admission_control(node_context &Context, const brake_registry &Brakes,
                    std::function<void(const finished_call &)> OnFinished);
  ~admission_control();
  admission_control(const admission_control &) = delete;
  auto operator=(const admission_control &) -> admission_control & = delete;

  /** Adds an upstream or renews its lease. */
  void announce(const announcement &Announcement);
  /** Stops new work for an upstream; work in flight finishes. */
  void withdraw(const service_id &Service, const std::string &Address);
  /** Removes upstreams whose lease expired and refuses queued work that would
   * miss its deadline. */
  void tick();

  /** @return the upstreams with their current limits, for gossip. */
  auto upstreams() const -> std::vector<membership::upstream_info>;
  /** @return whether no call holds a slot. */
  auto isIdle() const -> bool;

  /** Waits for a slot of an upstream; see proxy::admission_hooks. */
  auto admit(const proxy::admission_request &Request,
             proxy::cancellation &Cancel)
      -> std::variant<proxy::admission_ticket, proxy::admission_refusal>;
  /** Frees the slot of a finished call. */
  void release(const proxy::admission_request &Request,
               const proxy::admission_ticket &Ticket,
               const proxy::call_outcome &Outcome);

  /** @return limits and queues, for the state dump. */
  auto dump() const -> nlohmann::json;

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::node
