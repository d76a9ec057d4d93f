/** @file target_watch.cpp Order of the heartbeats of a target. */
#include "sidecar/target_watch.h"

namespace sycamorelb::sidecar {

/** Sequence up to which a heartbeat shows that its target has just started. */
static constexpr auto FirstSequences = std::uint64_t{2};

auto mayHaveServed(const target_watch &Watch, const target_heartbeat &Heartbeat)
    -> bool {
  return Watch.Known.State == mesh::target_state::Absent &&
         Heartbeat.Sequence > FirstSequences;
}

auto resumeTarget(target_watch &Watch, const mesh::target_record &Earlier)
    -> bool {
  if (Watch.Known.State != mesh::target_state::Absent ||
      Earlier.State != mesh::target_state::Ready) {
    return false;
  }
  Watch.Known = Earlier;
  Watch.Sequence = 0;
  return true;
}

auto needsProof(const target_watch &Watch, const target_heartbeat &Heartbeat)
    -> bool {
  if (!mayHaveServed(Watch, Heartbeat) ||
      Heartbeat.Target.State != mesh::target_state::Ready) {
    return false;
  }
  const auto &Earlier = Watch.Unproved;
  return !Earlier || Earlier->Target.BornAt != Heartbeat.Target.BornAt ||
         Earlier->Sequence >= Heartbeat.Sequence;
}

auto acceptHeartbeat(target_watch &Watch, const target_heartbeat &Heartbeat)
    -> bool {
  const auto &News = Heartbeat.Target;
  auto SameStart = Watch.Known.State != mesh::target_state::Absent &&
                   News.BornAt == Watch.Known.BornAt;
  if (SameStart && Heartbeat.Sequence < Watch.Sequence) {
    return false;
  }
  auto Left = Watch.Known.State == mesh::target_state::Gone &&
              Watch.Known.BornAt == 0 && Watch.Known.Id == News.Id;
  if (Left && Heartbeat.Sequence > FirstSequences) {
    // A late heartbeat of the start that has left without telling its birth.
    Watch.Known.BornAt = News.BornAt;
    return false;
  }
  auto Next = mesh::advanceTarget(Watch.Known, News);
  if (!Next) {
    return false;
  }
  Watch.Known = *Next;
  Watch.Sequence = Heartbeat.Sequence;
  return true;
}

auto acceptLeave(target_watch &Watch, const mesh::target_id &Id,
                 std::optional<std::int64_t> BornAt) -> bool {
  auto Unknown = Watch.Known.State == mesh::target_state::Absent;
  auto SameStart =
      Watch.Known.Id == Id && (!BornAt || *BornAt == Watch.Known.BornAt);
  if (!Unknown && !SameStart) {
    return false;
  }
  Watch.Known.Id = Id;
  Watch.Known.BornAt = BornAt.value_or(Watch.Known.BornAt);
  Watch.Known.State = mesh::target_state::Gone;
  return true;
}

void rememberTarget(target_watch &Watch, const mesh::target_record &Earlier) {
  auto Leaving = Earlier.State == mesh::target_state::Draining ||
                 Earlier.State == mesh::target_state::Gone;
  auto SameStart =
      Watch.Known.BornAt == Earlier.BornAt && Watch.Known.Id == Earlier.Id;
  if (Leaving && (Watch.Known.State == mesh::target_state::Absent ||
                  (SameStart && Earlier.State > Watch.Known.State))) {
    Watch.Known = Earlier;
  }
}

} // namespace sycamorelb::sidecar
