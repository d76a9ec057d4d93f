/** @file sidecar_watch_test.cpp Tests of how a node tracks the state of its
 * target. */
#include "sidecar/target_watch.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace sycamorelb;
using namespace sycamorelb::sidecar;
using mesh::target_state;

static auto heartbeat(const std::string &Id, std::int64_t StartedAtMs,
                      std::uint64_t Sequence, target_state State)
    -> target_heartbeat {
  auto Heartbeat = target_heartbeat();
  Heartbeat.Target.Id = {Id};
  Heartbeat.Target.StartedAtMs = StartedAtMs;
  Heartbeat.Target.State = State;
  Heartbeat.Sequence = Sequence;
  return Heartbeat;
}

// Guards against a delayed heartbeat that makes a leaving target ready again.
Test(sidecar_watch, late_heartbeat_does_not_undo_a_leave) {
  auto Watch = target_watch();
  cr_assert(acceptHeartbeat(Watch, heartbeat("a", 5, 1, target_state::Ready)));
  cr_assert(
      acceptHeartbeat(Watch, heartbeat("a", 5, 3, target_state::Draining)));
  cr_assert_not(
      acceptHeartbeat(Watch, heartbeat("a", 5, 2, target_state::Ready)));
  cr_assert_not(
      acceptHeartbeat(Watch, heartbeat("a", 5, 4, target_state::Ready)));
  cr_assert(Watch.Known.State == target_state::Draining);
}

// Guards against a delayed heartbeat of a previous target at the same address.
Test(sidecar_watch, earlier_start_does_not_replace_a_later_one) {
  auto Watch = target_watch();
  cr_assert(acceptHeartbeat(Watch, heartbeat("b", 9, 1, target_state::Ready)));
  cr_assert_not(
      acceptHeartbeat(Watch, heartbeat("a", 5, 30, target_state::Ready)));
  cr_assert(acceptHeartbeat(Watch, heartbeat("b", 12, 1, target_state::Ready)));
}

// Guards against refused calls after a restart of all nodes: a new process
// waited up to 1.5 s for the next heartbeat of a target that was serving all
// along.
Test(sidecar_watch, healthy_target_of_a_previous_process_is_resumed) {
  auto Watch = target_watch();
  auto Previous = heartbeat("a", 5, 9, target_state::Ready).Target;
  cr_assert(mayHaveServed(Watch, heartbeat("a", 5, 9, target_state::Ready)));
  cr_assert_not(
      mayHaveServed(Watch, heartbeat("a", 5, 1, target_state::Ready)));
  cr_assert(resumeTarget(Watch, Previous));
  cr_assert(acceptHeartbeat(Watch, heartbeat("a", 5, 10, target_state::Ready)));
  // A target that has started to leave is not made ready again.
  cr_assert(
      acceptHeartbeat(Watch, heartbeat("a", 5, 11, target_state::Draining)));
  cr_assert_not(resumeTarget(Watch, Previous));
  cr_assert(Watch.Known.State == target_state::Draining);
  auto Left = target_watch();
  Previous.State = target_state::Draining;
  cr_assert_not(resumeTarget(Left, Previous));
}

// Guards against a cold target that gets the calls of a second from each of two
// processes: its node was killed and started again between its first two
// heartbeats, and the second one counted as that of a new target.
Test(sidecar_watch, second_heartbeat_tells_of_a_target_that_may_have_served) {
  auto Watch = target_watch();
  auto Second = heartbeat("a", 5, 2, target_state::Ready);
  cr_assert(mayHaveServed(Watch, Second));
  cr_assert_not(needsVerification(Watch, Second));
  cr_assert(acceptHeartbeat(Watch, Second));
  cr_assert_not(
      mayHaveServed(Watch, heartbeat("a", 5, 3, target_state::Ready)));
}

// Guards against a delayed heartbeat after a restart: the process that had
// acknowledged a leave was killed, and the next one accepted an older heartbeat
// of the target. Seen in scenario onapp-guate, hunt-a9ac-23.
Test(sidecar_watch, first_heartbeat_of_an_old_target_needs_verification) {
  auto Watch = target_watch();
  auto Delayed = heartbeat("a", 5, 17, target_state::Ready);
  cr_assert(needsVerification(Watch, Delayed));
  Watch.Unverified = Delayed;
  cr_assert(needsVerification(Watch, Delayed));
  cr_assert_not(
      needsVerification(Watch, heartbeat("a", 5, 18, target_state::Ready)));
  cr_assert_not(
      needsVerification(Watch, heartbeat("b", 9, 1, target_state::Ready)));
  cr_assert_not(
      needsVerification(Watch, heartbeat("a", 5, 18, target_state::Draining)));
}

