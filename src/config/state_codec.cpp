/** @file state_codec.cpp Encoding of complete states with an integrity check.
 */
#include "sycamorelb/config/checkpoint_func.h"
#include "sycamorelb/config/name_func.h"

#include "config/declaration_json.h"
#include "config/json_read.h"
#include "config/json_text.h"
#include "sycamorelb/core/hash_func.h"

#include <cstdio>
#include <utility>

namespace sycamorelb::config {

using nlohmann::json;

/** Format identifier; states with another one are rejected. */
static constexpr std::string_view StateMagic = "sycamorelb-state-1 ";
/** Number of hexadecimal digits of the hash, which follows the format
 * identifier and precedes a line feed. */
static constexpr std::size_t HashDigits = 16;
/** Maximum size of an encoded state. */
static constexpr std::size_t MaxStateBytes = 64 << 20;
/** Maximum length of a string in a state. */
static constexpr std::size_t MaxTextBytes = 1024;

static auto stateToJson(const config_state &State) -> json {
  auto Root = json{{"declaration", declarationToJson(State.Declared)},
                   {"zones_out", json::array()},
                   {"moves", json::array()},
                   {"outcomes", json::array()},
                   {"version", State.Version.Value},
                   {"declared_at", State.DeclaredAt.Value},
                   {"position", State.Position.Value},
                   {"chain_hash", State.ChainHash}};
  for (const auto &Zone : State.ZonesOutOfService) {
    Root["zones_out"].push_back(Zone.Value);
  }
  for (const auto &[Id, Move] : State.Moves) {
    Root["moves"].push_back({{"move", moveToJson(Move.Move)},
                             {"phase", phaseName(Move.Phase)},
                             {"share_ppm", Move.Share.Value},
                             {"step", Move.Step},
                             {"started_at_ms", Move.StartedAt.Value},
                             {"reason", Move.Reason}});
  }
  for (const auto &Outcome : State.Outcomes) {
    Root["outcomes"].push_back(
        {{"id", Outcome.Id.Value},
         {"accepted", Outcome.Kind == outcome_kind::Accepted},
         {"at", Outcome.At.Value},
         {"reason", Outcome.Reason}});
  }
  return Root;
}

static auto formatHash(std::uint64_t Hash) -> std::string {
  auto Text = std::string(HashDigits + 1, '\0');
  std::snprintf(Text.data(), Text.size(), "%016llx",
                static_cast<unsigned long long>(Hash));
  Text.resize(HashDigits);
  return Text;
}

auto encodeState(const config_state &State) -> std::string {
  auto Body =
      stateToJson(State).dump(-1, ' ', false, json::error_handler_t::replace);
  return std::string(StateMagic) + formatHash(hash64(Body)) + "\n" + Body;
}

static auto readMove(const json &Value, json_reader &Parent) -> move_state {
  auto Reader = json_reader(Value);
  auto Result = move_state();
  const auto *Move = Reader.any("move");
  if (Move == nullptr || !checkMoveJson(*Move).empty()) {
    Parent.markInvalid("moves");
    return Result;
  }
  Result.Move = moveFromJson(*Move);
  auto Phase = Reader.text("phase", MaxTextBytes);
  for (auto Known :
       {move_phase::Running, move_phase::Done, move_phase::TakenBack}) {
    if (Phase == phaseName(Known)) {
      Result.Phase = Known;
    }
  }
  Result.Share = {
      static_cast<std::uint32_t>(Reader.number("share_ppm", FullShare.Value))};
  Result.Step = static_cast<std::uint32_t>(
      Reader.number("step", std::numeric_limits<std::uint32_t>::max()));
  Result.StartedAt = {Reader.integer("started_at_ms")};
  Result.Reason = Reader.text("reason", MaxTextBytes);
  if (Reader.invalidMember() || Phase != phaseName(Result.Phase)) {
    Parent.markInvalid("moves");
  }
  return Result;
}

static auto readOutcome(const json &Value, json_reader &Parent)
    -> request_outcome {
  auto Reader = json_reader(Value);
  auto Outcome = request_outcome();
  Outcome.Id = {Reader.text("id", MaxRequestIdBytes)};
  Outcome.Kind = Reader.boolean("accepted") ? outcome_kind::Accepted
                                            : outcome_kind::Rejected;
  Outcome.At = {Reader.number("at")};
  Outcome.Reason = Reader.text("reason", MaxTextBytes);
  if (Reader.invalidMember()) {
    Parent.markInvalid("outcomes");
  }
  return Outcome;
}

/** @return the array member; if it is not an array, an empty one, and the
 * member is marked invalid. */
static auto arrayMember(json_reader &Reader, const char *Key) -> const json & {
  static const auto Empty = json::array();
  const auto *Value = Reader.any(Key);
  if (Value == nullptr || !Value->is_array()) {
    Reader.markInvalid(Key);
    return Empty;
  }
  return *Value;
}

static auto stateFromJson(json_reader &Reader) -> config_state {
  auto State = config_state();
  State.Version = {Reader.number("version")};
  State.DeclaredAt = {Reader.number("declared_at")};
  State.Position = {Reader.number("position")};
  State.ChainHash = Reader.number("chain_hash");
  const auto *Declared = Reader.any("declaration");
  if (Declared == nullptr || !checkJson(*Declared, "state").empty()) {
    Reader.markInvalid("declaration");
    return State;
  }
  State.Declared = declarationFromJson(*Declared);
  for (const auto &Zone : arrayMember(Reader, "zones_out")) {
    if (!Zone.is_string()) {
      Reader.markInvalid("zones_out");
      return State;
    }
    State.ZonesOutOfService.insert({Zone.get<std::string>()});
  }
  for (const auto &Value : arrayMember(Reader, "moves")) {
    auto Move = readMove(Value, Reader);
    State.Moves[Move.Move.Id] = std::move(Move);
  }
  for (const auto &Value : arrayMember(Reader, "outcomes")) {
    State.Outcomes.push_back(readOutcome(Value, Reader));
  }
  return State;
}

auto decodeState(std::string_view Bytes) -> result<config_state> {
  auto Corrupt = [](const std::string &Message) {
    return error{error_code::Corrupt, "decode state", "", Message};
  };
  auto HeaderBytes = StateMagic.size() + HashDigits + 1;
  if (Bytes.size() < HeaderBytes || Bytes.size() > MaxStateBytes ||
      !Bytes.starts_with(StateMagic)) {
    return Corrupt("not an encoded state");
  }
  auto Body = Bytes.substr(HeaderBytes);
  if (Bytes.substr(StateMagic.size(), HashDigits + 1) !=
      formatHash(hash64(Body)) + "\n") {
    return Corrupt("hash mismatch");
  }
  auto Document = json_document();
  if (parseJson(Body, Document)) {
    return Corrupt("not JSON");
  }
  auto Reader = json_reader(Document.Root);
  auto State = stateFromJson(Reader);
  if (Reader.invalidMember()) {
    return Corrupt("member \"" + *Reader.invalidMember() +
                   "\" is missing or invalid");
  }
  return State;
}

} // namespace sycamorelb::config
