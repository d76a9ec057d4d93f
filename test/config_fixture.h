/** @file config_fixture.h Sample declarations and random configuration logs. */
#pragma once

#include "sycamorelb/config/declaration_func.h"
#include "sycamorelb/config/replay_func.h"

#include <rapidcheck.h>
#include <string>
#include <vector>

namespace sycamorelb::config {

/** @return a small valid declaration; Variant changes its routes and services.
 */
inline auto sampleDeclaration(int Variant = 0) -> declaration {
  auto Result = declaration();
  for (const char *Zone : {"patan", "kirtipur", "bhaktapur"}) {
    Result.Zones[{Zone}] = {{"valley"}, true};
  }
  Result.Services[{"roster"}] = {{{"v1"}, {"v2"}, {"v3"}}, {"v1"}};
  Result.Services[{"dues"}] = {{{"v1"}, {"v2"}}, {"v1"}};
  auto Route = route();
  Route.Name = {"roster"};
  Route.Service = {"roster"};
  Route.PathPrefix = "/roster";
  Route.Timeout = millis(1000 + Variant);
  Result.Routes.push_back(Route);
  if (Variant % 3 == 1) {
    Route.Name = {"dues"};
    Route.Service = {"dues"};
    Route.PathPrefix = "/roster/dues";
    Result.Routes.push_back(Route);
  }
  if (Variant % 3 != 1 && Variant % 5 == 2) {
    Result.Services.erase({"dues"});
  }
  return Result;
}

inline auto sampleMove(const std::string &Id, const std::string &From,
                       const std::string &To) -> move {
  return {{Id}, {"roster"}, {From}, {To}, {10'000'000}, {50'000}};
}

/** @return a random mutation; replay rejects many of them, and some repeat a
 * request id. */
inline auto randomBody(const config_state &Current) -> record {
  using rc::gen::inRange;
  auto Pick = [](int Bound) { return *inRange(0, Bound); };
  auto Version = [&Pick] { return "v" + std::to_string(1 + Pick(3)); };
  auto Move = [&Pick] { return "m" + std::to_string(Pick(4)); };
  auto Id = request_id{"r" + std::to_string(Pick(40))};
  auto At = wall_ms{Pick(1000)};
  switch (Pick(7)) {
  case 0:
  case 1: {
    auto Target = sampleDeclaration(Pick(12));
    if (Pick(4) == 0) {
      Target.Moves.push_back(sampleMove(Move(), Version(), Version()));
    }
    if (Pick(6) == 0) {
      Target.Services.erase({"roster"}); // Leaves an invalid reference.
    }
    auto Apply = makeApply(Current, Target, Id, At);
    if (Pick(4) == 0) {
      std::get<apply_record>(Apply.Body).Base = {
          static_cast<std::uint64_t>(Pick(20))};
    }
    return Apply;
  }
  case 2:
    return {Id, At,
            zone_record{{Pick(2) == 0 ? "patan" : "nowhere"}, Pick(2) == 0}};
  case 3:
    return {Id, At,
            move_start_record{sampleMove(Move(), Version(), Version())}};
  case 4:
  case 5: {
    auto Step = static_cast<std::uint32_t>(Pick(4));
    return {Id, At, move_step_record{{Move()}, Step, {Step * 100'000}}};
  }
  default:
    return {Id, At,
            move_verdict_record{{Move()},
                                Pick(2) == 0 ? move_phase::Done
                                             : move_phase::TakenBack,
                                "because"}};
  }
}

/** A log with the state after each record. */
struct history {
  std::vector<raw_record> Records;  ///< Records from offset 1.
  std::vector<config_state> States; ///< States[N] is the state at position N.

  void append(std::string Bytes) {
    auto Offset = log_offset{Records.size() + 1};
    States.push_back(replay(States.back(), Offset, Bytes).Next);
    Records.push_back({Offset, std::move(Bytes)});
  }
};

/** @return a history of Length + 1 records, some of them truncated. */
inline auto randomHistory(int Length) -> history {
  auto History = history{{}, {config_state()}};
  History.append(encodeRecord(
      makeApply(config_state(), sampleDeclaration(), {"first"}, wall_ms{0})));
  for (auto Index = 0; Index < Length; ++Index) {
    auto Bytes = encodeRecord(randomBody(History.States.back()));
    if (*rc::gen::inRange(0, 8) == 0) {
      Bytes.resize(Bytes.size() / 2);
    }
    History.append(std::move(Bytes));
  }
  return History;
}

/** @return the bytes with one byte changed, or truncated. */
inline auto corruptBytes(std::string Bytes) -> std::string {
  auto Size = static_cast<int>(Bytes.size());
  auto At = static_cast<std::size_t>(*rc::gen::inRange(0, std::max(1, Size)));
  if (Size > 0 && *rc::gen::inRange(0, 2) == 0) {
    Bytes[At] = static_cast<char>(Bytes[At] ^ *rc::gen::inRange(1, 256));
  } else {
    Bytes.resize(At);
  }
  return Bytes;
}

} // namespace sycamorelb::config
