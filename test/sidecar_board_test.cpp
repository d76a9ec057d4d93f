/** @file sidecar_board_test.cpp Tests of the targets that an entry node may
 * choose. */
#include "sidecar/target_board.h"

#include <criterion/criterion.h>

using namespace sycamorelb;
using namespace sycamorelb::sidecar;

namespace {

/** An entry node that knows one host with a ready target. */
struct board_fixture {
  event::loop Loop;
  node_state State;
  balancer_state Balancer;

  board_fixture() : State(Loop, settings(), 1) { publishTarget(1); }

  static auto settings() -> node_settings {
    auto Settings = node_settings();
    Settings.Node = {"entry"};
    return Settings;
  }
  void publishTarget(std::int64_t StartedAtMs) {
    auto Host = mesh::host_record();
    Host.Node = {"host"};
    Host.Incarnation = 1;
    Host.Revision = static_cast<std::uint64_t>(StartedAtMs);
    Host.Target = {{"i-1"}, StartedAtMs, {"svc"},
                   {"v1"},  9,           mesh::target_state::Ready};
    State.Hosts.merge(Host);
  }
  void reply(bool ReachedTarget, const mesh::target_notice &Notice) {
    auto Reply = inner::reply_message();
    Reply.ReachedTarget = ReachedTarget;
    Reply.Load.Slots = 9;
    Reply.Notice = Notice;
    recordReply(Balancer, {"host"}, {"route"}, Reply, Loop.now());
  }
  auto isEligible() -> bool {
    auto Filter = target_filter{{"svc"}, false, nullptr};
    return !findEligibleTargets(State, Balancer, Filter).Hosts.empty();
  }
};

} // namespace

// Guards against calls to a target that said in an answer that it leaves, after
// the node beside it has restarted and doesn't know that any more.
Test(sidecar_board, leaving_target_is_avoided_also_after_its_node_restarted) {
  auto Board = board_fixture();
  cr_assert(Board.isEligible());
  Board.reply(true, {{"i-1"}, 1, std::nullopt, true});
  cr_assert(!Board.isEligible());
  Board.reply(true, {});
  Board.reply(true, {{"i-1"}, 1, 5.0, false});
  cr_assert(!Board.isEligible());
  // A new start, also under the same name, is another target.
  Board.publishTarget(2);
  cr_assert(Board.isEligible());
}

// Guards against losing a limit with the first refusal of a node that has
// restarted: it knows the limit only from the calls that it gets.
Test(sidecar_board, limit_is_forgotten_only_when_the_target_answers_without) {
  auto Board = board_fixture();
  Board.reply(true, {{"i-1"}, 1, 5.0, false});
  Board.reply(false, {});
  cr_assert_eq(Board.Balancer.Notices[{"host"}].CallsPerSecond.value_or(0),
               5.0);
  Board.reply(true, {});
  cr_assert(!Board.Balancer.Notices[{"host"}].CallsPerSecond);
}
