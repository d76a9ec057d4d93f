/** @file checkpoint_writer.cpp Writer of configuration checkpoints. */
#include "node/checkpoint_writer.h"

#include "sycamorelb/config/checkpoint_func.h"
#include "sycamorelb/telemetry/log_func.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace sycamorelb::node {

checkpoint_writer::checkpoint_writer(node_context &NodeContext)
    : Context(NodeContext), LastCheckpointAt(steadyNow()) {}

void checkpoint_writer::onUpdate(const config::update_result &Update,
                                 log_offset Position) {
  auto Lock = std::lock_guard(Mutex);
  auto HasCheckpoint =
      std::any_of(Update.Outcomes.begin(), Update.Outcomes.end(),
                  [](const config::replay_outcome &Outcome) {
                    return Outcome.Kind == config::replay_kind::Checkpoint;
                  });
  // A node that installed a whole state does not know the newest checkpoint. It
  // assumes one at this position, so that nodes that rejoin all at once don't
  // each write one.
  auto StateInstalled = Update.Outcomes.empty();
  if (HasCheckpoint || StateInstalled) {
    LastCheckpoint = Position;
    LastCheckpointAt = steadyNow();
  }
}

void checkpoint_writer::writeIfDue(const std::vector<config::peer> &Live) {
  auto Input = config::checkpoint_input();
  Input.ReaderRank = config::readerRank(Live, Context.Self);
  Input.FirstZone = config::isFirstZone(Live, Context.Self);
  Input.Position = Context.Store.point().Position;
  Input.Retention = Context.Settings.Log.Retention;
  {
    auto Lock = std::lock_guard(Mutex);
    Input.LastCheckpoint = LastCheckpoint;
    Input.SinceLast =
        std::chrono::duration_cast<millis>(steadyNow() - LastCheckpointAt);
  }
  if (config::shouldWriteCheckpoint(Input)) {
    write();
  }
}

void checkpoint_writer::write() {
  auto Snapshot = Context.Store.current();
  auto Id = Context.Self.Id.Value + "-" +
            std::to_string(Context.Incarnation.Value) + "-" +
            std::to_string(++WrittenCount);
  auto Parts = config::encodeCheckpoint(Snapshot->State, Id, wallNow());
  for (const auto &Part : Parts) {
    auto Result = Context.Log.append(ConfigStream, Part,
                                     Context.Settings.Log.AppendTimeout);
    if (!std::holds_alternative<platform::append_done>(Result)) {
      // Readers ignore an incomplete checkpoint.
      telemetry::logLine(
          telemetry::log_level::Warning,
          {"checkpoint.append", Context.Settings.Log.Address, ""},
          "append failed; the checkpoint will be written again");
      return;
    }
  }
  auto Lock = std::lock_guard(Mutex);
  LastCheckpoint = Snapshot->State.Position;
  LastCheckpointAt = steadyNow();
  telemetry::logLine(
      telemetry::log_level::Info, {"checkpoint.append", "", ""},
      "checkpoint written",
      {{"position", LastCheckpoint.Value}, {"parts", Parts.size()}});
}

} // namespace sycamorelb::node
