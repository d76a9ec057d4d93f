/** @file verb_table.cpp All verbs of the command line. */
#include "cli/verb_table.h"

#include "cli/verb_func.h"

namespace sycamorelb::cli {

auto verbTable() -> const std::vector<verb> & {
  static const auto Table = std::vector<verb>{
      {"node",
       "--settings=FILE | --print-settings",
       "Runs a node until SIGTERM or SIGINT, then drains it.\n"
       "  --print-settings prints all settings with their defaults.",
       {"settings", "print_settings"},
       0,
       runNode},
      {"sidecar",
       "[--settings=FILE] [--advertise=IP:PORT]",
       "Runs a node on the users' platform until SIGTERM or SIGINT.\n"
       "  --settings is the platform's settings file; by default the path "
       "that\n"
       "  the platform gives in the environment.\n"
       "  --advertise is where other nodes reach this one, for a host behind "
       "a proxy.",
       {"settings", "advertise"},
       0,
       runSidecar},
      {"explain",
       "REQUEST_ID LOGFILE",
       "Shows the life of one call from the logs of the nodes that saw it.\n"
       "  LOGFILE holds the lines of all nodes, in any order; - is standard "
       "input.",
       {"json"},
       2,
       runExplain},
      {"check",
       "FILE",
       "Checks a declaration and lists all faults. Contacts no node.",
       {"json"},
       1,
       runCheck},
      {"apply",
       "FILE [--wait] [--request-id=ID]",
       "Publishes a declaration.\n"
       "  --wait waits until it is in force on all live nodes.\n"
       "  --request-id repeats an earlier request; it never acts twice.",
       {"json", "node", "settings", "wait", "request_id", "timeout_ms"},
       1,
       runApply},
      {"diff",
       "FILE",
       "Shows what applying a declaration would change.",
       {"json", "node", "settings", "timeout_ms"},
       1,
       runDiff},
      {"status",
       "[--watch]",
       "Shows nodes, zones and traffic moves.\n"
       "  --watch repeats every --interval-ms milliseconds.",
       {"json", "node", "settings", "watch", "interval_ms", "timeout_ms"},
       0,
       runStatus},
      {"move",
       "SERVICE (--to=VERSION --by=TIME [--from=VERSION] [--wait] | --back)",
       "Moves the traffic of a service to another version.\n"
       "  --back takes the running move back instead.\n"
       "  --by is ISO-8601 UTC (2026-12-31T06:00:00Z) or relative (+90s, "
       "+10m, +2h).\n"
       "  --max-early-share-percent bounds the share before there is "
       "evidence.\n"
       "  --wait waits for the verdict: 0 for done, 1 for taken back.",
       {"json", "node", "settings", "to", "from", "by", "back", "wait",
        "request_id", "max_early_share_percent", "timeout_ms"},
       1,
       runMove},
      {"zone",
       "out|in ZONE [--wait]",
       "Takes an availability zone out of service, or back in.",
       {"json", "node", "settings", "wait", "request_id", "timeout_ms"},
       2,
       runZone},
      {"outcome",
       "REQUEST_ID",
       "Shows the fate of an earlier request.",
       {"json", "node", "settings", "timeout_ms"},
       1,
       runOutcome},
      {"dump",
       "[--node=ADDRESS]",
       "Prints the whole state of a node.",
       {"json", "node", "settings", "timeout_ms"},
       0,
       runDump},
      {"drain",
       "[--node=ADDRESS]",
       "Stops a node gracefully.",
       {"json", "node", "settings", "timeout_ms"},
       0,
       runDrain},
      {"version",
       "",
       "Prints the version of the program.",
       {"json"},
       0,
       runVersion},
  };
  return Table;
}

} // namespace sycamorelb::cli
