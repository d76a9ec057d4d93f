/** @file verb_sidecar.cpp The verb that runs a node on the users' platform. */
#include "cli/client_func.h"
#include "cli/flags.h"
#include "cli/verb_func.h"
#include "platform/settings_file.h"
#include "sycamorelb/sidecar/sidecar.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace sycamorelb::cli {

auto runSidecar(const arguments & /*Arguments*/) -> exit_code {
  auto Path =
      FLAGS_settings.empty() ? platform::settingsPath() : FLAGS_settings;
  auto File = std::ifstream(Path);
  auto Text = std::stringstream();
  if (!File || !(Text << File.rdbuf())) {
    return reportError({error_code::NotFound, "read_settings", Path,
                        "the file cannot be read"});
  }
  auto Settings = platform::decodeSettings(Text.str());
  if (!isOk(Settings)) {
    auto Error = errorOf(Settings);
    Error.Peer = Path;
    return reportError(Error);
  }
  if (!FLAGS_advertise.empty()) {
    auto Advertised = event::parseEndpoint(FLAGS_advertise);
    if (!isOk(Advertised)) {
      return reportError(errorOf(Advertised));
    }
    valueOf(Settings).AdvertisedPeerAddress = valueOf(Advertised);
  }
  auto Sidecar = sidecar::sidecar::create(valueOf(Settings), Path);
  if (!isOk(Sidecar)) {
    return reportError(errorOf(Sidecar));
  }
  valueOf(Sidecar)->run();
  // All connections have ended and the log is written. The destructors of
  // linked libraries may wait for threads that the platform no longer runs.
  std::_Exit(static_cast<int>(exit_code::Done));
}

} // namespace sycamorelb::cli
