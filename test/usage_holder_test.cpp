/** @file usage_holder_test.cpp Promises of the usage report under faults. */
#include "sidecar_sim.h"
#include "usage_sim.h"

#include <criterion/criterion.h>

using namespace sycamorelb;
using namespace sycamorelb::sim;
using namespace sycamorelb::usage;

static constexpr auto Second = micros(1'000'000);

/** @return the number of windows accepted after a time. */
static auto acceptedSince(const usage_sim &Sim, steady_time From) -> int {
  auto Number = 0;
  for (const auto &[Window, At] : Sim.AcceptedAt) {
    Number += At >= From ? 1 : 0;
  }
  return Number;
}

// Guards against lost windows and needless calls to the store, which are
// priced, while nothing fails.
Test(usage_holder, one_append_for_each_window_and_no_other_call) {
  for (auto Fencing : {true, false}) {
    auto Sim = usage_sim(1, {Fencing, 0, {}});
    Sim.run(30 * Second);
    auto Lists = Sim.Lists;
    auto Appends = Sim.Appends;
    auto Acts = Sim.Acts.size();
    auto From = Sim.now();
    Sim.run(100 * Second);
    cr_assert_eq(acceptedSince(Sim, From), 20);
    cr_assert_eq(Sim.Appends - Appends, 20);
    cr_assert_eq(Sim.Acts.size() - Acts, 20U);
    cr_assert_eq(Sim.Lists, Lists);
    cr_assert_eq(Sim.findViolation(), "");
  }
}

// Guards against broken promises (a) to (d) under random faults at each step:
// holders killed, frozen, cut off, two that both believe to hold, the store
// down or back from an older copy, a slow or limiting platform, clock steps.
// Also against a protocol that never recovers once they are over.
static void playRandomFaults(bool Fencing, std::uint64_t Seeds) {
  auto [First, Last] = seedRange(Seeds);
  for (auto Seed = First; Seed <= Last; ++Seed) {
    auto Share = Seed % 3 == 0 ? 0.02 : Seed % 3 == 1 ? 0.06 : 0.15;
    auto Sim = usage_sim(Seed, {Fencing, Share, 90 * Second});
    Sim.run(130 * Second);
    cr_assert_eq(Sim.findViolation(), "", "seed %lu: %s", Seed,
                 Sim.findViolation().c_str());
    auto From = Sim.now();
    Sim.run(40 * Second);
    cr_assert_eq(Sim.findViolation(), "", "seed %lu", Seed);
    cr_assert_geq(acceptedSince(Sim, From), 7, "seed %lu: %d windows", Seed,
                  acceptedSince(Sim, From));
  }
}

Test(usage_holder, random_faults_with_fencing) { playRandomFaults(true, 400); }

Test(usage_holder, random_faults_without_fencing) {
  playRandomFaults(false, 400);
}

/** Plays one fault at each occurrence of one step and checks the promises. */
static void playAtStep(usage_step Step, const char *Name,
                       const std::function<void(usage_sim &, int)> &Fault) {
  for (auto Fencing : {true, false}) {
    for (auto Occurrence = 0; Occurrence < 6; ++Occurrence) {
      auto Sim = usage_sim(7, {Fencing, 0, {}});
      auto Left = Occurrence;
      Sim.OnStep = [&](usage_step Current, int Node) {
        if (Current == Step && Left-- == 0) {
          Fault(Sim, Node);
        }
      };
      Sim.run(80 * Second);
      cr_assert_eq(Sim.findViolation(), "", "%s, step %d, occurrence %d: %s",
                   Name, static_cast<int>(Step), Occurrence,
                   Sim.findViolation().c_str());
      cr_assert_geq(acceptedSince(Sim, Sim.now() - 30 * Second), 5,
                    "%s, step %d, occurrence %d: %d windows", Name,
                    static_cast<int>(Step), Occurrence,
                    acceptedSince(Sim, Sim.now() - 30 * Second));
    }
  }
}

// Guards against a fault at one certain step: before the write, between write
// and send, between send and answer.
Test(usage_holder, each_fault_at_each_step) {
  using fault = std::function<void(usage_sim &, int)>;
  auto Faults = std::vector<std::pair<const char *, fault>>{
      {"kill", [](auto &Sim, int Node) { Sim.kill(Node, 4 * Second); }},
      {"freeze", [](auto &Sim, int Node) { Sim.pause(Node, 9 * Second); }},
      {"short freeze", [](auto &Sim, int Node) { Sim.pause(Node, 2 * Second); }},
      {"store cut", [](auto &Sim, int Node) { Sim.cutStore(Node, 12 * Second); }},
      {"platform cut",
       [](auto &Sim, int Node) { Sim.cutPlatform(Node, 12 * Second); }},
      {"peers cut", [](auto &Sim, int Node) { Sim.cutPeers(Node, 20 * Second); }},
      {"store down", [](auto &Sim, int) { Sim.stopStore(10 * Second); }},
      {"429", [](auto &Sim, int) { Sim.limitPlatform(8 * Second); }},
      {"slow platform", [](auto &Sim, int) { Sim.slowPlatform(15 * Second); }},
      {"clock step",
       [](auto &Sim, int Node) { Sim.stepClock(Node, millis(-6000)); }},
      {"rewind", [](auto &Sim, int) { Sim.rewind(1); }},
      {"long rewind", [](auto &Sim, int) { Sim.rewind(5); }},
      {"rewind without loss", [](auto &Sim, int) { Sim.rewind(0); }},
      {"two rewinds",
       [](auto &Sim, int) {
         Sim.rewind(1);
         Sim.rewind(1);
       }},
      {"rewind while dead", [](auto &Sim, int Node) {
         Sim.kill(Node, 6 * Second);
         Sim.rewind(2);
       }}};
  for (auto Step = 0; Step <= static_cast<int>(usage_step::SendAnswered);
       ++Step) {
    for (const auto &[Name, Fault] : Faults) {
      playAtStep(static_cast<usage_step>(Step), Name, Fault);
    }
  }
}

// Guards against a token that is used again after 409, and against a deployment
// that never reports again after it.
Test(usage_holder, goes_on_with_a_higher_token_after_409) {
  auto Sim = usage_sim(5, {true, 0, {}});
  Sim.run(30 * Second);
  Sim.raiseToken();
  Sim.run(40 * Second);
  cr_assert_not(Sim.FencedTokens.empty());
  cr_assert_eq(Sim.findViolation(), "");
  cr_assert_geq(acceptedSince(Sim, Sim.now() - 20 * Second), 4);
}

// Guards against a report that is repeated with other counts, or given up,
// while the platform limits calls.
Test(usage_holder, repeats_the_same_report_after_429) {
  auto Sim = usage_sim(3, {true, 0, {}});
  Sim.run(30 * Second);
  auto Before = Sim.Acts.size();
  Sim.limitPlatform(6 * Second);
  Sim.run(15 * Second);
  cr_assert_gt(Sim.Acts.size(), Before + 4);
  cr_assert_eq(Sim.findViolation(), "");
  // All windows that ended in the last 15 s but one are accepted.
  cr_assert_geq(acceptedSince(Sim, Sim.now() - 15 * Second), 3);
}
