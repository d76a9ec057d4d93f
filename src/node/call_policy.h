/** @file call_policy.h Routing, retry and hedge decisions of the entry
 * node. */
#pragma once

#include "node/brake_board.h"
#include "node/node_context.h"
#include "sycamorelb/proxy/proxy_handler.h"

#include <memory>
#include <nlohmann/json_fwd.hpp>

namespace sycamorelb::node {

/** Owns the upstream statistics and the retry and hedge budgets of the entry
 * node. */
class call_policy {
public:
  /** Context and Brakes must outlive the policy. */
  call_policy(node_context &Context, const brake_registry &Brakes);
  ~call_policy();
  call_policy(const call_policy &) = delete;
  auto operator=(const call_policy &) -> call_policy & = delete;

  /** @return the hooks for the proxy; the policy must outlive them. */
  auto hooks() -> proxy::entry_hooks;

  /** @return the statistics of each upstream, for the state dump. */
  auto dump() const -> nlohmann::json;

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::node
