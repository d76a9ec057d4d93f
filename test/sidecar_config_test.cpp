/** @file sidecar_config_test.cpp Tests of how configurations reach the nodes of
 * a mesh in time, whatever happens to the store and to other nodes. */
#include "sidecar_sim.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace sycamorelb;
using namespace sycamorelb::sim;

/** Time after its acknowledgement at which a configuration must be in force. */
static constexpr auto ApplyBound = micros(2'000'000);
/** Time without faults after which a node must meet the bound again. */
static constexpr auto SettleTime = micros(3'000'000);
/** Time in which the nodes of a mesh find each other, and those that aren't
 * readers end their first polls. */
static constexpr auto StartTime = micros(9'000'000);

/** @return the node of a zone that doesn't poll the store, or -1. */
static auto findNonReader(mesh_sim &Mesh, int Zone) -> int {
  auto Readers = Mesh.store().pollingNodes();
  for (auto Node = 0; Node < Mesh.nodeCount(); ++Node) {
    if (Mesh.zoneOf(Node) == Zone && !Readers.contains(Node)) {
      return Node;
    }
  }
  return -1;
}

/** Publishes a configuration that the readers don't get from the store, and
 * checks that another node has it in time. */
static void expectConfigWithoutReaders(mesh_sim &Mesh, int Node) {
  for (auto Reader : Mesh.store().pollingNodes()) {
    Mesh.store().setAccess(Reader, store_access::Silent);
  }
  auto Version = Mesh.publishConfig();
  Mesh.run(ApplyBound);
  cr_assert_eq(Mesh.call(Node, Version), 503,
               "the configuration is not in force");
}

// Regression test (incident config-readers): a node kept an old configuration
// for seconds, because the readers of its zone announced themselves while
// their polls of the store got no answer.
Test(sidecar_config, reader_without_answers_of_the_store_is_not_relied_on) {
  auto Mesh = mesh_sim(1, 3);
  Mesh.run(StartTime);
  auto Node = findNonReader(Mesh, 0);
  cr_assert_geq(Node, 0, "all nodes poll the store");
  expectConfigWithoutReaders(Mesh, Node);
}

// Guards against a node that asks the store late, because it first waits for an
// answer on a connection that went silent while it was idle.
Test(sidecar_config, idle_connection_to_the_store_is_not_relied_on) {
  auto Mesh = mesh_sim(1, 3);
  Mesh.run(StartTime);
  auto Node = findNonReader(Mesh, 0);
  cr_assert_geq(Node, 0, "all nodes poll the store");
  Mesh.store().silenceConnections(Node);
  expectConfigWithoutReaders(Mesh, Node);
}

namespace {

/** Random faults of a mesh, and which nodes they excuse. */
class fault_run {
public:
  fault_run(mesh_sim &Mesh, std::uint64_t Seed)
      : Mesh(Mesh), Random(Seed),
        HealthyFrom(static_cast<std::size_t>(Mesh.nodeCount()), Mesh.now()) {}

