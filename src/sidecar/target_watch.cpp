/** @file target_watch.cpp Tracks the state of the local target from its
 * heartbeats. */
#include "sidecar/target_watch.h"

namespace sycamorelb::sidecar {

/** Maximum sequence of a heartbeat from a target that has just started. */
static constexpr auto MaxStartSequence = std::uint64_t{2};

auto mayHaveServed(const target_watch &Watch, const target_heartbeat &Heartbeat)
    -> bool {
  return Watch.Known.State == mesh::target_state::Absent &&
         Heartbeat.Sequence > 1;
}

auto resumeTarget(target_watch &Watch, const mesh::target_record &Previous)
    -> bool {
  if (Watch.Known.State != mesh::target_state::Absent ||
      Previous.State != mesh::target_state::Ready) {
    return false;
  }
  Watch.Known = Previous;
  Watch.Sequence = 0;
  return true;
}

auto needsVerification(const target_watch &Watch,
                       const target_heartbeat &Heartbeat) -> bool {
  if (Watch.Known.State != mesh::target_state::Absent ||
      Heartbeat.Sequence <= MaxStartSequence ||
      Heartbeat.Target.State != mesh::target_state::Ready) {
    return false;
  }
  const auto &Previous = Watch.Unverified;
  return !Previous ||
         Previous->Target.StartedAtMs != Heartbeat.Target.StartedAtMs ||
         Previous->Sequence >= Heartbeat.Sequence;
}

auto awaitsVerification(const target_watch &Watch,
                        const target_heartbeat &Heartbeat) -> bool {
  const auto &Awaited = Watch.Unverified;
  return Awaited && Awaited->Sequence == Heartbeat.Sequence &&
         Awaited->Target.Id == Heartbeat.Target.Id &&
         Awaited->Target.StartedAtMs == Heartbeat.Target.StartedAtMs &&
         Watch.Known.State == mesh::target_state::Absent;
}

auto mayBeOtherStart(const target_watch &Watch,
                     const target_heartbeat &Heartbeat) -> bool {
  const auto &Known = Watch.Known;
  return Known.State == mesh::target_state::Ready &&
         Heartbeat.Target.State == mesh::target_state::Ready &&
         Heartbeat.Target.Id == Known.Id &&
         Heartbeat.Target.StartedAtMs < Known.StartedAtMs;
}

auto acceptHeartbeat(target_watch &Watch, const target_heartbeat &Heartbeat)
    -> bool {
  const auto &Reported = Heartbeat.Target;
  auto SameStart = Watch.Known.State != mesh::target_state::Absent &&
                   Reported.StartedAtMs == Watch.Known.StartedAtMs;
  if (SameStart && Heartbeat.Sequence < Watch.Sequence) {
    return false;
  }
  auto LeftWithoutStartTime = Watch.Known.State == mesh::target_state::Gone &&
                              Watch.Known.StartedAtMs == 0 &&
                              Watch.Known.Id == Reported.Id;
  if (LeftWithoutStartTime && Heartbeat.Sequence > MaxStartSequence) {
    // A delayed heartbeat of the start that has left without sending its start
    // time. The start time is kept to reject further ones.
    Watch.Known.StartedAtMs = Reported.StartedAtMs;
    return false;
  }
  auto Next = mesh::mergeTarget(Watch.Known, Reported);
  if (!Next) {
    return false;
  }
  Watch.Known = *Next;
  Watch.Sequence = Heartbeat.Sequence;
  return true;
}

auto acceptLeave(target_watch &Watch, const mesh::target_id &Id,
                 std::optional<std::int64_t> StartedAtMs) -> bool {
  auto Unknown = Watch.Known.State == mesh::target_state::Absent;
  auto SameStart = Watch.Known.Id == Id &&
                   (!StartedAtMs || *StartedAtMs == Watch.Known.StartedAtMs);
  if (!Unknown && !SameStart) {
    return false;
  }
  Watch.Known.Id = Id;
  Watch.Known.StartedAtMs = StartedAtMs.value_or(Watch.Known.StartedAtMs);
  Watch.Known.State = mesh::target_state::Gone;
  return true;
}

auto markLeaving(target_watch &Watch, const mesh::target_id &Id) -> bool {
  if (Watch.Known.Id != Id || Watch.Known.State != mesh::target_state::Ready) {
    return false;
  }
  Watch.Known.State = mesh::target_state::Draining;
  return true;
}

void applyPreviousTarget(target_watch &Watch,
                         const mesh::target_record &Previous) {
  auto Leaving = Previous.State == mesh::target_state::Draining ||
                 Previous.State == mesh::target_state::Gone;
  auto SameStart = Watch.Known.StartedAtMs == Previous.StartedAtMs &&
                   Watch.Known.Id == Previous.Id;
  if (Leaving && (Watch.Known.State == mesh::target_state::Absent ||
                  (SameStart && Previous.State > Watch.Known.State))) {
    Watch.Known = Previous;
  }
}

} // namespace sycamorelb::sidecar
