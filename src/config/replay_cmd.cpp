/** @file replay_cmd.cpp Check and execution of the record types. */
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

/** @return why the move cannot start now. */
static auto checkStart(const config_state &State, const move &Move, wall_ms At)
    -> refusal {
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

static auto startedMove(const move &Move, wall_ms At) -> move_state {
  auto Started = move_state();
  Started.Move = Move;
  Started.Share = Move.MaxEarlyShare;
  Started.StartedAt = At;
  return Started;
}

/** Removes the oldest ended moves beyond the bound. Ended moves that are still
 * declared are kept: without them the next apply would start them again. */
static void dropOldMoves(config_state &State) {
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

/** Gives each service the version that its completed, still declared moves
 * lead to. */
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

/** @return why a running move forbids the target declaration. */
static auto checkRunningMoves(const config_state &State,
                              const declaration &Target) -> refusal {
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

/** Starts the moves that are listed for the first time.
 * @return why one cannot start. */
static auto startDeclaredMoves(config_state &Next, wall_ms At) -> refusal {
  for (const auto &Move : Next.Declared.Moves) {
    auto Known = Next.Moves.find(Move.Id);
    if (Known != Next.Moves.end()) {
      if (!(Known->second.Move == Move)) {
        return "move id " + Move.Id.Value + " was used for another move";
      }
      continue;
    }
    auto Refusal = checkStart(Next, Move, At);
    if (!Refusal.empty()) {
      return Refusal;
    }
    Next.Moves[Move.Id] = startedMove(Move, At);
  }
  return "";
}

/** Replaces the declaration by one without faults of its own. */
static auto replaceDeclaration(config_state &State, declaration Target,
                               wall_ms At) -> refusal {
  auto Next = State;
  Next.Declared = std::move(Target);
  resolveActiveVersions(State, Next.Declared);
  std::erase_if(Next.ZonesOut, [&Next](const zone_id &Zone) {
    return !Next.Declared.Zones.contains(Zone);
  });
  for (const auto &Zone : Next.ZonesOut) {
    Next.Declared.Zones[Zone].InService = false;
  }
  auto Refusal = checkRunningMoves(State, Next.Declared);
  if (Refusal.empty()) {
    Refusal = startDeclaredMoves(Next, At);
  }
  if (Refusal.empty()) {
    dropOldMoves(Next);
    State = std::move(Next);
  }
  return Refusal;
}

/** @return the first fault and the number of all. */
static auto summary(const std::vector<declaration_error> &Faults) -> refusal {
  return describe(Faults.front()) + " (" + std::to_string(Faults.size()) +
         " in all)";
}

auto withDeclaration(const config_state &State, const declaration &Target,
                     wall_ms At) -> result<config_state> {
  auto Faults = checkDeclaration(Target, "declaration");
  if (!Faults.empty()) {
    return error{error_code::InvalidArgument, "apply", "", summary(Faults)};
  }
  auto Next = State;
  auto Refusal = replaceDeclaration(Next, Target, At);
  if (!Refusal.empty()) {
    return error{error_code::Conflict, "apply", "", Refusal};
  }
  return Next;
}

/** @return whether the library can run the operation: it asserts that the
 * parent of an added value is an object or an array. */
static auto parentIsContainer(const json &Document, const json &Operation)
    -> bool {
  auto Path = json::json_pointer(Operation.at("path").get<std::string>());
  if (Path.empty()) {
    return true;
  }
  const auto &Parent = Document.at(Path.parent_pointer());
  return Parent.is_object() || Parent.is_array();
}

/** Applies a patch one operation at a time.
 * @return whether all operations applied; Document is undefined otherwise. */
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
    -> refusal {
  // Steps of moves advance Version without changing the declaration; a patch
  // against any version since the last change of the declaration fits.
  if (Body.Base < State.DeclaredAt || State.Version < Body.Base) {
    return "base version " + std::to_string(Body.Base.Value) +
           " is not current: the declaration changed at " +
           std::to_string(State.DeclaredAt.Value);
  }
  auto Document = declarationToJson(State.Declared);
  if (!applyPatch(Document, Body.Patch)) {
    return "patch does not apply to the base version";
  }
  auto Faults = checkJson(Document, "declaration");
  if (!Faults.empty()) {
    return summary(Faults);
  }
  return replaceDeclaration(State, declarationFromJson(Document), At);
}

auto execute(config_state &State, const zone_record &Body, wall_ms) -> refusal {
  auto Found = State.Declared.Zones.find(Body.Zone);
  if (Found == State.Declared.Zones.end()) {
    return "zone " + Body.Zone.Value + " is not declared";
  }
  Found->second.InService = Body.InService;
  if (Body.InService) {
    State.ZonesOut.erase(Body.Zone);
  } else {
    State.ZonesOut.insert(Body.Zone);
  }
  return "";
}

auto execute(config_state &State, const move_start_record &Body, wall_ms At)
    -> refusal {
  if (State.Moves.contains(Body.Move.Id)) {
    return "move id " + Body.Move.Id.Value + " was used before";
  }
  auto Refusal = checkStart(State, Body.Move, At);
  if (Refusal.empty()) {
    State.Moves[Body.Move.Id] = startedMove(Body.Move, At);
    dropOldMoves(State);
  }
  return Refusal;
}

/** @return the running move, or null with the refusal set. */
static auto findRunning(config_state &State, const move_id &Id,
                        refusal &Refusal) -> move_state * {
  auto Found = State.Moves.find(Id);
  if (Found == State.Moves.end()) {
    Refusal = "move " + Id.Value + " is not known";
    return nullptr;
  }
  if (Found->second.Phase != move_phase::Running) {
    Refusal = "move " + Id.Value + " has ended";
    return nullptr;
  }
  return &Found->second;
}

auto execute(config_state &State, const move_step_record &Body, wall_ms)
    -> refusal {
  auto Refusal = refusal();
  auto *Move = findRunning(State, Body.Move, Refusal);
  if (Move == nullptr) {
    return Refusal;
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
    -> refusal {
  auto Refusal = refusal();
  auto *Move = findRunning(State, Body.Move, Refusal);
  if (Move == nullptr) {
    return Refusal;
  }
  Move->Phase = Body.Phase;
  Move->Reason = Body.Reason;
  Move->Share = share_ppm{0};
  if (Body.Phase == move_phase::Done) {
    Move->Share = FullShare;
    State.Declared.Services[Move->Move.Service].ActiveVersion = Move->Move.To;
  }
  dropOldMoves(State);
  return "";
}

} // namespace sycamorelb::config