  /** Publishes configurations and injects faults, and calls all nodes on the
   * newest route that must be in force.
   * @return a description of the first wrong refusal, or "". */
  auto play(micros Length) -> std::string {
    auto End = Mesh.now() + Length;
    auto NextChange = Mesh.now();
    auto NextFault = Mesh.now();
    while (Mesh.now() < End && Error.empty()) {
      if (Mesh.now() >= NextChange) {
        Published.emplace_back(Mesh.now(), Mesh.publishConfig());
        NextChange = Mesh.now() + between(200'000, 4'000'000);
      }
      if (Mesh.now() >= NextFault) {
        injectFault();
        NextFault = Mesh.now() + between(500'000, 3'000'000);
      }
      callAll();
      Mesh.run(micros(100'000));
      endFaults();
    }
    return Error;
  }

private:
  struct store_fault {
    int Node;
    steady_time End;
  };
  struct cut {
    int Left;
    int Right;
    steady_time End;
  };

  auto between(std::uint32_t Min, std::uint32_t Max) -> micros {
    return micros(Min + randomBelow(Random, Max - Min));
  }
  auto anyNode() -> int {
    return static_cast<int>(
        randomBelow(Random, static_cast<std::uint32_t>(Mesh.nodeCount())));
  }

  void injectFault() {
    auto End = Mesh.now() + between(500'000, 8'000'000);
    auto Zone = Mesh.zoneOf(anyNode());
    switch (randomBelow(Random, 4)) {
    case 0: // The store turns nodes of one zone away.
      for (auto Node = 0; Node < Mesh.nodeCount(); ++Node) {
        if (Mesh.zoneOf(Node) == Zone && randomBelow(Random, 3) != 0) {
          auto Silent = randomBelow(Random, 4) != 0;
          Mesh.store().setAccess(Node, Silent ? store_access::Silent
                                              : store_access::Refused);
          StoreFaults.push_back({Node, End});
        }
      }
      break;
    case 1: // A zone is cut off from the others.
      for (auto Left = 0; Left < Mesh.nodeCount(); ++Left) {
        for (auto Right = 0; Right < Left; ++Right) {
          if ((Mesh.zoneOf(Left) == Zone) != (Mesh.zoneOf(Right) == Zone)) {
            addCut(Left, Right, End);
          }
        }
      }
      break;
    case 2: // Connections to the store go silent; new ones work.
      for (auto Node = 0; Node < Mesh.nodeCount(); ++Node) {
        if (randomBelow(Random, 4) != 0) {
          Mesh.store().silenceConnections(Node);
          HealthyFrom[static_cast<std::size_t>(Node)] = Mesh.now() + SettleTime;
        }
      }
      break;
    default: // A node is cut off from all others.
      for (auto Node = anyNode(), Other = 0; Other < Mesh.nodeCount();
           ++Other) {
        if (Other != Node) {
          addCut(Node, Other, End);
        }
      }
    }
  }

  void addCut(int Left, int Right, steady_time End) {
    Mesh.setCut(Left, Right, true);
    Cuts.push_back({Left, Right, End});
  }

  void endFaults() {
    auto Now = Mesh.now();
    std::erase_if(StoreFaults, [this, Now](const store_fault &Fault) {
      HealthyFrom[static_cast<std::size_t>(Fault.Node)] = Now + SettleTime;
      if (Fault.End <= Now) {
        Mesh.store().setAccess(Fault.Node, store_access::Served);
      }
      return Fault.End <= Now;
    });
    std::erase_if(Cuts, [this, Now](const cut &Cut) {
      if (Cut.End <= Now) {
        Mesh.setCut(Cut.Left, Cut.Right, false);
      }
      return Cut.End <= Now;
    });
  }

  void callAll() {
    auto SentAt = Mesh.now();
    auto Required = 0;
    for (const auto &[At, Version] : Published) {
      Required = At + ApplyBound <= SentAt ? Version : Required;
    }
    for (auto Node = 0; Required > 0 && Node < Mesh.nodeCount(); ++Node) {
      if (HealthyFrom[static_cast<std::size_t>(Node)] > SentAt) {
        continue;
      }
      Mesh.startCall(Node, Required, [this, Node, Required, SentAt](int Got) {
        if (Got == 404 && Error.empty()) {
          Error = "node " + std::to_string(Node + 1) + " lacks version " +
                  std::to_string(Required) + " at " +
                  std::to_string(SentAt.time_since_epoch().count());
        }
      });
    }
  }

  mesh_sim &Mesh;
  random_source Random;
  std::vector<steady_time> HealthyFrom; // By node.
  std::vector<std::pair<steady_time, int>> Published;
  std::vector<store_fault> StoreFaults;
  std::vector<cut> Cuts;
  std::string Error;
};

} // namespace

// Guards against nodes that miss a configuration for longer than allowed while
// the store turns some nodes away and nodes are cut off from each other.
// Incident config-readers shows here as well.
Test(sidecar_config, configurations_are_in_force_in_time_despite_faults) {
  auto [First, Last] = seedRange(12);
  for (auto Seed = First; Seed <= Last; ++Seed) {
    auto Mesh = mesh_sim(3, 3);
    Mesh.run(StartTime);
    auto Run = fault_run(Mesh, Seed);
    auto Error = Run.play(micros(40'000'000));
    cr_assert(Error.empty(), "seed %d: %s", static_cast<int>(Seed),
              Error.c_str());
  }
}
