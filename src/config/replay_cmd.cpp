/** @file replay_cmd.cpp Validation and execution of the mutation records. */
#include "config/replay_cmd.h"

#include "config/declaration_json.h"
#include "config/json_text.h"

#include <algorithm>
#include <set>

namespace sycamorelb::config {

using nlohmann::json;

static auto contains(const std::vector<version_id> &Versions,
                     const version_id &Version) -> bool {
  return std::find(Versions.begin(), Versions.end(), Version) != Versions.end();
}

auto runningMove(const config_state &State, const service_id &Service)
    -> const move_state * {
  for (const auto &[Id, Move] : State.Moves) {
    if (Move.Phase == move_phase::Running && Move.Move.Service == Service) {
      return &Move;
    }
  }
  return nullptr;
}

/** @return the reason why the move cannot start now, if any. */
static auto checkMoveStart(const config_state &State, const move &Move,
                           wall_ms At) -> rejection {
  if (Move.By <= At) {
    return "move " + Move.Id.Value + " ends before it starts";
  }
  auto Found = State.Declared.Services.find(Move.Service);
  if (Found == State.Declared.Services.end()) {
    return "service " + Move.Service.Value + " is not declared";
  }
  const auto &Service = Found->second;
  if (!contains(Service.Versions, Move.From) ||
      !contains(Service.Versions, Move.To) || Move.From == Move.To) {
    return "move " + Move.Id.Value +
           " needs two different declared versions of the service";
  }
  if (Service.ActiveVersion != Move.From) {
    return "move " + Move.Id.Value + " starts from " + Move.From.Value +
           " but the active version is " + Service.ActiveVersion.Value;
  }
  if (const auto *Running = runningMove(State, Move.Service)) {
    return "move " + Running->Move.Id.Value + " of service " +
           Move.Service.Value + " is running";
  }
  return "";
}

static auto makeStartedMove(const move &Move, wall_ms At) -> move_state {
  auto Started = move_state();
  Started.Move = Move;
  Started.Share = Move.MaxEarlyShare;
  Started.StartedAt = At;
  return Started;
}

/** Removes the oldest ended moves beyond MaxEndedMoves. Ended moves that are
 * still declared are kept; otherwise the next apply would start them again. */
static void pruneEndedMoves(config_state &State) {
  auto Declared = std::set<move_id>();
  for (const auto &Move : State.Declared.Moves) {
    Declared.insert(Move.Id);
  }
  auto Ended = std::vector<std::pair<wall_ms, move_id>>();
  for (const auto &[Id, Move] : State.Moves) {
    if (Move.Phase != move_phase::Running && !Declared.contains(Id)) {
      Ended.emplace_back(Move.StartedAt, Id);
    }
  }
  std::sort(Ended.begin(), Ended.end());
  auto Excess = Ended.size() > MaxEndedMoves ? Ended.size() - MaxEndedMoves : 0;
  for (auto Index = std::size_t{0}; Index < Excess; ++Index) {
    State.Moves.erase(Ended[Index].second);
  }
}

/** Sets the active version of each service to the result of its completed moves
 * that are still declared. */
static void resolveActiveVersions(const config_state &State,
                                  declaration &Target) {
  for (const auto &Move : Target.Moves) {
    auto Known = State.Moves.find(Move.Id);
    auto &Active = Target.Services[Move.Service].ActiveVersion;
    if (Known != State.Moves.end() && Known->second.Phase == move_phase::Done &&
        Active == Move.From) {
      Active = Move.To;
    }
  }
}

/** @return the conflict of a running move with the new declaration, if any. */
static auto checkRunningMoves(const config_state &State,
                              const declaration &Target) -> rejection {
  for (const auto &[Id, Running] : State.Moves) {
    if (Running.Phase != move_phase::Running) {
      continue;
    }
    const auto &Move = Running.Move;
    auto Found = Target.Services.find(Move.Service);
    if (Found == Target.Services.end() ||
        !contains(Found->second.Versions, Move.From) ||
        !contains(Found->second.Versions, Move.To)) {
      return "running move " + Id.Value + " uses service " +
             Move.Service.Value + " with versions " + Move.From.Value +
             " and " + Move.To.Value + ", which the declaration removes";
    }
    if (Found->second.ActiveVersion != Move.From) {
      return "active version of service " + Move.Service.Value +
             " cannot change while move " + Id.Value + " runs";
    }
  }
  return "";
}

/** Starts the declared moves with new ids.
 * @return the reason why one of them cannot start, if any. */
static auto startDeclaredMoves(config_state &Next, wall_ms At) -> rejection {
  for (const auto &Move : Next.Declared.Moves) {
    auto Known = Next.Moves.find(Move.Id);
    if (Known != Next.Moves.end()) {
      if (!(Known->second.Move == Move)) {
        return "move id " + Move.Id.Value + " was used for another move";
      }
      continue;
    }
    auto Rejection = checkMoveStart(Next, Move, At);
    if (!Rejection.empty()) {
      return Rejection;
    }
    Next.Moves[Move.Id] = makeStartedMove(Move, At);
  }
  return "";
}

/** Replaces the declaration by one that passed checkDeclaration or checkJson.
 */
static auto replaceDeclaration(config_state &State, declaration Target,
                               wall_ms At) -> rejection {
  auto Next = State;
  Next.Declared = std::move(Target);
  resolveActiveVersions(State, Next.Declared);
  std::erase_if(Next.ZonesOutOfService, [&Next](const zone_id &Zone) {
    return !Next.Declared.Zones.contains(Zone);
  });
  for (const auto &Zone : Next.ZonesOutOfService) {
    Next.Declared.Zones[Zone].InService = false;
  }
  auto Rejection = checkRunningMoves(State, Next.Declared);
  if (Rejection.empty()) {
    Rejection = startDeclaredMoves(Next, At);
  }
  if (Rejection.empty()) {
    pruneEndedMoves(Next);
    State = std::move(Next);
  }
  return Rejection;
}

/** @return the first error and the total number of errors. */
static auto summarizeErrors(const std::vector<declaration_error> &Errors)
    -> rejection {
  return describe(Errors.front()) + " (" + std::to_string(Errors.size()) +
         " in all)";
}

auto withDeclaration(const config_state &State, const declaration &Target,
                     wall_ms At) -> result<config_state> {
  auto Errors = checkDeclaration(Target, "declaration");
  if (!Errors.empty()) {
    return error{error_code::InvalidArgument, "apply", "",
                 summarizeErrors(Errors)};
  }
  auto Next = State;
  auto Rejection = replaceDeclaration(Next, Target, At);
  if (!Rejection.empty()) {
    return error{error_code::Conflict, "apply", "", Rejection};
  }
  return Next;
}

/** @return whether the parent of the operation's path is an object or an array;
 * the library asserts this when it adds a value. */
static auto parentIsContainer(const json &Document, const json &Operation)
    -> bool {
  auto Path = json::json_pointer(Operation.at("path").get<std::string>());
  if (Path.empty()) {
    return true;
  }
  const auto &Parent = Document.at(Path.parent_pointer());
  return Parent.is_object() || Parent.is_array();
}

/** Applies a JSON Patch one operation at a time.
 * @return whether all operations were applied; otherwise Document is
 * unspecified. */
static auto applyPatch(json &Document, const std::string &Patch) -> bool {
  try {
    for (const auto &Operation : json::parse(Patch)) {
      if (!parentIsContainer(Document, Operation)) {
        return false;
      }
      Document = Document.patch(json::array({Operation}));
    }
  } catch (const json::exception &) {
    return false;
  }
  return true;
}

auto execute(config_state &State, const apply_record &Body, wall_ms At)
    -> rejection {
  // Move steps advance Version without changing the declaration, so a patch
  // based on any version since the last change of the declaration applies.
  if (Body.Base < State.DeclaredAt || State.Version < Body.Base) {
    return "base version " + std::to_string(Body.Base.Value) +
           " is not current: the declaration changed at " +
           std::to_string(State.DeclaredAt.Value);
  }
  auto Document = declarationToJson(State.Declared);
  if (!applyPatch(Document, Body.Patch)) {
    return "patch does not apply to the base version";
  }
  auto Errors = checkJson(Document, "declaration");
  if (!Errors.empty()) {
    return summarizeErrors(Errors);
  }
  return replaceDeclaration(State, declarationFromJson(Document), At);
}

auto execute(config_state &State, const zone_record &Body, wall_ms)
    -> rejection {
  auto Found = State.Declared.Zones.find(Body.Zone);
  if (Found == State.Declared.Zones.end()) {
    return "zone " + Body.Zone.Value + " is not declared";
  }
  Found->second.InService = Body.InService;
  if (Body.InService) {
    State.ZonesOutOfService.erase(Body.Zone);
  } else {
    State.ZonesOutOfService.insert(Body.Zone);
  }
  return "";
}

auto execute(config_state &State, const move_start_record &Body, wall_ms At)
    -> rejection {
  if (State.Moves.contains(Body.Move.Id)) {
    return "move id " + Body.Move.Id.Value + " was used before";
  }
  auto Rejection = checkMoveStart(State, Body.Move, At);
  if (Rejection.empty()) {
    State.Moves[Body.Move.Id] = makeStartedMove(Body.Move, At);
    pruneEndedMoves(State);
  }
  return Rejection;
}

/** @return the running move, or null with the rejection set. */
static auto findRunningMove(config_state &State, const move_id &Id,
                            rejection &Rejection) -> move_state * {
  auto Found = State.Moves.find(Id);
  if (Found == State.Moves.end()) {
    Rejection = "move " + Id.Value + " is not known";
    return nullptr;
  }
  if (Found->second.Phase != move_phase::Running) {
    Rejection = "move " + Id.Value + " has ended";
    return nullptr;
  }
  return &Found->second;
}

auto execute(config_state &State, const move_step_record &Body, wall_ms)
    -> rejection {
  auto Rejection = rejection();
  auto *Move = findRunningMove(State, Body.Move, Rejection);
  if (Move == nullptr) {
    return Rejection;
  }
  if (Body.Step != Move->Step + 1) {
    return "step " + std::to_string(Body.Step) + " of move " + Body.Move.Value +
           " does not follow step " + std::to_string(Move->Step);
  }
  Move->Step = Body.Step;
  Move->Share = Body.Share;
  return "";
}

auto execute(config_state &State, const move_verdict_record &Body, wall_ms)
    -> rejection {
  auto Rejection = rejection();
  auto *Move = findRunningMove(State, Body.Move, Rejection);
  if (Move == nullptr) {
    return Rejection;
  }
  Move->Phase = Body.Phase;
  Move->Reason = Body.Reason;
  Move->Share = share_ppm{0};
  if (Body.Phase == move_phase::Done) {
    Move->Share = FullShare;
    State.Declared.Services[Move->Move.Service].ActiveVersion = Move->Move.To;
  }
  pruneEndedMoves(State);
  return "";
}

} // namespace sycamorelb::config
