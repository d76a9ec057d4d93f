/** @file sidecar_admission_test.cpp Tests of what a node says of calls. */
#include "sidecar/admission.h"

#include <criterion/criterion.h>
#include <optional>

using namespace sycamorelb;
using namespace sycamorelb::sidecar;
using inner::reply_outcome;

/** A node without target, whose process started long ago. */
struct admission_fixture {
  event::loop Loop;
  node_state State;
  admission Admission;

  admission_fixture()
      : State(Loop, settings(), 1), Admission(
                                        State, [] {}, [] {}) {
    State.StartedAt = Loop.now() - micros(60'000'000);
  }
  static auto settings() -> node_settings {
    auto Settings = node_settings();
    Settings.Node = {"node-1"};
    Settings.Service = {"svc"};
    return Settings;
  }
  auto submit(const call_key &Key) -> std::optional<reply_outcome> {
    auto Forward = inner::forward_message();
    Forward.Call = Key.Call;
    Forward.TimeLeft = micros(1'000'000);
    auto Outcome = std::optional<reply_outcome>();
    Admission.submit(Key, Forward, [&Outcome](const auto &Reply) {
      Outcome = Reply.Outcome;
    });
    return Outcome;
  }
  auto resume(const call_key &Key, micros Age) -> std::optional<reply_outcome> {
    auto Outcome = std::optional<reply_outcome>();
    Admission.resume(
        Key, Age, [&Outcome](const auto &Reply) { Outcome = Reply.Outcome; });
    return Outcome;
  }
};

static const auto Key = call_key{{"node-2"}, 1, {7}};

// Guards against running a call after its caller was told that it has not run:
// a copy that was held up on the lost connection arrives later.
Test(sidecar_admission, late_copy_of_a_call_told_as_not_run_does_not_run) {
  auto Node = admission_fixture();
  cr_assert(Node.resume(Key, micros(500'000)) == reply_outcome::NotRun);
  cr_assert(Node.submit(Key) == reply_outcome::Unknown);
}

// Guards against a false "not run" from a process that started after the call
// was sent: the former one may have run it.
Test(sidecar_admission, restarted_node_cannot_tell) {
  auto Node = admission_fixture();
  Node.State.StartedAt = Node.Loop.now() - micros(1'200'000);
  cr_assert(Node.resume(Key, micros(400'000)) == reply_outcome::Unknown);
}

// Guards against two answers on one call that differ.
Test(sidecar_admission, outcome_is_kept_for_a_second_question) {
  auto Node = admission_fixture();
  cr_assert(Node.submit(Key) == reply_outcome::NotRun);
  cr_assert(Node.resume(Key, micros(400'000)) == reply_outcome::NotRun);
  cr_assert(Node.submit(Key) == reply_outcome::NotRun);
}