// Guards against taking the heartbeat of an earlier start, with its cold time,
// for the one that a health check was sent for: both have the same sequence.
Test(sidecar_watch, health_check_verifies_the_heartbeat_of_one_start) {
  auto Watch = target_watch();
  auto Earlier = heartbeat("a", 5, 9, target_state::Ready);
  auto Later = heartbeat("a", 7, 9, target_state::Ready);
  Watch.Unverified = Later;
  cr_assert(awaitsVerification(Watch, Later));
  cr_assert_not(awaitsVerification(Watch, Earlier));
}

// Guards against a heartbeat that undoes a leave without a start time, at a
// node that has just started. Seen in dhaar-sewa-grown, mix --seed
// 356164736999.
Test(sidecar_watch, leave_without_start_time_is_kept) {
  auto Watch = target_watch();
  cr_assert(acceptLeave(Watch, {"a"}, std::nullopt));
  cr_assert_not(
      acceptHeartbeat(Watch, heartbeat("a", 5, 26, target_state::Ready)));
  cr_assert_not(
      acceptHeartbeat(Watch, heartbeat("a", 5, 27, target_state::Ready)));
  // A target with the same id may start again.
  cr_assert(acceptHeartbeat(Watch, heartbeat("a", 8, 1, target_state::Ready)));
}

// Guards against a leave of another target that removes the current one.
Test(sidecar_watch, leave_of_another_target_is_ignored) {
  auto Watch = target_watch();
  acceptHeartbeat(Watch, heartbeat("b", 9, 1, target_state::Ready));
  cr_assert_not(acceptLeave(Watch, {"a"}, std::nullopt));
  cr_assert_not(acceptLeave(Watch, {"b"}, 4));
  cr_assert(acceptLeave(Watch, {"b"}, 9));
  cr_assert(Watch.Known.State == target_state::Gone);
}

// Guards against a restarted node that takes a leaving target for ready.
Test(sidecar_watch, state_known_to_other_nodes_is_applied) {
  auto Previous = heartbeat("a", 5, 9, target_state::Draining).Target;
  auto Watch = target_watch();
  applyPreviousTarget(Watch, Previous);
  cr_assert_not(
      acceptHeartbeat(Watch, heartbeat("a", 5, 8, target_state::Ready)));
  Watch = target_watch();
  acceptHeartbeat(Watch, heartbeat("a", 5, 8, target_state::Ready));
  applyPreviousTarget(Watch, Previous);
  cr_assert(Watch.Known.State == target_state::Draining);
  Watch = target_watch();
  acceptHeartbeat(Watch, heartbeat("c", 7, 1, target_state::Ready));
  applyPreviousTarget(Watch, Previous);
  cr_assert(Watch.Known.State == target_state::Ready);
}

// Guards against a target that becomes ready again after it has left, without a
// later start, for random orders of heartbeats and leaves.
Test(sidecar_watch, target_that_left_is_not_ready_without_a_new_start) {
  cr_assert(rc::check("left", [] {
    auto Watch = target_watch();
    auto LeftStartedAtMs = std::int64_t{-1};
    for (auto Step = 0; Step < 40; ++Step) {
      auto StartedAtMs = *rc::gen::inRange<std::int64_t>(1, 4);
      auto State =
          *rc::gen::element(target_state::Ready, target_state::Draining);
      auto Heartbeat = heartbeat(
          "a", StartedAtMs, *rc::gen::inRange<std::uint64_t>(1, 20), State);
      if (*rc::gen::inRange(0, 10) == 0) {
        if (acceptLeave(Watch, {"a"}, StartedAtMs)) {
          LeftStartedAtMs = std::max(LeftStartedAtMs, Watch.Known.StartedAtMs);
        }
      } else {
        acceptHeartbeat(Watch, Heartbeat);
      }
      RC_ASSERT((Watch.Known.State != target_state::Ready ||
                 Watch.Known.StartedAtMs > LeftStartedAtMs));
    }
  }));
}

// Guards against heartbeats that make a target ready again after it said in an
// answer that it leaves.
Test(sidecar_watch, heartbeat_does_not_undo_a_leave_said_in_an_answer) {
  auto Watch = target_watch();
  cr_assert(acceptHeartbeat(Watch, heartbeat("a", 5, 1, target_state::Ready)));
  cr_assert_not(markLeaving(Watch, {"b"}));
  cr_assert(markLeaving(Watch, {"a"}));
  cr_assert_not(markLeaving(Watch, {"a"}));
  cr_assert_not(
      acceptHeartbeat(Watch, heartbeat("a", 5, 2, target_state::Ready)));
  cr_assert(Watch.Known.State == target_state::Draining);
  // A new start under the same name is ready.
  cr_assert(acceptHeartbeat(Watch, heartbeat("a", 9, 1, target_state::Ready)));
}
