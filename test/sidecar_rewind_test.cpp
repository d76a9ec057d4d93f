/** @file sidecar_rewind_test.cpp Tests of a mesh whose store comes back from an
 * older copy at each step of what the nodes do with it. */
#include "sidecar_sim.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace sycamorelb;
using namespace sycamorelb::sim;

static constexpr auto OperatorTopic = "keyed.op";
static constexpr auto MeshTopic = "keyed.sycamorelb";
static constexpr auto StatusTopic = "keyed.status";
/** Time in which a mesh starts and its targets become ready. */
static constexpr auto StartTime = micros(6'000'000);
/** Time after which operators write their records again. */
static constexpr auto RewriteDelay = micros(3'000'000);
/** The same for operators that never do. */
static constexpr auto NoRewrite = micros(900'000'000);
/** Time after a rewind by which records that were not written again are
 * deleted: 5 s, and a listing or two. */
static constexpr auto DeletionTime = micros(8'000'000);
static constexpr auto CheckInterval = micros(250'000);
static constexpr auto AllAges = {1, 2, 4, 7, 10};

static auto seconds(int Count) -> micros { return micros(Count * 1'000'000LL); }

namespace {

/** A mesh whose store sends its era. */
struct rewind_run {
  mesh_sim Mesh;
  std::vector<int> Versions; // In force on each node.

  rewind_run(int Zones, int NodesPerZone, micros Start = StartTime)
      : Mesh(Zones, NodesPerZone) {
    Versions.resize(static_cast<std::size_t>(Mesh.nodeCount()));
    Mesh.store().Era = 1;
    Mesh.run(Start);
  }

  /** Runs the mesh, and checks that no configuration goes back. */
  void play(micros Time) {
    for (auto End = Mesh.now() + Time; Mesh.now() < End;) {
      Mesh.run(CheckInterval);
      for (auto Node = 0; Node < Mesh.nodeCount(); ++Node) {
        auto &Known = Versions[static_cast<std::size_t>(Node)];
        auto Version = Mesh.state(Node)["config_version"].get<int>();
        cr_assert_geq(Version, Known, "node %d went back", Node + 1);
        Known = Version;
      }
    }
  }
  void expectVersion(int Version, const char *When) {
    for (auto Node = 0; Node < Mesh.nodeCount(); ++Node) {
      cr_assert_eq(Mesh.state(Node)["config_version"].get<int>(), Version,
                   "node %d, %s", Node + 1, When);
    }
  }
  auto isEvacuatedOnAll(bool Evacuated) -> bool {
    for (auto Node = 0; Node < Mesh.nodeCount(); ++Node) {
      if (Mesh.state(Node)["evacuated"].empty() == Evacuated) {
        return false;
      }
    }
    return true;
  }
};

/** A rollout from two targets of v1 to two of v2. */
struct rollout_rewind : rewind_run {
  steady_time Ordered{};
  std::vector<int> Stages; // Of the rollout on each node.

  explicit rollout_rewind(micros NewRunTime) : rewind_run(1, 4, micros(0)) {
    for (auto Node : {2, 3}) {
      Mesh.target(Node).Version = "v2";
      Mesh.target(Node).RunTime = NewRunTime;
    }
    Mesh.startTargets();
    Mesh.run(StartTime);
    Mesh.store().append(
        OperatorTopic, "rollout/svc",
        R"({"service":"svc","targetVersion":"v2","duration":"14s"})");
    Ordered = Mesh.now();
  }
  /** Sends calls, and checks that no node goes back to an earlier stage. */
  void playCalls(micros Until) {
    for (auto Call = 0; Mesh.now() < Ordered + Until; ++Call) {
      Mesh.startCall(Call % 4, 1, [](int) {});
      Mesh.run(micros(20'000));
      if (Call % 25 == 0) {
        checkStages();
      }
    }
  }
  void checkStages() {
    Stages.resize(4);
    for (auto Node = 0; Node < 4; ++Node) {
      auto &Known = Stages[static_cast<std::size_t>(Node)];
      auto Rollouts = Mesh.state(Node)["rollouts"];
      auto Stage = Rollouts.is_null() ? 0 : Rollouts["svc"]["stage"].get<int>();
      cr_assert_geq(Stage, Known, "node %d went back", Node + 1);
      Known = Stage;
    }
  }
  /** Checks that all nodes and the store have one outcome. */
  void expectOutcome(rollout::rollout_stage Stage, const std::string &Status) {
    for (auto Node = 0; Node < Mesh.nodeCount(); ++Node) {
      cr_assert_eq(Mesh.state(Node)["rollouts"]["svc"]["stage"].get<int>(),
                   static_cast<int>(Stage), "node %d", Node + 1);
    }
    auto Statuses = Mesh.store().valuesOf(StatusTopic, "rollout/svc");
    cr_assert_not(Statuses.empty());
    cr_assert_eq(nlohmann::json::parse(Statuses.back())["state"], Status);
    auto IsFinal = false;
    for (const auto &Text : Statuses) {
      auto Is = nlohmann::json::parse(Text)["state"] == Status;
      cr_assert(Is || !IsFinal, "%s after the outcome", Text.c_str());
      IsFinal = Is;
    }
    cr_assert_not(Mesh.store().valuesOf(MeshTopic, "rollout/svc").empty());
  }
};

} // namespace

// Guards against nodes that start while the store goes back and then lack the
// configuration or a host.
Test(sidecar_rewind, nodes_start_during_a_rewind) {
  for (auto Step : {0, 300, 900, 1800, 2600}) {
    auto Run = rewind_run(2, 2, micros(Step * 1000));
    Run.Mesh.store().rewind(seconds(1), RewriteDelay);
    Run.play(seconds(9));
    Run.expectVersion(1, "after the start");
    for (auto Node = 0; Node < 4; ++Node) {
      cr_assert_eq(Run.Mesh.state(Node)["hosts"].size(), 4U);
      auto Key = "host/node-" + std::to_string(Node + 1);
      cr_assert_not(Run.Mesh.store().valuesOf(MeshTopic, Key).empty());
    }
  }
}

// Guards against a configuration that goes back to that of the copy, or isn't
// in force in time because its offset is that of another record.
Test(sidecar_rewind, configurations_do_not_go_back) {
  for (auto Age : AllAges) {
    for (auto Step : {0, 200, 700, 2500}) {
      auto Run = rewind_run(2, 2);
      Run.Mesh.publishConfig();
      Run.play(seconds(2));
      Run.Mesh.publishConfig();
      Run.Mesh.run(micros(Step * 1000));
      Run.Mesh.store().rewind(seconds(Age), RewriteDelay);
      Run.play(seconds(6));
      Run.expectVersion(3, "after the records were written again");
      Run.Mesh.publishConfig();
      Run.play(micros(2'000'000));
      Run.expectVersion(4, "after the next change");
      // Another rewind follows while that change is new.
      Run.Mesh.store().rewind(seconds(1), RewriteDelay);
      Run.Mesh.run(micros(500'000));
      Run.Mesh.store().rewind(seconds(1), RewriteDelay);
      Run.play(seconds(6));
      Run.expectVersion(4, "after two rewinds");
    }
  }
}

// Guards against an evacuation that a rewind ends, and against one that stays
// although operators have removed it or don't write it again.
Test(sidecar_rewind, evacuation_ends_only_when_operators_end_it) {
  for (auto Age : AllAges) {
    auto Run = rewind_run(2, 2);
    auto &Store = Run.Mesh.store();
    Store.append(OperatorTopic, "evacuate/zone-1", "{}");
    Run.Mesh.run(micros(700'000));
    Store.rewind(seconds(Age), RewriteDelay);
    for (auto Count = 0; Count < 40; ++Count) {
      Run.play(CheckInterval);
      auto Elapsed = Count * CheckInterval;
      cr_assert(Elapsed < seconds(2) || Run.isEvacuatedOnAll(true),
                "ended by a rewind of %d s", Age);
    }
    Store.append(OperatorTopic, "evacuate/zone-1", "");
    Run.play(seconds(2));
    cr_assert(Run.isEvacuatedOnAll(false), "the tombstone is not followed");
    Store.rewind(seconds(3), RewriteDelay); // The copy has the evacuation.
    Run.play(DeletionTime);
    cr_assert(Run.isEvacuatedOnAll(false), "an ended one returned for good");
    Store.append(OperatorTopic, "evacuate/zone-1", "{}");
    Run.play(seconds(2));
    Store.rewind(seconds(3), NoRewrite);
    Run.play(seconds(4));
    cr_assert(Run.isEvacuatedOnAll(true), "not kept until it can be written");
    Run.play(DeletionTime - seconds(4));
    cr_assert(Run.isEvacuatedOnAll(false), "kept although it isn't written");
  }
}

// Guards against a node that was cut off from the store and all nodes during a
// rewind, and keeps or spreads what the others have replaced.
Test(sidecar_rewind, node_that_was_away_follows) {
  auto Run = rewind_run(2, 2);
  auto &Store = Run.Mesh.store();
  Store.append(OperatorTopic, "evacuate/zone-1", "{}");
  Run.play(seconds(2));
  auto SetAway = [&Run, &Store](bool Away) {
    Store.setAccess(0, Away ? store_access::Silent : store_access::Served);
    for (auto Other = 1; Other < 4; ++Other) {
      Run.Mesh.setCut(0, Other, Away);
    }
  };
  SetAway(true);
  Store.rewind(seconds(10), NoRewrite);
  Run.play(seconds(4));
  Run.Mesh.publishConfig();
  Run.play(DeletionTime);
  SetAway(false);
  for (auto Count = 0; Count < 8; ++Count) {
    Run.play(seconds(1));
    for (auto Node = 1; Node < 4; ++Node) {
      cr_assert(Run.Mesh.state(Node)["evacuated"].empty(), "pulled back");
    }
  }
  Run.play(seconds(6));
  cr_assert(Run.isEvacuatedOnAll(false));
  Run.expectVersion(2, "after the node returned");
}

/** Rewinds the store at each step of a rollout.
 * @param Dead node that is cut off from the store and all nodes meanwhile, or
 * -1. */
static void rewindRollouts(int Dead, int Age) {
  for (auto Step : {0, 1, 7, 8, 11, 12, 15}) {
    auto Run = rollout_rewind(micros(20'000));
    auto SetDead = [&Run, Dead](bool IsDead) {
      if (Dead < 0) {
        return;
      }
      Run.Mesh.store().setAccess(Dead, IsDead ? store_access::Silent
                                              : store_access::Served);
      for (auto Other = 1; Other < 4; ++Other) {
        Run.Mesh.setCut(Dead, Other, IsDead);
      }
    };
    SetDead(true);
    Run.playCalls(seconds(Step));
    Run.Mesh.store().rewind(seconds(Age), RewriteDelay);
    Run.playCalls(seconds(16));
    SetDead(false);
    Run.playCalls(seconds(28));
    Run.expectOutcome(rollout::rollout_stage::Completed, "completed");
  }
}

// Guards against a rollout that is undone or begun again because the store lost
// its order, decision or status. Each test is short enough for its time limit.
Test(sidecar_rewind, rollouts_outlast_1_s) { rewindRollouts(-1, 1); }
Test(sidecar_rewind, rollouts_outlast_4_s) { rewindRollouts(-1, 4); }
Test(sidecar_rewind, rollouts_outlast_10_s) { rewindRollouts(-1, 10); }

// Guards against the same while one of the deciders is dead.
Test(sidecar_rewind, rollouts_outlast_1_s_less_one) { rewindRollouts(0, 1); }
Test(sidecar_rewind, rollouts_outlast_4_s_less_one) { rewindRollouts(0, 4); }
Test(sidecar_rewind, rollouts_outlast_10_s_less_one) { rewindRollouts(0, 10); }

// Guards against an order that was rolled back and gets calls again because it
// has another offset.
Test(sidecar_rewind, rolled_back_version_stays_without_calls) {
  for (auto Age : {2, 10}) {
    auto Run = rollout_rewind(micros(160'000));
    Run.playCalls(seconds(14));
    auto Before = Run.Mesh.target(2).Arrivals.size();
    Run.Mesh.store().rewind(seconds(Age), RewriteDelay);
    Run.playCalls(seconds(16));
    Run.Mesh.store().rewind(seconds(Age), RewriteDelay);
    Run.playCalls(seconds(28));
    Run.expectOutcome(rollout::rollout_stage::RolledBack, "rolled_back");
    cr_assert_eq(Run.Mesh.target(2).Arrivals.size(), Before);
  }
}

/** Tells a node that its target leaves. */
static void sendLeave(mesh_sim &Mesh, int Node) {
  Mesh.target(Node).HealthStatus = 503;
  auto Request = http::request();
  Request.Method = "DELETE";
  Request.Target = "/instances/i-" + std::to_string(Node + 1);
  Request.Path = Request.Target;
  Request.Headers = {{"Host", "node"}};
  auto Options = http::client_options();
  Options.MaxBodyBytes = 4096;
  auto Connection = http::client_connection::open(
      Mesh.loop(), Mesh.heartbeatAddress(Node), Options);
  auto Status = std::make_shared<int>(0);
  Connection->exchange(Request, [Status](const http::exchange_result &Result) {
    const auto *Response = std::get_if<http::response>(&Result);
    *Status = Response == nullptr ? 0 : Response->Status;
  });
  Mesh.run(micros(50'000));
  cr_assert_eq(*Status, 200);
}

// Guards against host records that nobody finds after a rewind, and against a
// leave of a node or of a target that it undoes.
Test(sidecar_rewind, hosts_are_recorded_again_and_leaves_stay) {
  for (auto Step : {0, 300, 1500}) {
    auto Run = rewind_run(2, 2, micros(0));
    Run.Mesh.startTargets();
    Run.play(StartTime);
    Run.Mesh.stopNode(0, [] {});
    Run.Mesh.run(micros(2'200'000)); // Until it tells that it leaves.
    sendLeave(Run.Mesh, 1);
    Run.Mesh.run(micros(200'000 + Step * 1000));
    Run.Mesh.store().rewind(seconds(10), RewriteDelay);
    for (auto Count = 0; Count < 12; ++Count) {
      for (auto Node = 1; Node < 4; ++Node) {
        auto Hosts = Run.Mesh.state(Node)["hosts"];
        cr_assert(Hosts["node-1"]["leaving"].get<bool>(), "node %d", Node + 1);
        cr_assert_eq(Hosts["node-2"]["state"].get<int>(),
                     static_cast<int>(mesh::target_state::Gone), "node %d",
                     Node + 1);
      }
      Run.Mesh.run(micros(500'000));
    }
    for (auto Node = 1; Node < 4; ++Node) {
      auto Key = "host/node-" + std::to_string(Node + 1);
      cr_assert_not(Run.Mesh.store().valuesOf(MeshTopic, Key).empty(), "%s",
                    Key.c_str());
    }
  }
}
