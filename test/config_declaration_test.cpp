/** @file config_declaration_test.cpp Tests of parsing, rendering and comparing
 * declarations. */
#include "config_fixture.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace sycamorelb;
using namespace sycamorelb::config;

static auto parseErrors(std::string_view Text)
    -> std::vector<declaration_error> {
  auto Parsed = parseDeclaration(Text, "mesh.json");
  auto *Errors = std::get_if<1>(&Parsed);
  return Errors == nullptr ? std::vector<declaration_error>() : *Errors;
}

static auto hasError(const std::vector<declaration_error> &Errors,
                     const std::string &Pointer, const std::string &Text)
    -> bool {
  return std::any_of(Errors.begin(), Errors.end(), [&](const auto &Error) {
    return Error.Pointer == Pointer && Error.File == "mesh.json" &&
           describe(Error).find(Text) != std::string::npos;
  });
}

// Guards against a member that rendering drops or changes.
Test(config_declaration, rendering_round_trips) {
  cr_assert(rc::check("round trip", [] {
    auto Expected = sampleDeclaration(*rc::gen::inRange(0, 60));
    Expected.Zones[{"patan"}].InService = *rc::gen::arbitrary<bool>();
    auto &Route = Expected.Routes.front();
    Route.Methods = {"GET", "POST"};
    Route.Idempotent = true;
    Route.MaxAttempts = *rc::gen::inRange(1U, 11U);
    Route.RetryBudgetPercent = *rc::gen::inRange(0U, 101U);
    Route.HedgeAfter = millis(*rc::gen::inRange(0, 1000));
    Route.HedgeBudgetPercent = *rc::gen::inRange(0U, 101U);
    auto Move = sampleMove("m", "v1", "v2");
    Move.By = {*rc::gen::inRange<std::int64_t>(0, 253'402'300'800'000)};
    Move.MaxEarlyShare = {*rc::gen::inRange(1U, 1'000'001U)};
    Expected.Moves.push_back(Move);
    auto Parsed = parseDeclaration(renderDeclaration(Expected), "mesh.json");
    RC_ASSERT(Parsed.index() == 0U);
    RC_ASSERT(std::get<0>(Parsed) == Expected);
  }));
}

// Guards against an error that hides others, and against errors without a
// location.
Test(config_declaration, all_errors_are_listed) {
  auto Errors = parseErrors(R"({
    "zones": {"a/b": {"regon": "x", "extra": 1}, "z": {"region": "r"},
              "z": {"region": "r"}},
    "services": {"s": {"versions": ["v1", "v1"], "active_version": "v9"},
                 "t": {"versions": [], "active_version": 1}},
    "routes": [
      {"name": "r", "service": "st", "path_prefix": "x", "methods": ["get"],
       "timeout_ms": 0, "max_attempts": 1.5, "timeot_ms": 3},
      {"name": "r", "service": "s", "path_prefix": "/x", "hedge_after_ms": 5},
      {"name": "q", "service": "s", "path_prefix": "/x", "methods": ["GET"],
       "idempotent": true, "hedge_after_ms": 2000}],
    "moves": [{"id": "m", "service": "s", "from": "v1", "to": "v1",
               "by": "tomorrow", "max_early_share_percent": 101}],
    "first": 1, "second": 2})");
  auto Expect = [&Errors](const char *Pointer, const char *Text) {
    cr_expect(hasError(Errors, Pointer, Text), "%s: %s", Pointer, Text);
  };
  Expect("/zones/a~1b", "letters");
  Expect("/zones/a~1b", "no key \"region\"");
  Expect("/zones/a~1b/regon", "did you mean \"region\"");
  Expect("/zones/a~1b/extra", "unknown key");
  Expect("/zones/z", "each key once");
  Expect("/services/s/versions/1", "not used before");
  Expect("/services/s/active_version", "a version of the service");
  Expect("/services/t/versions", "at least 1");
  Expect("/services/t/active_version", "found 1; allowed: string");
  Expect("/routes/0/service", "nearest: s");
  Expect("/routes/0/path_prefix", "begins with '/'");
  Expect("/routes/0/methods/0", "one of GET");
  Expect("/routes/0/timeout_ms", "found 0; allowed: integer from 1");
  Expect("/routes/0/max_attempts", "integer");
  Expect("/routes/0/timeot_ms", "did you mean \"timeout_ms\"");
  Expect("/routes/1/name", "not used before");
  Expect("/routes/1/hedge_after_ms", "idempotent");
  Expect("/routes/2/hedge_after_ms", "less than timeout_ms");
  Expect("/routes/2/path_prefix", "no earlier route has for GET");
  Expect("/moves/0/to", "other than");
  Expect("/moves/0/by", "ISO-8601");
  Expect("/moves/0/max_early_share_percent", "to 100");
  Expect("/first", "unknown key");
  Expect("/second", "unknown key");
}

// Guards against syntax errors without line and column.
Test(config_declaration, syntax_errors_have_line_and_column) {
  auto Errors = parseErrors("{\n \"zones\": {,}\n}");
  cr_assert(hasError(Errors, "", "line 2, column 12"));
}

// Guards against a stack overflow on deep nesting.
Test(config_declaration, deep_nesting_is_rejected) {
  auto Errors = parseErrors(std::string(1'000'000, '['));
  cr_assert(hasError(Errors, "", "column 33: nested deeper"));
}

// Guards against crashes on corrupt files and against accepting invalid ones.
Test(config_declaration, corrupt_text_is_valid_or_has_errors) {
  cr_assert(rc::check("damaged text", [] {
    auto Text = corruptBytes(renderDeclaration(sampleDeclaration(7)));
    auto Parsed = parseDeclaration(Text, "mesh.json");
    if (Parsed.index() == 0) {
      RC_ASSERT(checkDeclaration(std::get<0>(Parsed), "f").empty());
    } else {
      RC_ASSERT(!std::get<1>(Parsed).empty());
    }
  }));
}

// Guards against a change that is missing from the differences shown to
// operators before they apply it.
Test(config_declaration, differences_are_listed) {
  cr_assert(
      diffDeclarations(sampleDeclaration(0), sampleDeclaration(0)).empty());
  auto Before = sampleDeclaration(0);
  auto After = sampleDeclaration(1);
  After.Zones.erase({"patan"});
  auto Lines = diffDeclarations(Before, After);
  cr_assert_eq(Lines.size(), 3U);
  cr_expect_str_eq(Lines[0].c_str(), "- zone patan");
  cr_expect(Lines[1].starts_with("+ route dues"));
  cr_expect_str_eq(Lines[2].c_str(), "~ route roster: timeout_ms 1000 -> 1001");
}
