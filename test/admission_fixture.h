/** @file admission_fixture.h A node with call admission for tests. */
#pragma once

#include "sidecar/admission.h"

#include <optional>
#include <string>
#include <unistd.h>

namespace sycamorelb::sidecar {

/** @return an address of its own for a target, as other runs of the tests may
 * use the same ports. */
inline auto targetAddress() -> event::endpoint {
  auto Process = static_cast<unsigned>(::getpid());
  return {"127.1." + std::to_string(Process % 250) + "." +
              std::to_string(Process / 250 % 250),
          28'390};
}

/** A node without a target, whose process started a minute ago. */
struct admission_fixture {
  event::loop Loop;
  node_state State;
  admission Admission;

  admission_fixture()
      : State(Loop, settings(), 1), Admission(State, {[] {}, [] {}, [] {}}) {
    State.StartedAt = Loop.now() - micros(60'000'000);
  }
  static auto settings() -> node_settings {
    auto Settings = node_settings();
    Settings.Node = {"node-1"};
    Settings.Service = {"svc"};
    return Settings;
  }
  static auto target() -> mesh::target_record {
    auto Target = mesh::target_record();
    Target.Id = {"i-1"};
    Target.StartedAtMs = 1;
    Target.Service = {"svc"};
    Target.Slots = 1;
    Target.State = mesh::target_state::Ready;
    return Target;
  }
  /** Makes the target ready and warm, so that calls are queued or run. */
  void start() {
    auto Target = target();
    State.Own.Target = Target;
    State.Hosts.merge(State.Own);
    Admission.setTarget(Target, micros(0));
  }
  /** @return a call for the service of the target. */
  static auto forward(micros TimeLeft) -> inner::forward_message {
    auto Forward = inner::forward_message();
    Forward.Service = {"svc"};
    Forward.TimeLeft = TimeLeft;
    return Forward;
  }
  auto submit(const call_key &Key) -> std::optional<inner::reply_outcome> {
    auto Forward = inner::forward_message();
    Forward.Call = Key.Call;
    Forward.TimeLeft = micros(1'000'000);
    auto Outcome = std::optional<inner::reply_outcome>();
    Admission.submit(Key, Forward, [&Outcome](const auto &Reply) {
      Outcome = Reply.Outcome;
    });
    return Outcome;
  }
  auto resume(const call_key &Key, micros Age, process_id SentTo = {})
      -> std::optional<inner::reply_outcome> {
    auto Outcome = std::optional<inner::reply_outcome>();
    Admission.resume(
        Key, {Key.Call, Age, SentTo},
        [&Outcome](const auto &Reply) { Outcome = Reply.Outcome; });
    return Outcome;
  }
};

} // namespace sycamorelb::sidecar
