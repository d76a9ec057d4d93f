/** @file call_policy.h Decisions of the entry node about each call. */
#pragma once

#include "node/brake_board.h"
#include "node/node_context.h"
#include "sycamorelb/proxy/proxy_handler.h"

#include <memory>
#include <nlohmann/json_fwd.hpp>

namespace sycamorelb::node {

/** Owns what the entry node observes of upstreams, and the budgets. */
class call_policy {
public:
  /** Both must outlive the policy. */
  call_policy(node_context &Context, const brake_board &Brakes);
  ~call_policy();
  call_policy(const call_policy &) = delete;
  auto operator=(const call_policy &) -> call_policy & = delete;

  /** @return the hooks for the proxy; the policy must outlive them. */
  auto hooks() -> proxy::entry_hooks;

  /** @return what is observed of each upstream, for the state dump. */
  auto dump() const -> nlohmann::json;

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::node
