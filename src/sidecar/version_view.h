/** @file version_view.h Which versions of a service have targets, and how they
 * are used under the rollout orders.
 *
 * A process that starts may lack all decisions: the others have started as
 * well, and the store came back from an older copy. What remains are the
 * targets. See docs/design/version-absence.md. */
#pragma once

#include "sidecar/node_state.h"

namespace sycamorelb::sidecar {

/** @return the newest rollout of a service, or null. */
auto findRollout(const node_state &State, const service_id &Service)
    -> const rollout::rollout_state *;

/** Records which versions have ready targets. Called periodically, and before
 * versionAbsence(). */
void noteVersions(node_state &State);

/** @return for how long no target of another version than the rollout's was
 * seen ready. */
auto versionAbsence(const node_state &State,
                    const rollout::rollout_state &Rollout)
    -> rollout::version_absence;

/** @return whether the version of a rollout is the only one of its service that
 * has targets; nothing can be moved from or back to another one. */
auto isOnlyVersion(const node_state &State,
                   const rollout::rollout_state &Rollout) -> bool;

/** @return the oldest version among the targets of a service. */
auto oldestVersion(const node_state &State, const service_id &Service)
    -> version_id;

/** Decides how the versions of a service are used. */
struct version_rule {
  const rollout::rollout_state *Rollout = nullptr; ///< Null without an order.
  version_id Base;        ///< See rollout::versionUse().
  bool IsOnlyNew = false; ///< See isOnlyVersion().
  auto useOf(const version_id &Version) const -> rollout::version_use {
    return rollout::versionUse(Version, Rollout, Base, IsOnlyNew);
  }
};

/** @return the rule for a service under the known rollout orders. */
auto findVersionRule(const node_state &State, const service_id &Service)
    -> version_rule;

/** @return how a target may be used under the known rollout orders. */
auto useOfTarget(const node_state &State, const mesh::target_record &Target)
    -> rollout::version_use;

} // namespace sycamorelb::sidecar
