/** @file flags.cpp Definitions of the flags of the command line. */
#include "cli/flags.h"

#include <gflags/gflags.h>

DEFINE_string(settings, "",
              "settings file of a node; clients take keys and address from it");
DEFINE_string(advertise, "",
              "IP:PORT at which other nodes reach this one, if not directly");
DEFINE_bool(print_settings, false, "print all settings with their defaults");
DEFINE_string(node, "", "admin address of the node to ask, ip:port");
DEFINE_bool(json, false, "print JSON for machines");
DEFINE_bool(wait, false, "wait for the end and show progress");
DEFINE_bool(watch, false, "repeat until interrupted");
DEFINE_string(request_id, "", "id of the request; repeating it acts once");
DEFINE_string(to, "", "new version");
DEFINE_string(from, "", "old version; default is the active one");
DEFINE_string(by, "", "time by which the move is decided");
DEFINE_bool(back, false, "take the running move back");
DEFINE_double(max_early_share_percent, 5.0,
              "largest share of the new version before there is evidence");
DEFINE_int32(timeout_ms, 10000, "time for the whole command, in ms");
DEFINE_int32(interval_ms, 1000, "period of --watch, in ms");
