/** @file usage_api_test.cpp Formats of usage reports. */
#include "platform/usage_api.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace sycamorelb;
using namespace sycamorelb::usage;

// Guards against a record that another holder reads as other counts, which it
// would then send for the same window.
Test(usage_api, record_survives_encoding) {
  auto Record = usage_record{{"node-1"},
                             {0xffffffffffffffffU},
                             makeToken({3}, 77),
                             {3},
                             353445120,
                             true,
                             {{{"pulo780"}, 412}, {{"kabo51"}, 0xffffffffU}}};
  cr_assert(platform::decodeUsageRecord(platform::encodeUsageRecord(Record)) ==
            Record);
  auto Claim = usage_record{{"n"}, {1}, 2, {0}, -1, false, {}};
  cr_assert(platform::decodeUsageRecord(platform::encodeUsageRecord(Claim)) ==
            Claim);
  for (const auto *Text :
       {"", "{}", "[]", R"({"node":"n","process":1,"token":2})",
        R"({"node":"n","process":1,"token":2,"era":0,"counts":{"a":-1}})",
        R"({"node":"n","process":1,"token":2,"era":0,"counts":[1]})"}) {
    cr_assert_not(platform::decodeUsageRecord(Text), "%s", Text);
  }
}

// Guards against a call that the platform doesn't understand.
Test(usage_api, request_has_the_specified_form) {
  auto Request = platform::usageRequest(
      {"node-1"}, {makeToken({1}, 5), 353445120, {{{"pulo780"}, 412}}});
  cr_assert_eq(Request.Target, "/usage");
  cr_assert_eq(nlohmann::json::parse(Request.Body),
               nlohmann::json::parse(
                   R"({"windowNumber":353445120,"counts":{"pulo780":412}})"));
  auto Token = std::string();
  for (const auto &[Name, Value] : Request.Headers) {
    Token = Name == "Fencing-Token" ? Value : Token;
  }
  cr_assert_eq(Token, std::to_string((1ULL << 40U) + 5));
  cr_assert(platform::decodeUsageAnswer(409) == send_outcome::Fenced);
  cr_assert(platform::decodeUsageAnswer(429) == send_outcome::Unknown);
}
