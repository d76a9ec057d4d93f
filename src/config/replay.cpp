/** @file replay.cpp Replay of log records and validation of states. */
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

/** @return Text truncated to MaxReasonBytes at a UTF-8 character boundary. */
static auto truncateReason(std::string Text) -> std::string {
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

static auto runCommand(config_state &State, const record &Record) -> rejection {
  return std::visit(
      [&State, &Record](const auto &Body) -> rejection {
        if constexpr (std::is_same_v<std::decay_t<decltype(Body)>,
                                     checkpoint_part>) {
          return "";
        } else {
          return execute(State, Body, Record.At);
        }
      },
      Record.Body);
}

/** Stores the outcome of a new request id. */
static auto storeOutcome(config_state &State, const request_id &Request,
                         rejection Rejection) -> replay_outcome {
  auto Accepted = Rejection.empty();
  auto Outcome = request_outcome{
      Request, Accepted ? outcome_kind::Accepted : outcome_kind::Rejected,
      State.Position, truncateReason(std::move(Rejection))};
  State.Outcomes.push_back(Outcome);
  if (State.Outcomes.size() > MaxRequestOutcomes) {
    State.Outcomes.pop_front();
  }
  return {Accepted ? replay_kind::Accepted : replay_kind::Rejected,
          std::move(Outcome)};
}

/** Executes a mutation with a new request id. */
static auto executeMutation(config_state &State, const record &Record)
    -> replay_outcome {
  auto Rejection = runCommand(State, Record);
  if (Rejection.empty()) {
    State.Version = State.Position;
    if (changesDeclaration(Record)) {
      State.DeclaredAt = State.Position;
    }
  }
  return storeOutcome(State, Record.Request, std::move(Rejection));
}

/** Rejects a record that cannot be decoded. If its request id can be decoded,
 * the outcome is stored, so that the writer can look it up. */
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
  return storeOutcome(State, *Request, Error.Message);
}

auto replayInto(config_state &State, log_offset Offset, std::string_view Bytes)
    -> replay_outcome {
  if (Offset.Value == 0 || Offset.Value - 1 != State.Position.Value) {
    auto Reason = std::string("does not follow the position");
    return {replay_kind::Ignored, {{}, outcome_kind::Rejected, Offset, Reason}};
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
  return executeMutation(State, Record);
}

auto replay(const config_state &State, log_offset Offset,
            std::string_view Bytes) -> replay_result {
  auto Next = State;
  auto Outcome = replayInto(Next, Offset, Bytes);
  return {std::move(Next), std::move(Outcome)};
}

/** @return the first inconsistency in the moves of a state, if any. */
static auto checkMoves(const config_state &State)
    -> std::optional<std::string> {
  for (const auto &[Id, Move] : State.Moves) {
    if (Move.Move.Id != Id || Move.Share > FullShare) {
      return "move " + Id.Value +
             " has a mismatched id or a share above 100 percent";
    }
    if (Move.Phase != move_phase::Running) {
      continue;
    }
    auto Service = State.Declared.Services.find(Move.Move.Service);
    if (Service == State.Declared.Services.end()) {
      return "running move " + Id.Value + " refers to an undeclared service";
    }
    const auto &Versions = Service->second.Versions;
    auto IsDeclared = [&Versions](const version_id &Version) {
      return std::count(Versions.begin(), Versions.end(), Version) != 0;
    };
    if (!IsDeclared(Move.Move.From) || !IsDeclared(Move.Move.To) ||
        Service->second.ActiveVersion != Move.Move.From ||
        runningMove(State, Move.Move.Service) != &Move) {
      return "running move " + Id.Value +
             " conflicts with the versions or the moves of its service";
    }
  }
  return std::nullopt;
}

auto checkState(const config_state &State) -> std::optional<std::string> {
  auto Errors = checkDeclaration(State.Declared, "declaration");
  if (!Errors.empty()) {
    return describe(Errors.front());
  }
  if (State.Version > State.Position || State.DeclaredAt > State.Version ||
      State.Outcomes.size() > MaxRequestOutcomes) {
    return "versions are out of order or there are too many request outcomes";
  }
  for (const auto &Zone : State.ZonesOutOfService) {
    auto Found = State.Declared.Zones.find(Zone);
    if (Found == State.Declared.Zones.end() || Found->second.InService) {
      return "zone " + Zone.Value + " is out of service but not declared so";
    }
  }
  return checkMoves(State);
}

} // namespace sycamorelb::config
