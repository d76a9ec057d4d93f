/** @file admission.h Runs calls at the target beside this node. */
#pragma once

#include "sidecar/node_state.h"
#include "sycamorelb/inner/mesh_message_type.h"

#include <functional>
#include <memory>

namespace sycamorelb::sidecar {

/** Identifies a call among all calls of all entry nodes. */
struct call_key {
  node_id Node;                  ///< Host of the entry node.
  std::uint64_t Incarnation = 0; ///< Start of its process.
  inner::call_number Call;       ///< Its number there.
  // clang-tidy reports the code that the compiler writes for the comparison.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const call_key &) const = default;
};

/**
 * The only way to the target beside this node. Everything that binds the
 * target is enforced here: its state, its slots, its rate while it is cold,
 * its zone, its version. All calls that reach the target pass through submit().
 */
class admission {
public:
  using reply_handler = std::function<void(const inner::reply_message &)>;
  /** Identifies the connection by which a call came; null for this host. */
  using origin = const void *;

  /** @param OnTargetLost called when the target can't be reached.
   * @param OnBrake called when the target's version failed too often. */
  admission(node_state &State, std::function<void()> OnTargetLost,
            std::function<void()> OnBrake);
  ~admission();
  admission(const admission &) = delete;
  auto operator=(const admission &) -> admission & = delete;

  /** Runs a call, or tells at once that it is not run. A call that was
   * submitted before is not run again: Reply gets its outcome. */
  void submit(const call_key &Key, inner::forward_message Call,
              reply_handler Reply, origin Origin = nullptr);
  /** Gives the outcome of a call whose connection was lost. A call that has
   * not arrived is told as not run, and a late copy of it is not run. A process
   * that is younger than the call can't tell what the former one did with it.
   * @param Age time since the call was sent. */
  void resume(const call_key &Key, micros Age, reply_handler Reply,
              origin Origin = nullptr);
  /** The caller no longer waits: a waiting call is dropped, an idempotent one
   * is broken off, any other is left to finish. */
  void cancel(const call_key &Key);
  /** A connection has ended. Calls that came by it, and that were not asked for
   * by another one since, are dropped as by cancel() unless they are asked for
   * soon. */
  void noteOriginLost(origin Origin);

  /** Takes over what a heartbeat or another node says of the target.
   * @param ColdFor how long it stays cold; nothing if that is unknown.
   * @param ServedBefore an earlier process of this node may just have sent
   * calls to it. */
  void setTarget(const mesh::target_record &Target,
                 std::optional<micros> ColdFor, bool ServedBefore = false);
  /** Looks again at what may be admitted, after a change of the zones, orders
   * or configuration. */
  void reconsider();
  /** Treats the target as cold until its next heartbeat. */
  void assumeCold();

  /** @return the load of the target now. */
  auto load() const -> dispatch::load_report;
  /** @return calls at the target or in the queue. */
  auto busy() const -> std::size_t;
  /** @return tallies of the target since the service's newest order. */
  auto evidence() const -> const rollout::version_evidence &;
  /** Forgets the tallies, for a new order. */
  void clearEvidence();

private:
  struct implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::sidecar
