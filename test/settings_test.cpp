/** @file settings_test.cpp Tests of the node settings. */
#include "sycamorelb/settings/settings_func.h"

#include <criterion/criterion.h>

using namespace sycamorelb;
using namespace sycamorelb::settings;

// Guards against printed default settings that the parser rejects.
Test(settings, rendered_example_is_accepted_and_unchanged) {
  auto Text = renderSettings(exampleSettings());
  auto Parsed = parseSettings(Text, "example.json");
  cr_assert(isOk(Parsed));
  cr_assert(renderSettings(valueOf(Parsed)) == Text);
}

// Guards against a misspelled key that is silently ignored, and against an
// error that lists only the first violation.
Test(settings, all_violations_are_listed_with_pointers) {
  auto Parsed = parseSettings(
      R"({"id": "a", "zone": "z", "region": "r", "heartbeat": 5,
          "inner_keys": [{"id": 1, "secret": "short"}],
          "admin_keys": [{"id": 1, "secret": "0123456789abcdef"}],
          "listen": {"ip": "localhost", "caller_port": 70000}})",
      "bad.json");
  cr_assert(!isOk(Parsed));
  const auto &Message = errorOf(Parsed).Message;
  cr_assert(Message.find("heartbeat") != std::string::npos);
  cr_assert(Message.find("/inner_keys/0/secret") != std::string::npos);
  cr_assert(Message.find("/listen/caller_port") != std::string::npos);
  cr_assert(Message.find("/listen/ip") != std::string::npos);
}
