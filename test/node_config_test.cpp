/** @file node_config_test.cpp Configuration of complete nodes during failures.
 */
#include "node_fixture.h"

#include <criterion/criterion.h>
#include <thread>

using namespace sycamorelb;
using namespace sycamorelb::node_test;
using admin::outcome_kind;

// Guards against a node that misses a change, and against a mesh that loses its
// configuration when all nodes restart at once.
Test(node_config,
     applied_declaration_reaches_all_nodes_and_survives_their_restart) {
  auto Mesh = mesh(3);
  auto Outcome = Mesh.apply(1, "first");
  cr_assert(Outcome.Kind == outcome_kind::Accepted);
  for (auto Index : {0U, 1U, 2U}) {
    cr_assert(Mesh.waitForVersion(Index, Outcome.Version.Value));
  }
  for (auto Index : {0U, 1U, 2U}) {
    Mesh.destroy(Index);
  }
  for (auto Index : {0U, 1U, 2U}) {
    Mesh.start(Index);
  }
  for (auto Index : {0U, 1U, 2U}) {
    cr_assert(Mesh.waitForVersion(Index, Outcome.Version.Value));
  }
}

// Guards against a node that cannot start without the log service.
Test(node_config, restarted_node_pulls_from_peer_while_log_is_down) {
  auto Mesh = mesh(3);
  auto Outcome = Mesh.apply(0, "first");
  cr_assert(Mesh.waitForVersion(1, Outcome.Version.Value));
  cr_assert(Mesh.waitForVersion(2, Outcome.Version.Value));
  Mesh.destroy(2);
  Mesh.Log.setFaults({.Down = true});
  Mesh.start(2);
  cr_assert(Mesh.waitForVersion(2, Outcome.Version.Value));
  cr_assert(
      eventually([&] { return Mesh.ops(2, "GET", "/readyz").Status == 200; }));
}

// Guards against a wrong outcome during an outage of the log service, and
// against a request that is applied twice when it is repeated afterwards.
Test(node_config, request_repeated_after_outage_is_applied_once) {
  auto Mesh = mesh(2);
  auto First = Mesh.apply(0, "first");
  cr_assert(First.Kind == outcome_kind::Accepted);
  Mesh.Log.setFaults({.Down = true});
  auto During = Mesh.apply(0, "second", 4000);
  cr_assert(During.Kind == outcome_kind::NotAccepted ||
            During.Kind == outcome_kind::Unknown);
  Mesh.Log.setFaults({});
  auto After = Mesh.apply(0, "second", 4000);
  cr_assert(After.Kind == outcome_kind::Accepted);
  cr_assert(Mesh.waitForVersion(1, After.Version.Value));
  auto Again = Mesh.apply(1, "second", 4000);
  cr_assert(Again.Kind == outcome_kind::Accepted);
  cr_assert(Again.Version == After.Version);
}

// Guards against a change that is applied twice or reported as not accepted
// when only the response to the append was lost.
Test(node_config, lost_append_response_leads_to_one_outcome) {
  auto Mesh = mesh(2);
  Mesh.Log.setFaults({.LoseAnswers = true});
  auto First = Mesh.apply(0, "first");
  cr_assert(First.Kind == outcome_kind::Accepted ||
            First.Kind == outcome_kind::Unknown);
  cr_assert(Mesh.Log.records("config").size() == 1);
  Mesh.Log.setFaults({});
  auto Again = Mesh.apply(1, "first");
  cr_assert(Again.Kind == outcome_kind::Accepted);
  cr_assert(Mesh.apply(0, "first").Version == Again.Version);
}

// Guards against the outcome "not accepted" for a request whose earlier append
// may have taken effect: the append timed out, and then the log refused
// appends.
Test(node_config,
     request_with_unknown_outcome_is_not_reported_as_not_accepted) {
  auto Mesh = mesh(1);
  // The append stalls beyond its timeout, so its outcome is unknown.
  Mesh.Log.setFaults({.Stall = millis(6000)});
  auto First = Mesh.apply(0, "first");
  cr_assert(First.Kind == outcome_kind::Unknown);
  Mesh.Log.setFaults({.RefuseAppends = true});
  auto Second = Mesh.apply(0, "first");
  cr_assert(Second.Kind != outcome_kind::NotAccepted);
  Mesh.Log.setFaults({});
}

// Guards against concurrent conflicting changes that are both reported as
// accepted.
Test(node_config, exactly_one_of_two_concurrent_changes_is_accepted) {
  auto Mesh = mesh(2);
  auto Base = Mesh.apply(0, "base");
  cr_assert(Mesh.waitForVersion(1, Base.Version.Value));
  auto Outcomes = std::vector<admin::outcome>(2);
  auto Threads = std::vector<std::thread>();
  // The log stalls the appends, so that both records refer to the same base.
  Mesh.Log.setFaults({.Stall = millis(300)});
  for (auto Index : {0U, 1U}) {
    Threads.emplace_back([&, Index] {
      Outcomes[Index] = Mesh.apply(Index, "racer-" + std::to_string(Index),
                                   3000 + static_cast<int>(Index));
    });
  }
  for (auto &Thread : Threads) {
    Thread.join();
  }
  Mesh.Log.setFaults({});
  for (auto Index : {0U, 1U}) {
    auto Known =
        Mesh.admin(1 - Index)->findOutcome({"racer-" + std::to_string(Index)});
    cr_assert(isOk(Known));
    Outcomes[Index] = valueOf(Known);
  }
  cr_assert((Outcomes[0].Kind == outcome_kind::Accepted) !=
            (Outcomes[1].Kind == outcome_kind::Accepted));
  cr_assert((Outcomes[0].Kind == outcome_kind::Rejected) !=
            (Outcomes[1].Kind == outcome_kind::Rejected));
}

// Guards against a new node that cannot start because records have expired from
// the log: it must start from the checkpoint.
Test(node_config, new_node_starts_from_checkpoint) {
  auto Mesh = mesh(1);
  Mesh.destroy(0);
  Mesh.Settings[0].Log.Retention = millis(4000);
  Mesh.start(0);
  auto Outcome = Mesh.apply(0, "first");
  cr_assert(Outcome.Kind == outcome_kind::Accepted);
  cr_assert(eventually([&] { return Mesh.Log.records("config").size() >= 2; }));
  Mesh.destroy(0);
  Mesh.Log.setFaults({.ExpireBefore = Outcome.Version.Value + 1});
  Mesh.start(0);
  cr_assert(Mesh.waitForVersion(0, Outcome.Version.Value));
}
