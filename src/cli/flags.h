/** @file flags.h Flags of the command line. */
#pragma once

#include <gflags/gflags_declare.h>

DECLARE_string(settings);
DECLARE_string(advertise);
DECLARE_bool(print_settings);
DECLARE_string(node);
DECLARE_bool(json);
DECLARE_bool(wait);
DECLARE_bool(watch);
DECLARE_string(request_id);
DECLARE_string(to);
DECLARE_string(from);
DECLARE_string(by);
DECLARE_bool(back);
DECLARE_double(max_early_share_percent);
DECLARE_int32(timeout_ms);
DECLARE_int32(interval_ms);
