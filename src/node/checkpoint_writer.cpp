/** @file checkpoint_writer.cpp Writes checkpoints of the configuration. */
#include "node/checkpoint_writer.h"

#include "sycamorelb/config/checkpoint_func.h"
#include "sycamorelb/telemetry/log_func.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace sycamorelb::node {

checkpoint_writer::checkpoint_writer(node_context &NodeContext)
    : Context(NodeContext), LastSeen(steadyNow()) {}

void checkpoint_writer::observe(const config::update_result &Delivery,
                                log_offset Position) {
  auto Lock = std::lock_guard(Mutex);
  auto HadCheckpoint =
      std::any_of(Delivery.Outcomes.begin(), Delivery.Outcomes.end(),
                  [](const config::replay_outcome &Outcome) {
                    return Outcome.Kind == config::replay_kind::Checkpoint;
                  });
  // A node that adopted a whole state does not know the newest checkpoint; it
  // starts to count there, so that a rejoining fleet does not write many.
  auto Adopted = Delivery.Outcomes.empty();
  if (HadCheckpoint || Adopted) {
    LastCheckpoint = Position;
    LastSeen = steadyNow();
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
        std::chrono::duration_cast<millis>(steadyNow() - LastSeen);
  }
  if (config::shouldWriteCheckpoint(Input)) {
    write();
  }
}

void checkpoint_writer::write() {
  auto Snapshot = Context.Store.current();
  auto Id = Context.Self.Id.Value + "-" +
            std::to_string(Context.Incarnation.Value) + "-" +
            std::to_string(++Written);
  auto Parts = config::encodeCheckpoint(Snapshot->State, Id, wallNow());
  for (const auto &Part : Parts) {
    auto Result = Context.Log.append(ConfigStream, Part,
                                     Context.Settings.Log.AppendTimeout);
    if (!std::holds_alternative<platform::append_done>(Result)) {
      // The parts written so far are ignored by readers without the rest.
      telemetry::logLine(
          telemetry::log_level::Warning,
          {"checkpoint.append", Context.Settings.Log.Address, ""},
          "checkpoint not completed; it is written again later");
      return;
    }
  }
  auto Lock = std::lock_guard(Mutex);
  LastCheckpoint = Snapshot->State.Position;
  LastSeen = steadyNow();
  telemetry::logLine(
      telemetry::log_level::Info, {"checkpoint.append", "", ""},
      "checkpoint written",
      {{"position", LastCheckpoint.Value}, {"parts", Parts.size()}});
}

} // namespace sycamorelb::node
