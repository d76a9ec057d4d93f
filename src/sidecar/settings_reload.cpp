/** @file settings_reload.cpp Reloads the settings file of a running node. */
#include "platform/settings_file.h"
#include "sidecar/sidecar_state.h"

#include <fstream>
#include <sstream>
#include <sys/stat.h>

namespace sycamorelb::sidecar {

void sidecar::implementation::reloadIfChanged() {
  struct stat Info = {};
  if (SettingsPath.empty() || ::stat(SettingsPath.c_str(), &Info) != 0) {
    return;
  }
  auto Changed = Info.st_mtim.tv_sec != SettingsModifiedAt.tv_sec ||
                 Info.st_mtim.tv_nsec != SettingsModifiedAt.tv_nsec;
  auto First = SettingsModifiedAt.tv_sec == 0;
  SettingsModifiedAt = Info.st_mtim;
  if (Changed && !First) {
    reload();
  }
}

void sidecar::implementation::reload() {
  auto File = std::ifstream(SettingsPath);
  auto Text = std::stringstream();
  Text << File.rdbuf();
  auto Update = platform::decodeSettings(Text.str());
  if (!isOk(Update)) {
    ++State.Counters.BadInput["settings"];
    State.Log.write(
        log_class::State, "settings.rejected",
        {{"path", SettingsPath}, {"fault", errorOf(Update).Message}});
    return;
  }
  auto &Current = State.Settings;
  const auto &Value = valueOf(Update);
  auto NeedsRestart = Value.Node != Current.Node ||
                      !(Value.CallerAddress == Current.CallerAddress) ||
                      !(Value.PeerAddress == Current.PeerAddress) ||
                      !(Value.TargetAddress == Current.TargetAddress) ||
                      Value.Service != Current.Service ||
                      Value.Zone != Current.Zone;
  Current.Bounds = Value.Bounds;
  Current.HeartbeatInterval = Value.HeartbeatInterval;
  Current.StoreAddress = Value.StoreAddress;
  State.Log.write(log_class::State, "settings.reloaded",
                  {{"path", SettingsPath},
                   {"needs_restart", std::int64_t{NeedsRestart ? 1 : 0}}});
}

} // namespace sycamorelb::sidecar
