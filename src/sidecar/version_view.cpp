/** @file version_view.cpp Which versions of a service have targets, and how
 * they are used. */
#include "sidecar/version_view.h"

#include "sycamorelb/dispatch/work_speed.h"

#include <algorithm>
#include <optional>

namespace sycamorelb::sidecar {

auto findRollout(const node_state &State, const service_id &Service)
    -> const rollout::rollout_state * {
  auto Found = State.Rollouts.find(Service);
  return Found == State.Rollouts.end() ? nullptr : &Found->second;
}

/** Share of the time in which service must return after a restart of all after
 * which a version that wasn't seen counts as gone. The rest is for the calls to
 * be moved. */
static constexpr auto MaxUnseenShare = 0.8;
/** The same, at least: targets that start announce themselves within some
 * heartbeats. */
static constexpr auto MinUnseenHeartbeats = 4;
/** Versions that weren't seen for so long are forgotten. */
static constexpr auto VersionMemory = micros(600'000'000);

static auto isReadyTarget(const mesh::host_record &Host) -> bool {
  return Host.Target.State == mesh::target_state::Ready && !Host.Leaving;
}

void noteVersions(node_state &State) {
  auto Now = State.Loop.now();
  for (const auto &[Node, Host] : State.Hosts.records()) {
    if (isReadyTarget(Host)) {
      State.VersionReadyAt[Host.Target.Service][Host.Target.Version] = Now;
    }
  }
  for (auto &[Service, Versions] : State.VersionReadyAt) {
    std::erase_if(Versions, [Now](const auto &Entry) {
      return Now - Entry.second > VersionMemory;
    });
  }
}

/** @return when a target of another version was last seen ready; the start of
 * the process if none was. */
static auto otherVersionReadyAt(const node_state &State,
                                const rollout::rollout_state &Rollout)
    -> steady_time {
  auto At = State.StartedAt;
  auto Found = State.VersionReadyAt.find(Rollout.Order.Service);
  if (Found != State.VersionReadyAt.end()) {
    for (const auto &[Version, ReadyAt] : Found->second) {
      At = Version == Rollout.Order.Version ? At : std::max(At, ReadyAt);
    }
  }
  return At;
}

auto versionAbsence(const node_state &State,
                    const rollout::rollout_state &Rollout)
    -> rollout::version_absence {
  const auto &Settings = State.Settings;
  auto ReadyAt = otherVersionReadyAt(State, Rollout);
  auto Absence = rollout::version_absence();
  Absence.Now = State.Loop.now() - ReadyAt;
  Absence.AtOrder = Rollout.SeenAt - ReadyAt;
  Absence.MaxUnseen =
      std::max(dispatch::scaled(Settings.Bounds.Recovery, MaxUnseenShare),
               micros(Settings.HeartbeatInterval) * MinUnseenHeartbeats);
  return Absence;
}

auto isOnlyVersion(const node_state &State,
                   const rollout::rollout_state &Rollout) -> bool {
  if (rollout::isFinal(Rollout.Stage) ||
      !versionAbsence(State, Rollout).isCertain()) {
    return false;
  }
  auto HasNew = false;
  for (const auto &[Node, Host] : State.Hosts.records()) {
    if (Host.Target.Service == Rollout.Order.Service && isReadyTarget(Host)) {
      if (Host.Target.Version != Rollout.Order.Version) {
        return false;
      }
      HasNew = true;
    }
  }
  return HasNew;
}

auto oldestVersion(const node_state &State, const service_id &Service)
    -> version_id {
  auto Base = std::optional<version_id>();
  for (const auto &[Node, Record] : State.Hosts.records()) {
    const auto &Target = Record.Target;
    auto Known =
        Target.Service == Service && Target.State != mesh::target_state::Absent;
    if (Known && (!Base || rollout::isOlderVersion(Target.Version, *Base))) {
      Base = Target.Version;
    }
  }
  return Base.value_or(version_id());
}

auto findVersionRule(const node_state &State, const service_id &Service)
    -> version_rule {
  const auto *Rollout = findRollout(State, Service);
  return Rollout == nullptr
             ? version_rule{nullptr, oldestVersion(State, Service), false}
             : version_rule{Rollout, {}, isOnlyVersion(State, *Rollout)};
}

auto useOfTarget(const node_state &State, const mesh::target_record &Target)
    -> rollout::version_use {
  return findVersionRule(State, Target.Service).useOf(Target.Version);
}

} // namespace sycamorelb::sidecar
