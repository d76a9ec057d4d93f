/** @file target_watch.cpp Decides which start of the local target gets calls.
 */
#include "sidecar/target_watch.h"

#include <algorithm>

namespace sycamorelb::sidecar {

using mesh::target_state;

/** Maximum numbers of starts that are remembered. */
static constexpr auto MaxEndedStarts = std::size_t{64};
static constexpr auto MaxUnverifiedStarts = std::size_t{8};

static auto startOf(const mesh::target_record &Target) -> ended_start {
  return {Target.Id, Target.StartedAtMs};
}

static auto isSameStart(const mesh::target_record &Left,
                        const mesh::target_record &Right) -> bool {
  return startOf(Left) == startOf(Right);
}

/** @return whether this start is known to have ended or to leave. */
static auto hasEnded(const target_watch &Watch,
                     const mesh::target_record &Target) -> bool {
  return std::find(Watch.Ended.begin(), Watch.Ended.end(), startOf(Target)) !=
         Watch.Ended.end();
}

/** @return whether any start with this id is known to have ended or to leave.
 */
static auto hasEndedStart(const target_watch &Watch, const mesh::target_id &Id)
    -> bool {
  return std::any_of(
      Watch.Ended.begin(), Watch.Ended.end(),
      [&Id](const ended_start &Start) { return Start.Id == Id; });
}

/** @return whether the heartbeats of a start may be from before a leave that is
 * known: of any start with its id, or of a later one. */
static auto mayHaveEnded(const target_watch &Watch,
                         const mesh::target_record &Target) -> bool {
  return std::any_of(Watch.Ended.begin(), Watch.Ended.end(),
                     [&Target](const ended_start &Start) {
                       return Start.Id == Target.Id &&
                              Start.StartedAtMs.value_or(Target.StartedAtMs) >=
                                  Target.StartedAtMs;
                     });
}

/** Notes an event before which a heartbeat that arrives soon may have been
 * sent. */
static void expectLateHeartbeats(target_watch &Watch, steady_time Now) {
  Watch.FreshFrom = std::max(Watch.FreshFrom, Now + Watch.MaxLateness);
}

static void dropUnverified(target_watch &Watch, const ended_start &Start) {
  std::erase_if(Watch.Unverified, [&Start](const target_heartbeat &Heartbeat) {
    return startOf(Heartbeat.Target) == Start;
  });
}

static void rememberEnd(target_watch &Watch, const ended_start &Start) {
  dropUnverified(Watch, Start);
  std::erase(Watch.Ended, Start);
  Watch.Ended.push_back(Start);
  if (Watch.Ended.size() > MaxEndedStarts) {
    Watch.Ended.erase(Watch.Ended.begin());
    Watch.MayLackLeaves = true;
  }
}

/** Keeps a heartbeat until a second witness proves that its target is the one
 * at the address, and not leaving. */
static void keepUnverified(target_watch &Watch,
                           const target_heartbeat &Heartbeat) {
  auto &Kept = Watch.Unverified;
  auto Earlier = std::find_if(
      Kept.begin(), Kept.end(), [&Heartbeat](const target_heartbeat &Other) {
        return isSameStart(Other.Target, Heartbeat.Target);
      });
  if (Earlier != Kept.end()) {
    if (Earlier->Sequence > Heartbeat.Sequence) {
      return;
    }
    Kept.erase(Earlier);
  }
  Kept.push_back(Heartbeat);
  if (Kept.size() > MaxUnverifiedStarts) {
    Kept.erase(Kept.begin());
  }
}

/** Makes the start of a heartbeat the known one. */
static void adopt(target_watch &Watch, const target_heartbeat &Heartbeat) {
  if (!isSameStart(Watch.Known, Heartbeat.Target)) {
    ++Watch.Changes;
    expectLateHeartbeats(Watch, Heartbeat.ArrivedAt);
  }
  dropUnverified(Watch, startOf(Heartbeat.Target));
  Watch.Known = Heartbeat.Target;
  Watch.Sequence = Heartbeat.Sequence;
  Watch.IsLost = false;
}

/** Applies that a start leaves. */
static auto applyEnd(target_watch &Watch, const ended_start &Start,
                     target_state State, steady_time Now) -> leave_effect {
  ++Watch.Changes;
  expectLateHeartbeats(Watch, Now);
  rememberEnd(Watch, Start);
  auto &Known = Watch.Known;
  if (Known.Id.Value.empty()) {
    Known.Id = Start.Id;
    Known.StartedAtMs = Start.StartedAtMs.value_or(0);
  }
  if (Known.Id != Start.Id) {
    return leave_effect::OtherTarget;
  }
  if (Start.StartedAtMs.value_or(Known.StartedAtMs) == Known.StartedAtMs) {
    Known.State = std::max(Known.State, State);
    return leave_effect::KnownStart;
  }
  if (Known.State == target_state::Ready) {
    Known.State = target_state::Absent;
  }
  return leave_effect::OtherStart;
}

/** @return whether the start of a heartbeat is the one at the address without a
 * second witness: this process has got all leaves, none of them was one of this
 * target, and no later start is known. */
static auto isProved(const target_watch &Watch,
                     const mesh::target_record &Reported) -> bool {
  return !Watch.MayLackLeaves && !hasEndedStart(Watch, Reported.Id) &&
         (Watch.Known.Id.Value.empty() ||
          Reported.StartedAtMs > Watch.Known.StartedAtMs);
}

/** @return whether the heartbeat proves its start without a health check: it
 * was sent after all that this process may have missed, an earlier one has come
 * as well, and no known leave may have been about it. */
static auto isFresh(const target_watch &Watch,
                    const target_heartbeat &Heartbeat) -> bool {
  return Heartbeat.ArrivedAt >= Watch.FreshFrom &&
         !mayHaveEnded(Watch, Heartbeat.Target) &&
         std::any_of(Watch.Unverified.begin(), Watch.Unverified.end(),
                     [&Heartbeat](const target_heartbeat &Earlier) {
                       return isSameStart(Earlier.Target, Heartbeat.Target) &&
                              Earlier.Sequence < Heartbeat.Sequence;
                     });
}

/** Applies the heartbeat of a start that says that it drains. */
static auto applyDraining(target_watch &Watch,
                          const target_heartbeat &Heartbeat)
    -> heartbeat_effect {
  const auto &Reported = Heartbeat.Target;
  auto &Known = Watch.Known;
  auto IsKnownStart = isSameStart(Known, Reported);
  if (hasEnded(Watch, Reported) &&
      !(IsKnownStart && Known.State == target_state::Draining)) {
    return heartbeat_effect::Outdated;
  }
  auto Replaces = Known.Id.Value.empty() || IsKnownStart ||
                  Reported.StartedAtMs > Known.StartedAtMs;
  if (!hasEnded(Watch, Reported)) {
    applyEnd(Watch, startOf(Reported), target_state::Draining,
             Heartbeat.ArrivedAt);
  }
  if (Replaces && Known.State != target_state::Gone) {
    adopt(Watch, Heartbeat);
  }
  return heartbeat_effect::Leaving;
}

auto mayHaveServed(const target_watch &Watch, const target_heartbeat &Heartbeat)
    -> bool {
  return Watch.Known.Id.Value.empty() && Heartbeat.Sequence != 1;
}

auto mayBeOtherStart(const target_watch &Watch,
                     const target_heartbeat &Heartbeat) -> bool {
  const auto &Known = Watch.Known;
  return Known.State == target_state::Ready && !Watch.IsLost &&
         Heartbeat.Target.State == target_state::Ready &&
         Heartbeat.Target.Id == Known.Id &&
         Heartbeat.Target.StartedAtMs < Known.StartedAtMs;
}

auto applyHeartbeat(target_watch &Watch, const target_heartbeat &Heartbeat)
    -> heartbeat_effect {
  const auto &Reported = Heartbeat.Target;
  if (Reported.State == target_state::Draining) {
    return applyDraining(Watch, Heartbeat);
  }
  if (hasEnded(Watch, Reported) || mayBeOtherStart(Watch, Heartbeat)) {
    return heartbeat_effect::Outdated;
  }
  if (isSameStart(Watch.Known, Reported) &&
      Watch.Known.State == target_state::Ready) {
    if (Heartbeat.Sequence < Watch.Sequence) {
      return heartbeat_effect::Outdated;
    }
  } else if (!isProved(Watch, Reported) && !isFresh(Watch, Heartbeat)) {
    keepUnverified(Watch, Heartbeat);
    return heartbeat_effect::Unverified;
  }
  adopt(Watch, Heartbeat);
  return heartbeat_effect::Accepted;
}

void applyStart(target_watch &Watch, steady_time Now) {
  Watch.FreshFrom = Now + Watch.MaxLateness;
}

/** @return whether a healthy answer to a check proves the start. */
static auto isProvable(const target_watch &Watch,
                       const target_heartbeat &Heartbeat) -> bool {
  return Heartbeat.ArrivedAt >= Watch.FreshFrom ||
         !mayHaveEnded(Watch, Heartbeat.Target);
}

auto awaitsCheck(const target_watch &Watch) -> bool {
  return std::any_of(Watch.Unverified.begin(), Watch.Unverified.end(),
                     [&Watch](const target_heartbeat &Heartbeat) {
                       return isProvable(Watch, Heartbeat);
                     });
}

auto applyLeave(target_watch &Watch, const mesh::target_id &Id,
                std::optional<std::int64_t> StartedAtMs, steady_time Now)
    -> leave_effect {
  return applyEnd(Watch, {Id, StartedAtMs}, target_state::Gone, Now);
}

auto markLeaving(target_watch &Watch, const mesh::target_id &Id,
                 steady_time Now) -> bool {
  if (Watch.Known.Id != Id || Watch.Known.State != target_state::Ready) {
    return false;
  }
  applyEnd(Watch, startOf(Watch.Known), target_state::Draining, Now);
  return true;
}

void markLost(target_watch &Watch) { Watch.IsLost = true; }

void applyPreviousTarget(target_watch &Watch,
                         const mesh::target_record &Previous) {
  auto IsUnknown = Watch.Known.Id.Value.empty();
  switch (Previous.State) {
  case target_state::Absent:
  case target_state::Ready:
    break;
  case target_state::Draining:
    if (!hasEnded(Watch, Previous)) {
      ++Watch.Changes;
      rememberEnd(Watch, startOf(Previous));
    }
    if (IsUnknown || (isSameStart(Watch.Known, Previous) &&
                      Watch.Known.State < target_state::Draining)) {
      Watch.Known = Previous;
    }
    break;
  case target_state::Gone:
    // The leave may not have told which start of the target it was about.
    rememberEnd(Watch, {Previous.Id, std::nullopt});
    if (IsUnknown) {
      Watch.Known = Previous;
    }
    break;
  }
}

auto beginCheck(const target_watch &Watch) -> target_check {
  return {Watch.Changes};
}

auto isSuperseded(const target_watch &Watch, const target_check &Check)
    -> bool {
  return Watch.Changes != Check.Changes;
}

auto applyHealthyAnswer(target_watch &Watch, const target_check &Check,
                        const mesh::target_id &Id)
    -> std::optional<verified_start> {
  if (isSuperseded(Watch, Check)) {
    return std::nullopt;
  }
  auto Found = std::optional<target_heartbeat>();
  for (const auto &Heartbeat : Watch.Unverified) {
    const auto &Target = Heartbeat.Target;
    if (Target.Id == Id && isProvable(Watch, Heartbeat) &&
        (!Found || Target.StartedAtMs > Found->Target.StartedAtMs)) {
      Found = Heartbeat;
    }
  }
  // Those of other targets were late.
  std::erase_if(Watch.Unverified, [&](const target_heartbeat &Heartbeat) {
    return Heartbeat.Target.Id != Id || isProvable(Watch, Heartbeat);
  });
  if (!Found) {
    return std::nullopt;
  }
  auto MayHaveServed = mayHaveServed(Watch, *Found);
  if (!Watch.Known.Id.Value.empty() && Watch.Known.Id != Id) {
    rememberEnd(Watch, startOf(Watch.Known));
  }
  adopt(Watch, *Found);
  return verified_start{*Found, MayHaveServed};
}

} // namespace sycamorelb::sidecar
