/** @file replay.cpp Fold of log records into the configuration state. */
#include "sycamorelb/config/replay_func.h"

#include "config/declaration_json.h"
#include "config/replay_cmd.h"
#include "sycamorelb/core/hash_func.h"

#include <algorithm>

namespace sycamorelb::config {

auto chainHash(std::uint64_t Before, log_offset Offset, std::string_view Bytes)
    -> std::uint64_t {
  auto Numbers = std::string();
  for (auto Value : {Before, Offset.Value}) {
    for (auto Shift = 0; Shift < 64; Shift += 8) {
      Numbers += static_cast<char>(Value >> Shift & 0xff);
    }
  }
  return hash64(Bytes, hash64(Numbers));
}

auto findOutcome(const config_state &State, const request_id &Request)
    -> std::optional<request_outcome> {
  auto Found = std::find_if(State.Outcomes.begin(), State.Outcomes.end(),
                            [&Request](const request_outcome &Outcome) {
                              return Outcome.Id == Request;
                            });
  if (Found == State.Outcomes.end()) {
    return std::nullopt;
  }
  return *Found;
}

/** @return Text cut to MaxReasonBytes at a character boundary. */
static auto boundedReason(std::string Text) -> std::string {
  if (Text.size() > MaxReasonBytes) {
    auto Length = MaxReasonBytes;
    while (Length > 0 && (Text[Length] & 0xc0) == 0x80) {
      --Length;
    }
    Text.resize(Length);
  }
  return Text;
}

/** @return whether a record of this type changes State.Declared. */
static auto changesDeclaration(const record &Record) -> bool {
  const auto *Verdict = std::get_if<move_verdict_record>(&Record.Body);
  return std::holds_alternative<apply_record>(Record.Body) ||
         std::holds_alternative<zone_record>(Record.Body) ||
         (Verdict != nullptr && Verdict->Phase == move_phase::Done);
}

static auto runCommand(config_state &State, const record &Record) -> refusal {
  return std::visit(
      [&State, &Record](const auto &Body) -> refusal {
        if constexpr (std::is_same_v<std::decay_t<decltype(Body)>,
                                     checkpoint_part>) {
          return "";
        } else {
          return execute(State, Body, Record.At);
        }
      },
      Record.Body);
}

/** Notes the outcome of a request id that was not seen before. */
static auto conclude(config_state &State, const request_id &Request,
                     refusal Refusal) -> replay_outcome {
  auto Accepted = Refusal.empty();
  auto Outcome = request_outcome{
      Request, Accepted ? outcome_kind::Accepted : outcome_kind::Rejected,
      State.Position, boundedReason(std::move(Refusal))};
  State.Outcomes.push_back(Outcome);
  if (State.Outcomes.size() > MaxRequestOutcomes) {
    State.Outcomes.pop_front();
  }
  return {Accepted ? replay_kind::Accepted : replay_kind::Rejected,
          std::move(Outcome)};
}

/** Executes a mutation that was not seen before. */
static auto decide(config_state &State, const record &Record)
    -> replay_outcome {
  auto Refusal = runCommand(State, Record);
  if (Refusal.empty()) {
    State.Version = State.Position;
    if (changesDeclaration(Record)) {
      State.DeclaredAt = State.Position;
    }
  }
  return conclude(State, Record.Request, std::move(Refusal));
}

/** Rejects a record that does not decode. When its request id can be read, the
 * outcome is noted, so that the writer learns it. */
static auto rejectMalformed(config_state &State, std::string_view Bytes,
                            const error &Error) -> replay_outcome {
  auto Request = decodeRequestId(Bytes);
  if (!Request) {
    return {replay_kind::Rejected,
            {{}, outcome_kind::Rejected, State.Position, Error.Message}};
  }
  if (auto First = findOutcome(State, *Request)) {
    return {replay_kind::Duplicate, *First};
  }
  return conclude(State, *Request, Error.Message);
}

auto replayInto(config_state &State, log_offset Offset, std::string_view Bytes)
    -> replay_outcome {
  if (Offset.Value == 0 || Offset.Value - 1 != State.Position.Value) {
    auto Why = std::string("does not follow the position");
    return {replay_kind::Ignored, {{}, outcome_kind::Rejected, Offset, Why}};
  }
  State.ChainHash = chainHash(State.ChainHash, Offset, Bytes);
  State.Position = Offset;
  auto Decoded = decodeRecord(Bytes);
  if (!isOk(Decoded)) {
    return rejectMalformed(State, Bytes, errorOf(Decoded));
  }
  const auto &Record = valueOf(Decoded);
  if (std::holds_alternative<checkpoint_part>(Record.Body)) {
    return {replay_kind::Checkpoint, {{}, outcome_kind::Accepted, Offset, ""}};
  }
  if (auto First = findOutcome(State, Record.Request)) {
    return {replay_kind::Duplicate, *First};
  }
  return decide(State, Record);
}

auto replay(const config_state &State, log_offset Offset,
            std::string_view Bytes) -> replay_result {
  auto Next = State;
  auto Outcome = replayInto(Next, Offset, Bytes);
  return {std::move(Next), std::move(Outcome)};
}

/** @return what is wrong with the moves of a state. */
static auto checkMoves(const config_state &State)
    -> std::optional<std::string> {
  for (const auto &[Id, Move] : State.Moves) {
    if (Move.Move.Id != Id || Move.Share > FullShare) {
      return "move " + Id.Value + " is inconsistent";
    }
    if (Move.Phase != move_phase::Running) {
      continue;
    }
    auto Service = State.Declared.Services.find(Move.Move.Service);
    if (Service == State.Declared.Services.end()) {
      return "running move " + Id.Value + " has no service";
    }
    const auto &Versions = Service->second.Versions;
    auto Has = [&Versions](const version_id &Version) {
      return std::count(Versions.begin(), Versions.end(), Version) != 0;
    };
    if (!Has(Move.Move.From) || !Has(Move.Move.To) ||
        Service->second.ActiveVersion != Move.Move.From ||
        runningMove(State, Move.Move.Service) != &Move) {
      return "running move " + Id.Value + " does not fit its service";
    }
  }
  return std::nullopt;
}

auto checkState(const config_state &State) -> std::optional<std::string> {
  auto Faults = checkDeclaration(State.Declared, "declaration");
  if (!Faults.empty()) {
    return describe(Faults.front());
  }
  if (State.Version > State.Position || State.DeclaredAt > State.Version ||
      State.Outcomes.size() > MaxRequestOutcomes) {
    return "versions are out of order";
  }
  for (const auto &Zone : State.ZonesOut) {
    auto Found = State.Declared.Zones.find(Zone);
    if (Found == State.Declared.Zones.end() || Found->second.InService) {
      return "zone " + Zone.Value + " is not declared out of service";
    }
  }
  return checkMoves(State);
}

} // namespace sycamorelb::config
